// Tests of whole entry daemons before upstreams that name a limit of requests per second.

#include "testing/rate_limit_fleet.h"

#include <doctest/doctest.h>

namespace marlsill::testing {

using std::chrono::milliseconds;

TEST_CASE("Upstreams that name a limit get no more than it from all VMs together, and not much less")
{
    struct row {
        const char* name;
        int upstreams;
        int limited; // The first ones of them.
        double limit; // Requests per second of each.
        int callsPerSecond;
        bool isServedElsewhere; // The others have room for all requests.
        bool hasRetries = false; // Half of the requests fail at upstreams without a limit.
    };
    const row rows[] = {
        { "one of four", 4, 1, 2, 40, true },
        { "all", 4, 4, 2, 40, false },
        { "a higher limit", 4, 2, 8, 60, true },
        { "retries", 4, 1, 2, 40, true, true },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        rate_limit_fleet fleet(16, each.upstreams);
        fleet.setFailures(each.hasRetries, static_cast<std::size_t>(each.limited));
        auto callers = fleet.startCallers(each.callsPerSecond);
        std::this_thread::sleep_for(milliseconds(1'000));
        fleet.setLimits(each.limit, each.limited);
        auto namedAt = steady_clock::now();
        std::this_thread::sleep_for(milliseconds(13'000));
        callers.reset();
        for (int upstream = 0; upstream < each.limited; ++upstream) {
            auto found = fleet.usageOf(upstream, namedAt + limitSettleTime, each.limit);
            MESSAGE(std::string(each.name)
                << ", upstream " << upstream << ": at most " << found.mostInWindow << " in 4 s, allowed "
                << found.allowedInWindow << "; " << found.sharePercent << " % of the limit used");
            CHECK(found.mostInWindow <= found.allowedInWindow);
            CHECK(found.sharePercent >= (each.isServedElsewhere ? 0 : minSharePercent));
        }
        auto calls = fleet.calls();
        MESSAGE(std::string(each.name)
            << ": " << calls.served << " of " << calls.sent << " served, " << calls.refused
            << " refused, slowest refusal " << calls.slowestRefusal.count() << " ms");
        CHECK((!each.isServedElsewhere || each.hasRetries || calls.served * 100 >= calls.sent * 99));
        CHECK(calls.refusedWithoutRetryAfter == 0);
        CHECK(calls.slowestRefusal <= maxRefusalTime);
    }
}

TEST_CASE("An upstream that names no limit any more gets its full share again")
{
    rate_limit_fleet fleet(16, 2);
    auto callers = fleet.startCallers(40);
    std::this_thread::sleep_for(milliseconds(500));
    fleet.setLimits(2, 1);
    std::this_thread::sleep_for(milliseconds(6'000));
    fleet.setLimits(0, 1);
    std::this_thread::sleep_for(milliseconds(3'000));
    auto since = steady_clock::now();
    std::this_thread::sleep_for(milliseconds(3'000));
    callers.reset();
    auto after = fleet.arrivalsSince(0, since);
    MESSAGE(after << " requests in 3 s after the limit");
    CHECK(after >= 20); // A third of its even share.
}

}
