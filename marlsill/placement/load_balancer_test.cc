#include "marlsill/placement/load_balancer.h"

#include <doctest/doctest.h>
#include <set>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

    std::vector<upstream_entry> entries(int count, int slots = 3)
    {
        std::vector<upstream_entry> list;
        for (int index = 0; index < count; ++index) {
            list.push_back({ .id = "u" + std::to_string(index),
                .service = "s",
                .address = "127.0.0.1:1",
                .failureDomain = index % 2 == 0 ? "near" : "far",
                .slots = slots });
        }
        return list;
    }

    load_balancer boardOf(int count, int slots = 3)
    {
        load_balancer board({ .failureDomain = "near" }, 7);
        board.replaceUpstreams(entries(count, slots), start);
        return board;
    }

    void fail(load_balancer& board, const std::string& upstream, steady_clock::time_point now,
        bool isAtMostOnce = true)
    {
        board.startAttempt(upstream, false, now);
        board.finishAttempt(upstream, health_signal::failed, milliseconds(1), now, isAtMostOnce, now);
    }

    void succeed(load_balancer& board, const std::string& upstream, steady_clock::time_point now)
    {
        board.startAttempt(upstream, true, now);
        board.finishAttempt(upstream, health_signal::succeeded, milliseconds(300), now, true, now);
    }

}

TEST_CASE("Free upstreams of the own failure domain come first, busy ones last")
{
    auto board = boardOf(4);
    std::set<std::string> first;
    for (int turn = 0; turn < 4; ++turn) {
        auto chosen = board.choose({ .service = "s" }, start);
        REQUIRE(chosen.status == choice_status::chosen);
        CHECK(chosen.upstream->failureDomain == "near");
        first.insert(chosen.upstream->id);
        board.startAttempt(chosen.upstream->id, false, start);
    }
    CHECK(first.size() == 2);
    auto next = board.choose({ .service = "s" }, start);
    CHECK(next.upstream->failureDomain == "far");
}

TEST_CASE("Work beyond the slots waits")
{
    auto board = boardOf(1, 2);
    int placed = 0;
    while (board.choose({ .service = "s" }, start).status == choice_status::chosen && placed < 100) {
        board.startAttempt("u0", false, start);
        ++placed;
    }
    CHECK(placed == 3); // Two slots and one request ahead.
    CHECK(board.choose({ .service = "s" }, start).status == choice_status::allBusy);
}

