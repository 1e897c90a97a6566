#include "marlsill/placement/windowed_retry_budget.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

    int acquireAll(windowed_retry_budget& budget, steady_clock::time_point now)
    {
        int acquired = 0;
        while (acquired < 1000 && budget.tryAcquire(now)) {
            ++acquired;
        }
        return acquired;
    }

}

TEST_CASE("Extra attempts stay within the ratio and the slack of a window")
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
        CHECK(acquireAll(budget, start) == each.expected);
        CHECK(acquireAll(budget, start + milliseconds(9'000)) == 0);
    }
}

TEST_CASE("No window exceeds the limit, wherever it starts")
{
    windowed_retry_budget budget({ milliseconds(10'000), 0.2, 5 });
    std::vector<steady_clock::time_point> acquired;
    for (int step = 0; step < 600; ++step) {
        auto now = start + step * milliseconds(100);
        budget.countRequest(now);
        while (budget.tryAcquire(now)) {
            acquired.push_back(now);
        }
    }
    for (auto first : acquired) {
        auto inWindow = std::count_if(acquired.begin(), acquired.end(),
            [&](auto each) { return each >= first && each < first + milliseconds(10'000); });
        CHECK(inWindow <= 0.2 * 100 + 5);
    }
}

}
