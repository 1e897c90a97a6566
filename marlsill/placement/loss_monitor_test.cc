#include "marlsill/placement/loss_monitor.h"

#include <doctest/doctest.h>
#include <string>

namespace marlsill::placement {

TEST_CASE("The share of lost requests does not depend on how many of them this VM gets")
{
    // Guards against a VM with few requests that takes the failures of its peers for a large share, and then
    // sends requests into failing upstreams for the sake of the capacity floor.
    struct row {
        const char* name;
        int ownPerSecond;
        int fleetPerSecond;
        int lostPerSecond; // By peers.
        int sharingVms;
        double least;
        double most;
    };
    const row rows[] = {
        { "an average VM", 20, 60, 3, 3, 0.035, 0.06 },
        { "a VM with few requests", 2, 60, 3, 3, 0.035, 0.06 },
        { "a VM with most requests", 50, 60, 3, 3, 0.015, 0.03 },
        { "a service with many losses", 2, 60, 30, 3, 0.35, 0.6 },
        { "hardly any requests", 1, 1, 0, 3, 0, 0 },
    };
    constexpr int latencyMs = 200;
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        loss_monitor losses;
        auto start = steady_clock::time_point(std::chrono::hours(1));
        auto now = start;
        for (int ms = 0; ms < 8'000; ++ms) {
            now = start + std::chrono::milliseconds(ms);
            if (ms % (1'000 / each.ownPerSecond) == 0) {
                losses.recordLoad(each.fleetPerSecond * latencyMs / 1'000, latencyMs, now);
                losses.recordOutcome(true, now);
            }
            if (each.lostPerSecond > 0 && ms % (1'000 / each.lostPerSecond) == 0) {
                losses.recordPeerLoss(now);
            }
        }
        CHECK(losses.share(each.sharingVms, now) >= each.least);
        CHECK(losses.share(each.sharingVms, now) <= each.most);
    }
}

}
