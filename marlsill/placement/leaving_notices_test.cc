#include "marlsill/placement/leaving_notices.h"

#include "marlsill/placement/load_balancer.h"

#include <doctest/doctest.h>
#include <functional>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

    upstream_entry entryOf(std::int64_t startedUnixMs, std::uint64_t version, const char* service = "s")
    {
        return { .id = "u", .service = service, .startedUnixMs = startedUnixMs, .version = version };
    }

    // One step of a sequence of reports about the upstream "u".
    struct report {
        enum class kind { notice, registered, removed, wait };
        kind what = kind::notice;
        upstream_entry entry {};
        milliseconds length {};
        bool isNews = true; // Of a notice.
    };

    report notice(std::int64_t startedUnixMs, bool isNews = true)
    {
        return { .entry = entryOf(startedUnixMs, 0), .isNews = isNews };
    }

    report registered(std::int64_t startedUnixMs, std::uint64_t version, const char* service = "s")
    {
        return { .what = report::kind::registered, .entry = entryOf(startedUnixMs, version, service) };
    }

    report removed() { return { .what = report::kind::removed }; }
    report wait(milliseconds length) { return { .what = report::kind::wait, .length = length }; }

}

TEST_CASE("A notice holds for the process that gave it, whatever else is reported")
{
    struct row {
        const char* name;
        std::vector<report> reports;
        bool isLeaving; // The last registration.
        std::size_t ended;
    };
    constexpr milliseconds lifetime = leaving_notice_options().unregisteredLifetime;
    const row rows[] = {
        { "none", { registered(5, 1) }, false, 0 }, { "one", { registered(5, 1), notice(5) }, true, 0 },
        { "a second one is no news", { registered(5, 1), notice(5), notice(5, false) }, true, 0 },
        { "a changed registration", { registered(5, 1), notice(5), registered(5, 2) }, true, 0 },
        { "before the registration", { notice(5), registered(5, 1) }, true, 0 },
        { "removed and back", { registered(5, 1), notice(5), removed(), registered(5, 9) }, true, 0 },
        { "removed twice",
            { registered(5, 1), notice(5), removed(), removed(), wait(lifetime / 2), registered(5, 1) }, true,
            0 },
        { "a later process", { registered(5, 1), notice(5), registered(6, 2) }, false, 1 },
        { "a later process that leaves", { registered(5, 1), notice(5), registered(6, 2), notice(6) }, true,
            1 },
        { "the earlier process once more", { registered(5, 1), notice(5), registered(4, 1) }, true, 0 },
        { "of an earlier process", { registered(5, 1), notice(4, false) }, false, 0 },
        { "of a later process that is not registered yet", { registered(5, 1), notice(6), registered(6, 2) },
            true, 0 },
        { "another service", { registered(5, 1), notice(5), registered(5, 2, "t") }, false, 1 },
        { "start unknown, changed", { registered(0, 1), notice(0), registered(0, 2) }, true, 0 },
        { "start unknown, removed and registered anew",
            { registered(0, 1), notice(0), removed(), registered(0, 2) }, false, 1 },
        { "start unknown, removed and back from an older copy",
            { registered(0, 3), notice(0), removed(), registered(0, 2) }, true, 0 },
        { "start unknown, back from an older copy, then current",
            { registered(0, 3), notice(0), removed(), registered(0, 2), registered(0, 4) }, true, 0 },
        { "removed for long", { registered(5, 1), notice(5), removed(), wait(lifetime), registered(5, 2) },
            true, 0 }, // Forgotten only with the next notice or removal.
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        leaving_notices notices;
        std::optional<upstream_entry> current;
        std::size_t ended = 0;
        auto now = start;
        for (const auto& step : each.reports) {
            switch (step.what) {
            case report::kind::notice:
                CHECK(
                    notices.record({ "u", step.entry.startedUnixMs, now }, current ? &*current : nullptr, now)
                    == step.isNews);
                break;
            case report::kind::registered:
                current = step.entry;
                notices.noteRegistered(*current);
                break;
            case report::kind::removed:
                current.reset();
                notices.noteRemoved("u", now);
                break;
            case report::kind::wait:
                now += step.length;
            }
            ended += notices.takeEnded().size();
        }
        CHECK(notices.isLeaving(*current) == each.isLeaving);
        CHECK(ended == each.ended);
    }
}

