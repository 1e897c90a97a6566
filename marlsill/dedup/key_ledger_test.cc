#include "marlsill/dedup/key_ledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <thread>

namespace marlsill::dedup {

namespace {

    constexpr const char* incarnation = "00000000000000aa";
    const steady_clock::time_point start {};
    const wall_deadline wallStart {};

    std::shared_ptr<const http::response_message> makeAnswer()
    {
        return std::make_shared<http::response_message>();
    }

    std::string makeKey(key_window window, const std::string& unique)
    {
        return keyPrefix(incarnation, window) + unique;
    }

}

TEST_CASE("only keys of the form INCARNATION.WINDOW.UNIQUE are parsed")
{
    struct row {
        std::string_view key;
        bool isValid;
    };
    constexpr row rows[] = {
        { "00000000000000aa.3.booking-17", true },
        { "00000000000000aa.3.a.b", true },
        { "00000000000000aa.3.", false },
        { "00000000000000aa..x", false },
        { "00000000000000aa.-1.x", false },
        { "00000000000000aa.99999999999.x", false },
        { "00000000000000a.3.x", false },
        { "00000000000000AA.3.x", false },
        { "booking-17", false },
        { "", false },
    };
    for (const row& each : rows) {
        CAPTURE(each.key);
        CHECK(parseKey(each.key).has_value() == each.isValid);
    }
}

TEST_CASE("concurrent senders dispatch a key at most once, and never after it was cancelled")
{
    for (int round = 0; round < 200; ++round) {
        key_ledger ledger(incarnation, {}, start, wallStart);
        std::atomic<int> dispatched = 0;
        std::atomic<int> cancelled = 0;
        std::vector<std::jthread> senders;
        for (int sender = 0; sender < 6; ++sender) {
            senders.emplace_back([&, sender] {
                auto begun = ledger.begin(makeKey(0, "x"), 7, start);
                if (sender % 3 == 0) {
                    cancelled += begun.entry->tryCancel() ? 1 : 0;
                } else {
                    dispatched += begun.entry->tryDispatch() ? 1 : 0;
                }
            });
        }
        senders.clear();
        CHECK(dispatched <= 1);
        bool isOneOutcome = (dispatched == 1 && cancelled == 0) || (dispatched == 0 && cancelled >= 1);
        CHECK(isOneOutcome);
    }
}

TEST_CASE("resolving an unknown key prevents a later first send from being dispatched")
{
    key_ledger ledger(incarnation, {}, start, wallStart);
    auto resolved = ledger.resolve(makeKey(0, "x"), start);
    REQUIRE(resolved);
    CHECK(resolved->state() == key_state::cancelled);
    auto late = ledger.begin(makeKey(0, "x"), 7, start);
    REQUIRE(late.status == begin_status::exists);
    CHECK_FALSE(late.entry->tryDispatch());
}

TEST_CASE("keys of expired windows are neither dispatched nor reported as not run")
{
    ledger_options options { .windowLength = std::chrono::seconds(10) };
    key_ledger ledger(incarnation, options, start, wallStart);
    struct row {
        int seconds;
        key_window window;
        begin_status expected;
    };
    constexpr row rows[] = {
        { 0, 0, begin_status::isNew },
        { 19, 0, begin_status::isNew },
        { 20, 0, begin_status::expired },
        { 20, 1, begin_status::isNew },
        { 20, 3, begin_status::isNew },
        { 20, 4, begin_status::expired },
    };
    int unique = 0;
    for (const row& each : rows) {
        auto now = start + std::chrono::seconds(each.seconds);
        auto key = makeKey(each.window, std::to_string(unique++));
        CHECK(ledger.begin(key, 7, now).status == each.expected);
    }
    auto late = start + std::chrono::seconds(30);
    CHECK(ledger.dropExpired(late) == 2);
    CHECK(ledger.begin(makeKey(0, "0"), 7, late).status == begin_status::expired);
    CHECK(ledger.resolve(makeKey(0, "0"), late) == nullptr);
}

TEST_CASE("a full or closed ledger accepts no new keys and drops none")
{
    key_ledger ledger(incarnation, { .maxEntries = 2 }, start, wallStart);
    auto first = ledger.begin(makeKey(0, "1"), 7, start);
    CHECK(ledger.begin(makeKey(0, "2"), 7, start).status == begin_status::isNew);
    CHECK(ledger.begin(makeKey(0, "3"), 7, start).status == begin_status::full);
    REQUIRE(first.entry->tryDispatch());
    first.entry->finish(makeAnswer());
    auto resend = ledger.begin(makeKey(0, "1"), 7, start);
    CHECK(resend.status == begin_status::exists);
    CHECK(resend.entry->state() == key_state::finished);
    CHECK(ledger.begin(makeKey(0, "1"), 8, start).status == begin_status::otherRequest);
    auto handedOver = ledger.close();
    CHECK(handedOver.size() == 2);
    CHECK(ledger.begin(makeKey(0, "4"), 7, start).status == begin_status::full);
    for (const auto& each : handedOver) {
        CHECK((each.state == key_state::finished || each.state == key_state::cancelled));
    }
}

TEST_CASE("reported outcomes agree with what ran, in any order of steps")
{
    bool holds = rc::check([] {
        key_ledger ledger(incarnation, { .windowLength = std::chrono::seconds(10) }, start, wallStart);
        auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
        int runs = 0;
        bool wasReportedNotRun = false;
        int seconds = 0;
        for (int step : steps) {
            auto now = start + std::chrono::seconds(seconds);
            auto begun = ledger.begin(makeKey(0, "x"), 7, now);
            auto entry = begun.entry;
            if (step == 0 && entry && entry->tryDispatch()) {
                ++runs;
            } else if (step == 1 && entry && entry->tryCancel()) {
                wasReportedNotRun = true;
            } else if (step == 2 && entry && entry->state() == key_state::dispatched) {
                entry->finish(makeAnswer());
            } else if (step == 3) {
                auto resolved = ledger.resolve(makeKey(0, "x"), now);
                wasReportedNotRun
                    = wasReportedNotRun || (resolved && resolved->state() == key_state::cancelled);
            } else if (step == 4) {
                seconds += 4;
                ledger.dropExpired(start + std::chrono::seconds(seconds));
            }
        }
        RC_ASSERT(runs <= 1);
        RC_ASSERT(!(wasReportedNotRun && runs > 0));
    });
    CHECK(holds);
}

}
