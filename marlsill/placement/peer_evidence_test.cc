#include "marlsill/placement/load_balancer.h"

#include <doctest/doctest.h>

namespace marlsill::placement {

TEST_CASE("Only evidence that begins or ends an exclusion counts as a change")
{
    // Guards against a log line for each of the hundreds of words a second that hundreds of VMs get from
    // peers.
    using std::chrono::milliseconds;
    struct row {
        const char* name;
        std::vector<evidence_kind> evidence;
        const char* changes; // One letter for each: excluded, used again, or unchanged.
    };
    const row rows[] = {
        { "a failure, and more of them",
            { evidence_kind::failed, evidence_kind::failed, evidence_kind::stalled }, "e--" },
        { "probes and recovery",
            { evidence_kind::unreachable, evidence_kind::probe, evidence_kind::recovered }, "e-u" },
        { "a recovery of one in use", { evidence_kind::recovered }, "-" },
        { "two errors after processing",
            { evidence_kind::errorAfterProcessing, evidence_kind::errorAfterProcessing }, "-e" },
    };
    const steady_clock::time_point start { std::chrono::hours(1) };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        load_balancer balancer({}, 7);
        const upstream_entry entry { .id = "u", .service = "s", .address = "127.0.0.1:1", .slots = 3 };
        balancer.replaceUpstreams(std::span(&entry, 1), start);
        std::string changes;
        auto now = start;
        for (auto kind : each.evidence) {
            auto isExcluded = balancer.applyEvidence({ "u", kind }, true, now);
            changes += isExcluded ? (*isExcluded ? 'e' : 'u') : '-';
            now += milliseconds(10);
        }
        CHECK(changes == each.changes);
        CHECK_FALSE(balancer.applyEvidence({ "unknown", evidence_kind::failed }, true, now));
    }
}

}