TEST_CASE("Notices of removed upstreams are forgotten after their lifetime")
{
    constexpr int upstreams = 1'000;
    constexpr milliseconds lifetime = leaving_notice_options().unregisteredLifetime;
    leaving_notices notices;
    for (int index = 0; index < upstreams; ++index) {
        upstream_entry entry { .id = "u" + std::to_string(index), .service = "s", .startedUnixMs = 5 };
        notices.record({ entry.id, 5, start }, &entry, start);
        notices.noteRemoved(entry.id, start + milliseconds(index));
    }
    CHECK(notices.size() == upstreams);
    notices.noteRemoved("other", start + lifetime + milliseconds(99));
    CHECK(notices.size() == upstreams - 100);
    notices.noteRemoved("other", start + 2 * lifetime);
    CHECK(notices.size() == 0);
}

TEST_CASE("An upstream with a notice is not chosen, whatever the capacity, the floor or its health say")
{
    struct row {
        const char* name;
        std::function<void(load_balancer&)> play;
    };
    const row rows[] = {
        { "nothing else", [](auto&) {} },
        { "it was excluded and is due for a probe",
            [](auto& balancer) {
                balancer.applyEvidence({ "u0", evidence_kind::failed }, false, start - milliseconds(5'000));
            } },
        { "all others are excluded",
            [](auto& balancer) {
                for (const char* id : { "u1", "u2", "u3", "u4", "u5" }) {
                    balancer.applyEvidence({ id, evidence_kind::failed }, true, start);
                }
            } },
        { "a peer has seen it recover",
            [](auto& balancer) {
                balancer.applyEvidence({ "u0", evidence_kind::failed }, false, start);
                balancer.applyEvidence({ "u0", evidence_kind::recovered }, false, start);
            } },
        { "an own success",
            [](auto& balancer) {
                balancer.startAttempt("u0", true, start);
                balancer.finishAttempt(
                    "u0", health_signal::succeeded, milliseconds(9), start, false, start + milliseconds(9));
            } },
        { "all others are full",
            [](auto& balancer) {
                for (const char* id : { "u1", "u2", "u3", "u4", "u5" }) {
                    for (int count = 0; count < 4; ++count) {
                        balancer.startAttempt(id, false, start);
                    }
                }
            } },
        { "the list once more",
            [](auto& balancer) {
                balancer.changeUpstreams(
                    std::vector<upstream_entry> {
                        { .id = "u0", .service = "s", .slots = 9, .startedUnixMs = 5, .version = 2 } },
                    {}, start);
            } },
    };
    for (const auto& each : rows) {
        for (bool isPart : { false, true }) {
            CAPTURE(std::string(each.name));
            CAPTURE(isPart);
            load_balancer balancer({}, 3);
            std::vector<upstream_entry> list;
            for (int index = 0; index < 6; ++index) {
                list.push_back({ .id = "u" + std::to_string(index),
                    .service = "s",
                    .slots = 3,
                    .startedUnixMs = 5,
                    .version = 1 });
            }
            balancer.replaceUpstreams(list, start - milliseconds(10'000));
            if (isPart) {
                balancer.setServiceShare("s", 2,
                    std::make_shared<const upstream_partition>(
                        upstream_partition { .divisions = { { 2, { 0 } } } }));
            }
            auto slots = balancer.slotsOf("s");
            CHECK(balancer.noteLeaving({ "u0", 5, start }, start));
            CHECK_FALSE(balancer.noteLeaving({ "u0", 5, start }, start));
            each.play(balancer);
            CHECK_FALSE(balancer.isAcceptingRequests("u0"));
            CHECK(balancer.isAcceptingRequests("u1"));
            // VMs agree on the slots that the list states, from which they work out who serves what.
            CHECK(balancer.slotsOf("s") >= slots);
            for (int turn = 0; turn < 300; ++turn) {
                auto now = start + milliseconds(10 * turn);
                auto chosen = balancer.choose(
                    { .service = "s", .isAtMostOnce = turn % 2 == 0, .mayUseExcluded = turn % 3 == 0 }, now);
                CHECK((!chosen.upstream || chosen.upstream->id != "u0"));
            }
        }
    }
}

TEST_CASE("A service whose upstreams all leave has none to choose, and has those that start anew")
{
    load_balancer balancer({}, 3);
    upstream_entry entry { .id = "u", .service = "s", .startedUnixMs = 5, .version = 1 };
    balancer.replaceUpstreams(std::vector { entry }, start);
    balancer.noteLeaving({ "u", 5, start }, start);
    CHECK(balancer.choose({ .service = "s" }, start).status == choice_status::noneUsable);
    entry.startedUnixMs = 6;
    balancer.changeUpstreams(std::vector { entry }, {}, start);
    CHECK(balancer.choose({ .service = "s" }, start).status == choice_status::chosen);
    CHECK(balancer.takeEndedLeavingNotices().size() == 1);
}

}
