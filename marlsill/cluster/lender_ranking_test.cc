// Tests of the order of VMs for each account. Guards against VMs that rank differently with the same members,
// and against orders that are out of date after changes.

#include "marlsill/cluster/lender_ranking.h"

#include <doctest/doctest.h>
#include <random>

namespace marlsill::cluster {

namespace {

    using time_point = boot_clock::time_point;

    std::vector<lender_candidate> fleetOf(int vms)
    {
        std::vector<lender_candidate> candidates;
        for (int index = 0; index < vms; ++index) {
            candidates.push_back({ "10.0." + std::to_string(index / 256) + "." + std::to_string(index % 256),
                index % 10 == 0 ? 0.5 : 0.1, true });
        }
        return candidates;
    }

    std::vector<std::string> holdersIn(
        std::span<const lender_candidate> candidates, const std::string& account)
    {
        lender_ranking fresh({});
        fresh.update(candidates, time_point());
        auto order = fresh.orderOf(account, time_point());
        return { order.holders.begin(), order.holders.end() };
    }

}

TEST_CASE("An order that is corrected after changes is the one that a VM works out anew")
{
    for (int vms : { 3, 20, 400 }) {
        CAPTURE(vms);
        std::mt19937_64 random(5);
        auto all = fleetOf(vms);
        lender_ranking ranking({ .settleTime = std::chrono::milliseconds(0) });
        for (int step = 0; step < 200; ++step) {
            std::vector<lender_candidate> present;
            for (const auto& each : all) {
                bool isPresent = random() % 100 < (step % 20 == 0 ? 30 : 90);
                if (isPresent) {
                    present.push_back(each);
                    present.back().isReachable = random() % 4 != 0;
                }
            }
            ranking.update(present, time_point(std::chrono::milliseconds(step)));
            for (const auto* account : { "a", "b", "c" }) {
                auto order = ranking.orderOf(account, time_point());
                CHECK(std::vector<std::string>(order.holders.begin(), order.holders.end())
                    == holdersIn(present, account));
                auto lenders = ranking.lendersOf(account, time_point());
                CHECK((lenders.empty() ? order.lender.empty() : order.lender == lenders.front()));
                for (const auto& lender : lenders) {
                    CHECK(std::any_of(present.begin(), present.end(),
                        [&](const auto& each) { return each.host == lender && each.isReachable; }));
                }
            }
        }
    }
}

TEST_CASE("Shares stay with a VM that cannot be reached, and another one lends")
{
    auto candidates = fleetOf(30);
    lender_ranking ranking({});
    ranking.update(candidates, time_point());
    auto first = std::string(ranking.orderOf("a", time_point()).lender);
    for (auto& each : candidates) {
        each.isReachable = each.host != first;
    }
    ranking.update(candidates, time_point(std::chrono::seconds(1)));
    auto order = ranking.orderOf("a", time_point());
    CHECK(order.holders.front() == first);
    CHECK(order.lender == order.holders[1]);
    CHECK(order.since == time_point()); // No VM came or went.
    std::erase_if(candidates, [&](const auto& each) { return each.host == first; });
    ranking.update(candidates, time_point(std::chrono::seconds(2)));
    CHECK(ranking.orderOf("a", time_point()).since == time_point(std::chrono::seconds(2)));
}

TEST_CASE("A VM that comes up is ranked once it lends, and those that are known from the start at once")
{
    auto at = [](int ms) { return time_point(std::chrono::milliseconds(ms)); };
    auto candidates = fleetOf(7);
    lender_ranking ranking({});
    ranking.update(std::span(candidates).first(5), at(0));
    CHECK(ranking.orderOf("a", at(0)).holders.size() == 5);
    ranking.update(std::span(candidates).first(6), at(1'500)); // This VM still learns of others.
    CHECK(ranking.orderOf("a", at(1'500)).holders.size() == 6);
    CHECK_FALSE(ranking.isSettling());
    struct row {
        const char* name;
        int ms;
        std::size_t vms;
        std::uint64_t incarnation; // Of the last VM.
        std::size_t ranked;
    };
    const row rows[] = {
        { "a VM comes up", 10'000, 7, 1, 6 },
        { "it lends soon", 11'900, 7, 1, 6 },
        { "it lends", 12'000, 7, 1, 7 },
        { "it started again, unnoticed", 20'000, 7, 2, 6 },
        { "it lends again", 22'000, 7, 2, 7 },
        { "it leaves", 30'000, 6, 2, 6 },
        { "the same process again", 30'500, 7, 2, 6 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        candidates.back().incarnation = each.incarnation;
        ranking.update(std::span(candidates).first(each.vms), at(each.ms));
        CHECK(ranking.orderOf("a", at(each.ms)).holders.size() == each.ranked);
        CHECK(ranking.isSettling() == (each.ranked < each.vms));
    }
    candidates.back().isSelf = true;
    ranking.update(candidates, at(31'000));
    CHECK(ranking.orderOf("a", at(31'000)).holders.size() == 7);
}

TEST_CASE("Strong VMs lend for most accounts, and accounts that are not used are forgotten")
{
    lender_ranking ranking({});
    ranking.update(fleetOf(100), time_point());
    int strong = 0;
    for (int account = 0; account < 1'000; ++account) {
        auto lender = std::string(ranking.orderOf("account" + std::to_string(account), time_point()).lender);
        auto last = std::stoi(lender.substr(lender.rfind('.') + 1));
        strong += last % 10 == 0 ? 1 : 0;
    }
    CHECK(strong > 650); // 10 of 100 VMs have 250 of 340 parts of the weight.
    CHECK(ranking.size() == 1'000);
    ranking.forgetIdle(time_point(std::chrono::minutes(2)));
    CHECK(ranking.size() == 0);
    CHECK(ranking.orderOf("a", time_point()).holders.size() == 7);
    lender_ranking unknowing({});
    CHECK(unknowing.orderOf("a", time_point()).holders.empty());
}

}
