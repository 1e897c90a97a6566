#include "marlsill/model/even_load_model.h"

#include <doctest/doctest.h>
#include <string>

namespace marlsill::model {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint64_t seed = 1;

    struct row {
        int upstreams;
        int vmsPerCell;
        double utilization;
        int reportIntervalMs;
        double mostWait; // Of the mean wait of the least known load.
        double mostP99 = 1.0;
    };

    even_load_options optionsOf(const row& each)
    {
        return { .upstreams = each.upstreams,
            .vmsPerCell = each.vmsPerCell,
            .utilization = each.utilization,
            .reportInterval = milliseconds(each.reportIntervalMs),
            .duration = milliseconds(20'000) };
    }

    template <even_load_choice Choice>
    even_load_result play(const char* name, const even_load_options& options)
    {
        auto result = playEvenLoad<Choice>(options, seed);
        MESSAGE(std::string(name) << ": mean wait " << result.meanWaitMs << " ms, p99 " << result.p99WaitMs
                                  << " ms, refused " << result.refused << " of " << result.requests
                                  << " (while slots are free " << result.refusedWhileFree
                                  << "), free slots while others queue " << result.idleWhileQueued
                                  << ", busiest " << result.busiest << ", messages a request "
                                  << result.messagesPerRequest << ", bytes " << result.bytesPerRequest);
        return result;
    }

}

TEST_CASE("Homes and borrowing keep requests from waiting at busy upstreams while others are free")
{
    // Guards against VMs that all choose the upstream that was idle when its load was reported.
    const row rows[] = {
        { 20, 4, 0.35, 150, 0.2 },
        { 20, 4, 0.6, 150, 0.4 },
        { 157, 4, 0.35, 150, 0.2 },
        { 157, 4, 0.6, 150, 0.4 },
        { 220, 4, 0.35, 50, 0.5 },
        { 220, 4, 0.35, 2'000, 0.3 },
        { 220, 4, 0.6, 50, 0.4 },
        { 220, 4, 0.6, 150, 0.4 },
        { 220, 4, 0.6, 2'000, 0.4 },
        { 220, 12, 0.35, 150, 0.4 },
        { 220, 12, 0.6, 150, 0.5 },
        { 220, 12, 0.6, 2'000, 0.9 },
        // Callers use all of 2,600 VMs, most of which are no home: must not be worse, up to chance.
        { 220, 288, 0.35, 150, 1.0, 1.05 },
    };
    for (const auto& each : rows) {
        CAPTURE(each.upstreams);
        CAPTURE(each.vmsPerCell);
        CAPTURE(each.utilization);
        CAPTURE(each.reportIntervalMs);
        auto options = optionsOf(each);
        if (each.vmsPerCell > 100) {
            options.duration = milliseconds(4'000);
            options.settleTime = milliseconds(2'000);
        }
        auto spread = play<spread_choice>("least known load", options);
        play<two_choices>("power of two choices", options);
        play<idle_queue_choice>("idle queue", options);
        play<aged_choice>("weighted by age", options);
        play<response_choice>("responses", options);
        play<idle_first_choice>("homes, idle first", options);
        auto home = play<home_choice>("homes and borrowing", options);
        play<leased_choice>("leases", options);
        CHECK(home.meanWaitMs <= each.mostWait * spread.meanWaitMs);
        CHECK(home.p99WaitMs <= each.mostP99 * spread.p99WaitMs);
        CHECK(home.refusedWhileFree <= spread.refusedWhileFree);
        CHECK(home.bytesPerRequest <= spread.bytesPerRequest);
    }
}

}