TEST_CASE("The known work of peers counts, until it is old")
{
    auto board = boardOf(1, 2);
    board.applyPeerLoad("peer", { "u0", 3, 300 }, start);
    CHECK(board.choose({ .service = "s" }, start).status == choice_status::allBusy);
    CHECK(board.choose({ .service = "s" }, start + milliseconds(1'600)).status == choice_status::chosen);
}

TEST_CASE("One failure excludes an upstream here, and by a peer's word there")
{
    const evidence_kind kinds[]
        = { evidence_kind::failed, evidence_kind::stalled, evidence_kind::unreachable };
    for (auto kind : kinds) {
        auto board = boardOf(4);
        board.applyEvidence({ "u0", kind }, true, start);
        for (int turn = 0; turn < 50; ++turn) {
            CHECK(board.choose({ .service = "s", .isAtMostOnce = true }, start).upstream->id != "u0");
        }
    }
    auto board = boardOf(4);
    board.startAttempt("u0", false, start);
    auto told = board.finishAttempt("u0", health_signal::failed, milliseconds(1), start, true, start);
    REQUIRE(told);
    CHECK(told->kind == evidence_kind::failed);
    CHECK(board.choose({ .service = "s", .isAtMostOnce = true }, start).upstream->id != "u0");
}

TEST_CASE("An excluded upstream is tried by one request at a time, and returns after two successes")
{
    auto board = boardOf(4);
    fail(board, "u0", start);
    auto later = start + milliseconds(3'900);
    const evidence_kind expected[] = { evidence_kind::probe, evidence_kind::recovered };
    for (auto kind : expected) {
        CAPTURE(static_cast<int>(kind));
        CHECK(board.statsOf("s", later).excluded == 1);
        auto trial = board.choose({ .service = "s", .isAtMostOnce = true }, later);
        REQUIRE(trial.isProbe);
        CHECK(trial.upstream->id == "u0");
        board.startAttempt("u0", true, later);
        CHECK_FALSE(board.choose({ .service = "s", .isAtMostOnce = true }, later).isProbe);
        auto told
            = board.finishAttempt("u0", health_signal::succeeded, milliseconds(300), later, true, later);
        REQUIRE(told);
        CHECK(told->kind == kind);
    }
    CHECK(board.statsOf("s", later).excluded == 0);
}

TEST_CASE("VMs begin their trials of an upstream apart")
{
    // Found by a day on which several VMs tried the same gray upstream within three milliseconds.
    std::set<int> dueAfter;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        load_balancer board({ .failureDomain = "near" }, seed);
        board.replaceUpstreams(entries(4), start);
        board.applyEvidence({ "u0", evidence_kind::failed }, true, start);
        int after = 3'400;
        while (!board.choose({ .service = "s", .isAtMostOnce = true }, start + milliseconds(after)).isProbe) {
            after += 10;
            REQUIRE(after <= 3'900);
        }
        dueAfter.insert(after);
    }
    CHECK(dueAfter.size() >= 6);
    CHECK(*dueAfter.rbegin() - *dueAfter.begin() >= 100);
}

TEST_CASE("One error after work condemns nobody, two close together do")
{
    struct error_case {
        const char* name;
        int secondAfterMs;
        bool isSecondFromPeer;
        int excluded;
    };
    const error_case cases[] = { { "close together", 300, false, 1 }, { "by a peer's word", 300, true, 1 },
        { "far apart", 1'500, false, 0 } };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        auto board = boardOf(4);
        board.startAttempt("u0", false, start);
        auto told = board.finishAttempt(
            "u0", health_signal::errorAfterProcessing, milliseconds(300), start, true, start);
        REQUIRE(told);
        CHECK(told->kind == evidence_kind::errorAfterProcessing);
        CHECK(board.statsOf("s", start).excluded == 0);
        auto later = start + milliseconds(each.secondAfterMs);
        if (each.isSecondFromPeer) {
            board.applyEvidence(*told, true, later);
        } else {
            board.startAttempt("u0", false, later);
            board.finishAttempt(
                "u0", health_signal::errorAfterProcessing, milliseconds(300), later, true, later);
        }
        CHECK(board.statsOf("s", later).excluded == each.excluded);
    }
}

TEST_CASE("Neither a retry nor a request that cannot be retried tries an upstream of doubt")
{
    struct trial_case {
        const char* name;
        std::vector<std::string> tried;
        bool mayRetry;
        bool isTrial;
    };
    const trial_case cases[] = { { "first attempt", {}, true, true }, { "retry", { "u3" }, true, false },
        { "no budget left", {}, false, false } };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        auto board = boardOf(6);
        fail(board, "u0", start, false);
        auto later = start + milliseconds(1'900);
        board.choose({ .service = "s" }, later - milliseconds(10)); // Others that may be repeated come by.
        auto chosen
            = board.choose({ .service = "s", .tried = each.tried, .canBeRetried = each.mayRetry }, later);
        CHECK(chosen.isProbe == each.isTrial);
    }
}

TEST_CASE("A request waits for a sound upstream rather than take one of doubt at once")
{
    // Found by a day on which histories spent both attempts on gray upstreams while the sound ones were busy.
    auto board = boardOf(2, 1);
    fail(board, "u0", start, false);
    for (int turn = 0; turn < 2; ++turn) {
        board.startAttempt("u1", false, start);
    }
    CHECK(board.choose({ .service = "s" }, start).status == choice_status::allBusy);
    CHECK(board.choose({ .service = "s", .mayUseExcluded = true }, start).isProbe);
}

TEST_CASE("A peer's trial keeps others from trying")
{
    auto board = boardOf(4);
    fail(board, "u0", start);
    auto later = start + milliseconds(3'600);
    board.applyEvidence({ "u0", evidence_kind::probe }, true, later);
    CHECK_FALSE(board.choose({ .service = "s", .isAtMostOnce = true }, later).isProbe);
}

TEST_CASE("Failed trials hold an upstream for longer; a success of before the failure clears nothing")
{
    auto board = boardOf(4);
    board.startAttempt("u0", false, start);
    fail(board, "u0", start + milliseconds(1));
    CHECK_FALSE(board.finishAttempt(
        "u0", health_signal::succeeded, milliseconds(5), start, true, start + milliseconds(5)));
    CHECK(board.statsOf("s", start).excluded == 1);
    auto trial = start + milliseconds(3'900);
    fail(board, "u0", trial);
    CHECK_FALSE(board.choose({ .service = "s", .isAtMostOnce = true }, trial + milliseconds(3'900)).isProbe);
    CHECK(board.choose({ .service = "s", .isAtMostOnce = true }, trial + milliseconds(5'600)).isProbe);
}

TEST_CASE("Judgements never leave too few upstreams in use while requests are lost")
{
    // The large ones were found by a grown day, on which 7 of 15 sound upstreams of 63 got nothing.
    struct floor_case {
        int count;
        double share;
    };
    const floor_case cases[]
        = { { 3, 0.7 }, { 6, 0.7 }, { 8, 0.7 }, { 10, 0.7 }, { 12, 0.7 }, { 40, 0.85 }, { 63, 0.85 } };
    for (const auto& each : cases) {
        int count = each.count;
        CAPTURE(count);
        auto board = boardOf(count);
        for (int index = 0; index < count; ++index) {
            fail(board, "u" + std::to_string(index), start);
        }
        for (int loss = 0; loss < 20; ++loss) {
            board.recordOutcome("s", false, start + milliseconds(1'600));
        }
        // Within the two seconds of the floor's window, at least its share gets work.
        std::set<std::string> used;
        for (int turn = 0; turn < 3 * count; ++turn) {
            auto now = start + milliseconds(1'600);
            auto chosen = board.choose({ .service = "s", .isAtMostOnce = true }, now);
            if (chosen.status != choice_status::chosen) {
                break;
            }
            used.insert(chosen.upstream->id);
            board.startAttempt(chosen.upstream->id, chosen.isProbe, now);
        }
        CHECK(static_cast<double>(used.size()) >= each.share * count);
    }
}

TEST_CASE("The last usable upstream is used though it failed")
{
    auto board = boardOf(1);
    fail(board, "u0", start);
    auto chosen = board.choose({ .service = "s", .isAtMostOnce = true }, start + milliseconds(10));
    CHECK(chosen.status == choice_status::chosen);
}

TEST_CASE("An upstream that returns from a trial gets little work until it has proved itself")
{
    auto board = boardOf(2, 6);
    fail(board, "u0", start);
    auto later = start + milliseconds(3'900);
    succeed(board, "u0", later);
    succeed(board, "u0", later);
    int given = 0;
    for (int turn = 0; turn < 4; ++turn) {
        auto chosen = board.choose({ .service = "s", .isAtMostOnce = true }, later);
        given += chosen.upstream->id == "u0" ? 1 : 0;
        board.startAttempt(chosen.upstream->id, false, later);
    }
    CHECK(given == 1);
}

TEST_CASE("Work that takes far longer than usual makes an upstream suspect")
{
    auto board = boardOf(4);
    succeed(board, "u1", start);
    board.startAttempt("u0", false, start);
    CHECK(board.excludeStalled(start + milliseconds(850)).empty());
    auto stalled = board.excludeStalled(start + milliseconds(1'300));
    REQUIRE(stalled.size() == 1);
    CHECK(stalled.front().upstream == "u0");
    CHECK(board.excludeStalled(start + milliseconds(1'400)).empty());
}

TEST_CASE("One upstream that refuses is passed over for a moment; where many refuse none is")
{
    auto board = boardOf(6);
    auto refuse = [&](const std::string& id) {
        board.startAttempt(id, false, start);
        board.finishAttempt(id, health_signal::refused, milliseconds(1), start, true, start);
    };
    refuse("u0");
    CHECK(board.statsOf("s", start).excluded == 1);
    for (const auto* id : { "u1", "u2", "u3", "u4", "u5" }) {
        refuse(id);
    }
    CHECK(board.statsOf("s", start).excluded <= 2);
}

TEST_CASE("A request that has waited long takes an excluded upstream with room")
{
    auto board = boardOf(2, 1);
    fail(board, "u0", start);
    board.startAttempt("u1", false, start);
    board.startAttempt("u1", false, start);
    CHECK(board.choose({ .service = "s", .isAtMostOnce = true }, start).status == choice_status::allBusy);
    auto pressed = board.choose({ .service = "s", .isAtMostOnce = true, .mayUseExcluded = true }, start);
    REQUIRE(pressed.status == choice_status::chosen);
    CHECK(pressed.upstream->id == "u0");
}

TEST_CASE("Leaving upstreams get nothing; a new life forgets the old one")
{
    auto board = boardOf(2);
    auto list = entries(2);
    list[0].isLeaving = true;
    board.replaceUpstreams(list, start);
    for (int turn = 0; turn < 20; ++turn) {
        CHECK(board.choose({ .service = "s" }, start).upstream->id == "u1");
    }
    fail(board, "u1", start);
    list[1].startedUnixMs = 5;
    board.replaceUpstreams(list, start);
    CHECK(board.statsOf("s", start).excluded == 0);
    board.replaceUpstreams({}, start);
    CHECK(board.choose({ .service = "s" }, start).status == choice_status::noneUsable);
}

TEST_CASE("A trial is left to requests that may be repeated where there are some")
{
    auto board = boardOf(4);
    fail(board, "u0", start);
    auto later = start + milliseconds(3'900);
    std::vector<std::string> none;
    auto repeatable = board.choose({ .service = "s", .tried = none }, later);
    CHECK(repeatable.isProbe);
    CHECK_FALSE(board.choose({ .service = "s", .isAtMostOnce = true }, later + milliseconds(1)).isProbe);
}

}
