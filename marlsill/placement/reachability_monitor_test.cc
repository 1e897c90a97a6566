#include "marlsill/placement/reachability_monitor.h"

#include <doctest/doctest.h>
#include <vector>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    constexpr steady_clock::time_point start { std::chrono::hours(1) };

    // An attempt that ended at `atMs` after the start.
    struct attempt {
        int startedMs;
        int atMs;
        const char* upstream;
        bool wasReached;
    };

}

TEST_CASE("Only a VM that reaches no upstream at all takes itself for cut off")
{
    struct row {
        const char* name;
        std::vector<attempt> attempts;
        std::vector<bool> probes; // Results, in order, of the probes that the attempts lead to.
        bool isCutOff;
    };
    const row rows[] = {
        { "idle", {}, {}, false },
        { "one upstream has failed", { { 0, 400, "a", false }, { 400, 800, "a", false } }, {}, false },
        { "two upstreams, and nothing can be reached", { { 0, 400, "a", false }, { 400, 800, "b", false } },
            { false, false, false, false }, true },
        { "a service has failed", { { 0, 1, "a", false }, { 1, 2, "b", false }, { 2, 3, "c", false } },
            { false, false, true, false }, false },
        { "another upstream was reached between",
            { { 0, 400, "a", false }, { 450, 500, "c", true }, { 500, 900, "b", false } }, {}, false },
        { "a response to an earlier request came between",
            { { 10, 400, "a", false }, { 0, 500, "c", true }, { 400, 800, "b", false } },
            { false, false, false, false }, true },
        { "failures far apart", { { 0, 400, "a", false }, { 4'000, 4'400, "b", false } }, {}, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        reachability_monitor monitor;
        auto now = start;
        int due = 0;
        for (const auto& [startedMs, atMs, upstream, wasReached] : each.attempts) {
            now = start + milliseconds(atMs);
            monitor.recordAttempt(upstream, wasReached, start + milliseconds(startedMs), now);
            due += monitor.takeDueProbes(now);
        }
        CHECK(due == static_cast<int>(each.probes.size()));
        for (auto result : each.probes) {
            monitor.recordProbe(result, now);
        }
        CHECK(monitor.isCutOff() == each.isCutOff);
    }
}

TEST_CASE("A VM that is cut off probes at a bounded rate and serves again after the first success")
{
    reachability_monitor monitor;
    monitor.recordAttempt("a", false, start, start);
    monitor.recordAttempt("b", false, start, start);
    for (int probe = monitor.takeDueProbes(start); probe > 0; --probe) {
        monitor.recordProbe(false, start);
    }
    REQUIRE(monitor.isCutOff());
    int probes = 0;
    auto end = start + milliseconds(10'000);
    for (auto now = start; now < end; now += milliseconds(10)) {
        for (int probe = monitor.takeDueProbes(now); probe > 0; --probe) {
            ++probes;
            CHECK(!monitor.recordProbe(false, now));
        }
        monitor.recordAttempt("c", true, start, now); // On a connection that lives on.
    }
    CHECK(monitor.isCutOff());
    CHECK(probes == 40);
    REQUIRE(monitor.takeDueProbes(end) == 1);
    CHECK(monitor.recordProbe(true, end));
    CHECK(!monitor.isCutOff());
    CHECK(!monitor.isSuspicious());
}

TEST_CASE("Failed upstreams do not cause checks without end")
{
    reachability_monitor monitor;
    int probes = 0;
    for (int atMs = 0; atMs < 10'000; atMs += 50) {
        auto now = start + milliseconds(atMs);
        monitor.recordAttempt(atMs % 100 == 0 ? "a" : "b", false, now, now);
        for (int probe = monitor.takeDueProbes(now); probe > 0; --probe) {
            ++probes;
            monitor.recordProbe(true, now);
        }
    }
    CHECK(probes <= 44); // Of four each second.
}

}
