#include "marlsill/gateway/account_counters.h"

#include <doctest/doctest.h>

namespace marlsill::gateway {

namespace {

    // Returns the value of a metric, or -1 if there is none.
    long valueOf(const std::string& text, const std::string& metric)
    {
        auto start = text.find("\n" + metric + " ");
        return start == std::string::npos ? -1 : std::stol(text.substr(start + metric.size() + 2));
    }

    std::string textOf(const account_counters& counters)
    {
        std::string text;
        counters.appendTo(text);
        return text;
    }

}

TEST_CASE("Nothing is stated before a request of an account") { CHECK(textOf(account_counters()).empty()); }

TEST_CASE("The 20 largest accounts are named and the others summed up")
{
    account_counters counters;
    for (int account = 1; account <= 25; ++account) {
        for (int request = 0; request < account; ++request) {
            counters.countRequest("a" + std::to_string(account));
        }
        counters.countLimited("a" + std::to_string(account));
        counters.countAnswered("a" + std::to_string(account));
        counters.countAnswered("a" + std::to_string(account));
    }
    auto text = textOf(counters);
    CHECK(valueOf(text, R"(marlsill_account_requests_total{account="a25"})") == 25);
    CHECK(valueOf(text, R"(marlsill_account_requests_total{account="a6"})") == 6);
    CHECK(valueOf(text, R"(marlsill_account_requests_total{account="a5"})") == -1);
    CHECK(valueOf(text, "marlsill_other_accounts_requests_total") == 1 + 2 + 3 + 4 + 5);
    CHECK(valueOf(text, R"(marlsill_account_limited_total{account="a7"})") == 1);
    CHECK(valueOf(text, "marlsill_other_accounts_limited_total") == 5);
    CHECK(valueOf(text, R"(marlsill_account_answered_total{account="a7"})") == 2);
    CHECK(valueOf(text, "marlsill_other_accounts_answered_total") == 10);
}

TEST_CASE("The memory is bounded, no count is lost and large accounts stay")
{
    // Guards against a memory that grows with all accounts that were ever seen.
    account_counters counters;
    constexpr int largeRequests = 5;
    for (int request = 0; request < largeRequests; ++request) {
        counters.countRequest("large");
    }
    constexpr int small = 10'000;
    for (int account = 0; account < small; ++account) {
        counters.countRequest("s" + std::to_string(account));
    }
    CHECK(counters.size() <= 2'000);
    auto text = textOf(counters);
    CHECK(valueOf(text, R"(marlsill_account_requests_total{account="large"})") == largeRequests);
    CHECK(valueOf(text, "marlsill_other_accounts_requests_total") == small - 19);
}

TEST_CASE("Names are escaped as values of labels")
{
    account_counters counters;
    counters.countRequest("a\"} 9\\");
    CHECK(valueOf(textOf(counters), R"(marlsill_account_requests_total{account="a\"} 9\\"})") == 1);
}

}
