#include "marlsill/placement/retry_after_holds.h"

#include "marlsill/placement/load_balancer.h"

#include <doctest/doctest.h>
#include <functional>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };
    constexpr std::int64_t firstStart = 1'000;

    upstream_entry entryOf(const std::string& id, std::int64_t startedUnixMs = firstStart)
    {
        return {
            .id = id, .service = "s", .address = "127.0.0.1:1", .slots = 4, .startedUnixMs = startedUnixMs
        };
    }

}

TEST_CASE("Each form of Retry-After has one meaning")
{
    struct row {
        const char* text;
        std::optional<milliseconds> delay;
    };
    const row rows[] = {
        { "0", milliseconds(0) },
        { "1", milliseconds(1'000) },
        { "007", milliseconds(7'000) },
        { "1.5", milliseconds(1'500) },
        { "0.25", milliseconds(250) },
        { "0.0001", milliseconds(1) }, // Rounded up: nothing is sent too early.
        { "2.0000", milliseconds(2'000) },
        { "3600", maxRetryAfterHold },
        { "3600.5", maxRetryAfterHold },
        { "30000", maxRetryAfterHold },
        { "99999999999999999999999999999999999999", maxRetryAfterHold },
        { "1.99999999999999999999999999999999999999", milliseconds(2'000) },
        { "", std::nullopt },
        { " 1", std::nullopt },
        { "-1", std::nullopt },
        { "+1", std::nullopt },
        { "1.", std::nullopt },
        { ".5", std::nullopt },
        { "1.5.2", std::nullopt },
        { "1e3", std::nullopt },
        { "0x10", std::nullopt },
        { "1, 2", std::nullopt },
        { "inf", std::nullopt },
        { "soon", std::nullopt },
        { "Fri, 31 Dec 2100 23:59:59 GMT", std::nullopt },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.text));
        reason why;
        CHECK(parseRetryAfter(each.text, why) == each.delay);
        CHECK(why.text.empty() == each.delay.has_value());
    }
}

TEST_CASE("A hold ends at the latest time that was stated, or with a new start")
{
    struct statement {
        int atMs;
        int delayMs;
        std::int64_t startedUnixMs = firstStart;
        std::int64_t statedUnixMs = firstStart + 10'000;
    };
    struct row {
        const char* name;
        std::vector<statement> statements;
        std::int64_t startedUnixMs; // Of the entry that is asked for.
        int endsAtMs; // 0: it is not held.
    };
    const row rows[] = {
        { "nothing stated", {}, firstStart, 0 },
        { "one", { { 0, 1'000 } }, firstStart, 1'000 },
        { "none of a time", { { 0, 0 } }, firstStart, 0 },
        { "a later end", { { 0, 1'000 }, { 100, 2'000 } }, firstStart, 2'100 },
        { "an earlier end", { { 0, 2'000 }, { 100, 500 } }, firstStart, 2'000 },
        { "no time after one", { { 0, 2'000 }, { 100, 0 } }, firstStart, 2'000 },
        { "again after the end", { { 0, 500 }, { 900, 500 } }, firstStart, 1'400 },
        { "beyond the cap", { { 0, 2'000'000'000 } }, firstStart, 3'600'000 },
        { "a start after the statement", { { 0, 2'000 } }, firstStart + 10'001, 0 },
        { "a start before the statement that was not known then", { { 0, 2'000 } }, firstStart + 9'000,
            2'000 },
        { "an older registration", { { 0, 2'000 } }, firstStart - 1, 2'000 },
        { "a new start states its own",
            { { 0, 9'000 }, { 100, 500, firstStart + 20'000, firstStart + 20'500 } }, firstStart + 20'000,
            600 },
        { "late answer of the start before", { { 0, 500, firstStart + 1 }, { 100, 9'000 } }, firstStart + 1,
            500 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        retry_after_holds holds;
        auto asked = start;
        for (const auto& stated : each.statements) {
            asked = start + milliseconds(stated.atMs);
            holds.hold(
                "u", { stated.startedUnixMs, stated.statedUnixMs, milliseconds(stated.delayMs) }, 0, asked);
        }
        auto until = holds.heldUntil(entryOf("u", each.startedUnixMs), asked);
        CHECK(until.has_value() == (each.endsAtMs > 0));
        CHECK((!until || *until == start + milliseconds(each.endsAtMs)));
        CHECK((!until || !holds.isHeld(entryOf("u", each.startedUnixMs), *until)));
        CHECK_FALSE(holds.isHeld(entryOf("v", each.startedUnixMs), asked));
    }
}

TEST_CASE("Holds are reported once, VMs return apart, and load rises from one request")
{
    retry_after_holds holds;
    CHECK(holds.hold("u", { firstStart, firstStart, milliseconds(1'000) }, 0, start)
        == start + milliseconds(1'000));
    CHECK_FALSE(holds.hold("u", { firstStart, firstStart, milliseconds(1'000) }, 0, start + milliseconds(5)));
    CHECK(holds.hold("u", { firstStart, firstStart, milliseconds(2'000) }, 0, start + milliseconds(10)));
    auto entry = entryOf("u");
    auto end = *holds.heldUntil(entry, start + milliseconds(10));
    CHECK_FALSE(holds.maxInFlight(entry, end - milliseconds(1)));
    CHECK(holds.maxInFlight(entry, end) == 1);
    CHECK(holds.maxInFlight(entry, end + milliseconds(250)) == 3);
    CHECK_FALSE(holds.maxInFlight(entry, end + milliseconds(500)));
    retry_after_holds staggered;
    CHECK(staggered.hold("u", { firstStart, firstStart, milliseconds(10'000) }, 1, start)
        == start + milliseconds(10'250));
    CHECK(staggered.hold("v", { firstStart, firstStart, milliseconds(400) }, 1, start)
        == start + milliseconds(500));
}

TEST_CASE("Holds that have ended do not fill the memory")
{
    retry_after_holds holds;
    for (int index = 0; index < 10'000; ++index) {
        holds.hold("u" + std::to_string(index), { firstStart, firstStart, milliseconds(100) }, 0,
            start + milliseconds(10 * index));
    }
    CHECK(holds.size() <= 200);
}

TEST_CASE("No choice falls on a held upstream, whatever its health")
{
    struct row {
        const char* name;
        std::function<void(load_balancer&)> prepare;
    };
    const row rows[] = {
        { "healthy", [](auto&) {} },
        { "excluded, its probe is due",
            [](auto& balancer) {
                balancer.applyEvidence({ "u0", evidence_kind::failed }, true, start);
            } },
        { "readmitted",
            [](auto& balancer) {
                balancer.applyEvidence({ "u0", evidence_kind::failed }, true, start);
                balancer.applyEvidence({ "u0", evidence_kind::recovered }, true, start);
            } },
        { "all others excluded",
            [](auto& balancer) {
                for (const auto* each : { "u1", "u2", "u3", "u4", "u5" }) {
                    balancer.applyEvidence({ each, evidence_kind::failed }, true, start);
                }
            } },
        { "the floor asks for unused ones",
            [](auto& balancer) {
                for (const auto* each : { "u0", "u1", "u2", "u3", "u4", "u5" }) {
                    balancer.applyEvidence({ each, evidence_kind::failed }, true, start);
                }
                for (int request = 0; request < 50; ++request) {
                    balancer.recordOutcome("s", false, start);
                }
            } },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        load_balancer balancer({}, 7);
        std::vector<upstream_entry> entries;
        for (int index = 0; index < 6; ++index) {
            entries.push_back(entryOf("u" + std::to_string(index)));
        }
        balancer.replaceUpstreams(entries, start);
        each.prepare(balancer);
        auto until = *balancer.recordTurnAway("u0", { firstStart, firstStart, milliseconds(6'000) }, start);
        for (int step = 0; step < 60; ++step) {
            auto now = start + milliseconds(100 * step);
            for (bool isAtMostOnce : { true, false }) {
                auto chosen = balancer.choose(
                    { .service = "s", .isAtMostOnce = isAtMostOnce, .mayUseExcluded = true }, now);
                CHECK(chosen.status == choice_status::chosen);
                CHECK((!chosen.upstream || chosen.upstream->id != "u0"));
            }
        }
        for (int index = 1; index < 6; ++index) {
            balancer.recordTurnAway(
                "u" + std::to_string(index), { firstStart, firstStart, milliseconds(9'000) }, until);
        }
        auto after = balancer.choose({ .service = "s", .mayUseExcluded = true }, until);
        REQUIRE(after.status == choice_status::chosen);
        CHECK(after.upstream->id == "u0");
        balancer.recordTurnAway("u0", { firstStart, firstStart, milliseconds(1'000) }, until);
        CHECK(balancer.choose({ .service = "s" }, until).status == choice_status::allHeld);
        CHECK(balancer.statsOf("s", until).slots == 0);
        CHECK(balancer.heldCapacity("s", until).size() == 6);
    }
}

}
