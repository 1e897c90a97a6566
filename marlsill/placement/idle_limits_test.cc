#include "marlsill/placement/idle_limits.h"

#include <doctest/doctest.h>
#include <vector>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

}

TEST_CASE("One forgotten connection limits the reuse for its service, for a time")
{
    struct limit_case {
        const char* name;
        std::vector<int> lossesAtMs;
        const char* service;
        int usualMs;
        int askedAtMs;
        int expectedMs;
    };
    const limit_case cases[] = {
        { "nothing lost", {}, "bookings", 1500, 0, 1500 },
        { "one loss", { 0 }, "bookings", 1500, 10, 100 },
        { "another service", { 0 }, "histories", 1500, 10, 1500 },
        { "never above the usual limit", { 0 }, "bookings", 50, 10, 50 },
        { "over in time", { 0 }, "bookings", 1500, 10'000, 1500 },
        { "a loss renews it", { 0, 6'000 }, "bookings", 1500, 12'000, 100 },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        idle_limits limits;
        for (int at : each.lossesAtMs) {
            limits.recordKeepAliveRace("bookings", start + milliseconds(at));
        }
        auto limit = limits.maxIdleOf(
            each.service, milliseconds(each.usualMs), start + milliseconds(each.askedAtMs));
        CHECK(limit == milliseconds(each.expectedMs));
    }
}

}
