#include "marlsill/placement/idle_limits.h"

#include <doctest/doctest.h>
#include <vector>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

}

TEST_CASE("One keep-alive race limits the reuse of idle connections to its service for a while")
{
    struct limit_case {
        const char* name;
        std::vector<int> racesAtMs;
        const char* service;
        int usualMs;
        int askedAtMs;
        int expectedMs;
    };
    const limit_case cases[] = {
        { "no race", {}, "bookings", 1500, 0, 1500 },
        { "one race", { 0 }, "bookings", 1500, 10, 100 },
        { "another service", { 0 }, "histories", 1500, 10, 1500 },
        { "never above the usual limit", { 0 }, "bookings", 50, 10, 50 },
        { "expired", { 0 }, "bookings", 1500, 10'000, 1500 },
        { "another race renews it", { 0, 6'000 }, "bookings", 1500, 12'000, 100 },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        idle_limits limits;
        for (int at : each.racesAtMs) {
            limits.recordKeepAliveRace("bookings", start + milliseconds(at));
        }
        auto limit = limits.maxIdleOf(
            each.service, milliseconds(each.usualMs), start + milliseconds(each.askedAtMs));
        CHECK(limit == milliseconds(each.expectedMs));
    }
}

}
