#include "marlsill/placement/crash_quarantine.h"
#include "marlsill/placement/windowed_retry_budget.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

    int takeAll(windowed_retry_budget& budget, steady_clock::time_point now)
    {
        int taken = 0;
        while (taken < 1000 && budget.tryAcquire(now)) {
            ++taken;
        }
        return taken;
    }

}

TEST_CASE("Extra arrivals stay within the ratio and the slack of a window")
{
    struct budget_case {
        int requests;
        double ratio;
        double slack;
        int expected;
    };
    const budget_case cases[] = { { 0, 0.2, 0, 0 }, { 0, 0.2, 3, 3 }, { 100, 0.2, 0, 20 },
        { 100, 0.2, 9.5, 29 }, { 4, 0.2, 0, 0 }, { 5, 0.2, 0, 1 } };
    for (const auto& each : cases) {
        CAPTURE(each.requests);
        windowed_retry_budget budget({ milliseconds(10'000), each.ratio, each.slack });
        for (int request = 0; request < each.requests; ++request) {
            budget.countRequest(start);
        }
        CHECK(takeAll(budget, start) == each.expected);
        CHECK(takeAll(budget, start + milliseconds(9'000)) == 0);
    }
}

TEST_CASE("No window of any start holds more than its bound")
{
    windowed_retry_budget budget({ milliseconds(10'000), 0.2, 5 });
    std::vector<steady_clock::time_point> taken;
    for (int step = 0; step < 600; ++step) {
        auto now = start + step * milliseconds(100);
        budget.countRequest(now);
        while (budget.tryAcquire(now)) {
            taken.push_back(now);
        }
    }
    for (auto first : taken) {
        auto inWindow = std::count_if(taken.begin(), taken.end(),
            [&](auto each) { return each >= first && each < first + milliseconds(10'000); });
        // A hundred requests a window, and the part of a slot that ends with the window.
        CHECK(inWindow <= 0.2 * 110 + 5);
    }
}

TEST_CASE("A request is barred after it crashed two upstreams, and only that one")
{
    crash_quarantine list;
    CHECK(list.recordCrash(1, "a", start) == 1);
    CHECK_FALSE(list.isQuarantined(1, start));
    CHECK(list.recordCrash(1, "a", start) == 1);
    CHECK_FALSE(list.isQuarantined(1, start));
    CHECK(list.recordCrash(1, "b", start) == 2);
    CHECK(list.isQuarantined(1, start));
    CHECK_FALSE(list.isQuarantined(2, start));
    CHECK_FALSE(list.isQuarantined(1, start + milliseconds(60'000)));
}

TEST_CASE("A peer's count bars a request, and never lowers the own count")
{
    crash_quarantine list;
    list.mergePeerCount(1, 2, start);
    CHECK(list.isQuarantined(1, start));
    list.mergePeerCount(1, 1, start);
    CHECK(list.isQuarantined(1, start));
}

TEST_CASE("The memory of a list is bounded")
{
    crash_quarantine list({ .maxEntries = 10 });
    for (std::uint64_t print = 1; print <= 100; ++print) {
        list.mergePeerCount(print, 2, start);
    }
    int barred = 0;
    for (std::uint64_t print = 1; print <= 100; ++print) {
        barred += list.isQuarantined(print, start) ? 1 : 0;
    }
    CHECK(barred == 10);
}

}
