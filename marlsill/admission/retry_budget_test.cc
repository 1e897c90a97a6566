#include "marlsill/admission/retry_budget.h"

#include <doctest/doctest.h>

namespace marlsill::admission {

TEST_CASE("retries stay within the budget however many are attempted")
{
    struct row {
        int percent;
        int requests;
        int atMost; // The percentage of the requests, plus the initial balance of five.
    };
    constexpr row rows[] = { { 10, 1000, 105 }, { 0, 1000, 5 }, { 100, 1000, 1005 } };
    for (const row& each : rows) {
        retry_budget budget(each.percent);
        int retries = 0;
        for (int request = 0; request < each.requests; ++request) {
            budget.countRequest();
            while (budget.tryTake()) {
                ++retries;
            }
        }
        CHECK(retries <= each.atMost);
        CHECK(retries >= each.atMost - 5);
    }
}

}
