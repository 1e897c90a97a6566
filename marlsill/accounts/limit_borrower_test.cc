// Tests of the decisions of a borrower.

#include "marlsill/accounts/limit_borrower.h"

#include <doctest/doctest.h>

namespace marlsill::accounts {

namespace {

    using std::chrono::milliseconds;
    using time_point = boot_clock::time_point;

    const std::vector<std::string> lenders { "l1", "l2" };

    time_point at(int ms) { return time_point(milliseconds(ms)); }

    std::optional<limit_borrower::addressed_request> query(
        limit_borrower& borrower, int ms, std::size_t waiting = 1)
    {
        return borrower.dueQuery("a", { waiting, { 10, 10, 1 }, lenders }, at(ms));
    }

}

TEST_CASE("A query is repeated, goes to the next VM, and is made once for all that wait")
{
    limit_borrower borrower({});
    CHECK(borrower.take("a", at(0)).status == take_status::waiting);
    CHECK(borrower.take("a", at(0)).status == take_status::waiting);
    struct row {
        int ms;
        const char* host; // nullptr: nothing is sent.
    };
    const row rows[] = { { 0, "l1" }, { 1, nullptr }, { 39, nullptr }, { 40, "l1" }, { 80, "l2" },
        { 120, "l2" }, { 160, "l1" } };
    for (const auto& each : rows) {
        CAPTURE(each.ms);
        auto found = query(borrower, each.ms, 2);
        CHECK(found.has_value() == (each.host != nullptr));
        if (found && each.host) {
            CHECK(found->host == each.host);
            CHECK(found->request.wanted == 2);
        }
    }
    CHECK_FALSE(query(borrower, 500, 0)); // Nobody waits any more.
}

TEST_CASE("Tokens end at their lifetime after the query, whenever the answer arrives")
{
    struct row {
        const char* name;
        int answeredAtMs;
        int takenAtMs;
        take_status taken;
    };
    const row rows[] = {
        { "at once", 5, 5, take_status::taken },
        { "a late answer, still valid", 190, 199, take_status::taken },
        { "a late answer", 200, 200, take_status::waiting },
        { "used late", 5, 200, take_status::waiting },
        { "after a pause of 8 s", 8'000, 8'000, take_status::waiting },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        limit_borrower borrower({});
        borrower.take("a", at(0));
        auto sent = query(borrower, 0);
        REQUIRE(sent);
        borrower.applyAnswer("l1", { "a", sent->request.number, 1, {}, true }, at(each.answeredAtMs));
        auto taken = borrower.takeForWaiting("a", at(each.takenAtMs));
        CHECK(taken.status == each.taken);
        CHECK((taken.status != take_status::taken || taken.until == at(200)));
    }
}

TEST_CASE("An answer counts once, and only from the VM that was asked")
{
    limit_borrower borrower({});
    borrower.take("a", at(0));
    auto sent = query(borrower, 0);
    REQUIRE(sent);
    token_answer answer { "a", sent->request.number, 1, {}, true };
    CHECK_FALSE(borrower.applyAnswer("x", answer, at(1)));
    CHECK(borrower.applyAnswer("l1", answer, at(1)));
    CHECK_FALSE(borrower.applyAnswer("l1", answer, at(2)));
    CHECK(borrower.takeForWaiting("a", at(3)).status == take_status::taken);
    CHECK(borrower.takeForWaiting("a", at(3)).status == take_status::waiting);
}

TEST_CASE("A refusal holds for all requests until its time, half a second at most")
{
    struct row {
        int delayMs;
        int untilMs;
    };
    const row rows[] = { { 100, 101 }, { 500, 501 }, { 60'000, 501 }, { 0, 2 } };
    for (const auto& each : rows) {
        limit_borrower borrower({});
        borrower.take("a", at(0));
        auto sent = query(borrower, 0);
        CHECK(borrower.applyAnswer(
            "l1", { "a", sent->request.number, 0, milliseconds(each.delayMs), true }, at(1)));
        CHECK(borrower.take("a", at(1)).status == take_status::refused);
        CHECK(borrower.take("a", at(1)).until == at(each.untilMs));
        CHECK_FALSE(query(borrower, 1));
        CHECK(borrower.take("a", at(each.untilMs)).status == take_status::waiting);
        CHECK(query(borrower, each.untilMs));
    }
}

TEST_CASE("A VM that does not lend passes the query on to the next, without going in circles")
{
    limit_borrower borrower({});
    borrower.take("a", at(0));
    auto first = query(borrower, 0);
    borrower.applyAnswer("l1", { "a", first->request.number, 0, {}, false }, at(2));
    auto second = query(borrower, 2);
    REQUIRE(second);
    CHECK(second->host == "l2");
    borrower.applyAnswer("l2", { "a", second->request.number, 0, {}, false }, at(4));
    auto third = query(borrower, 4);
    REQUIRE(third);
    CHECK(third->host == "l1");
    borrower.applyAnswer("l1", { "a", third->request.number, 0, {}, false }, at(6));
    CHECK_FALSE(query(borrower, 6));
    CHECK(query(borrower, 44));
}

TEST_CASE("A query asks for the demand of the last quarter of a second")
{
    limit_borrower borrower({});
    for (int ms = 0; ms < 250; ms += 25) {
        borrower.take("a", at(ms));
    }
    borrower.take("a", at(250));
    auto sent = query(borrower, 250);
    REQUIRE(sent);
    CHECK(sent->request.wanted == 11);
    for (int index = 0; index < 500; ++index) {
        borrower.take("a", at(260));
    }
    CHECK(query(borrower, 300)->request.wanted == 64);
}

TEST_CASE("A token that was given back serves another request until it ends")
{
    limit_borrower borrower({});
    borrower.take("a", at(0));
    borrower.giveBack("a", at(300), at(100));
    CHECK(borrower.takeForWaiting("a", at(101)).status == take_status::taken);
    borrower.giveBack("a", at(300), at(300));
    CHECK(borrower.takeForWaiting("a", at(300)).status == take_status::waiting);
    borrower.forgetIdle(at(20'000));
    CHECK(borrower.size() == 0);
    borrower.giveBack("a", at(30'000), at(20'000)); // Unknown by now.
    CHECK(borrower.size() == 0);
}

}
