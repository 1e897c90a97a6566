#include "marlsill/placement/load_balancer.h"

#include <doctest/doctest.h>
#include <set>
#include <utility>

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

    load_balancer balancerOf(int count, int slots = 3)
    {
        load_balancer balancer({ .failureDomain = "near" }, 7);
        balancer.replaceUpstreams(entries(count, slots), start);
        return balancer;
    }

    void fail(load_balancer& balancer, const std::string& upstream, steady_clock::time_point now,
        bool isAtMostOnce = true)
    {
        balancer.startAttempt(upstream, false, now);
        balancer.finishAttempt(upstream, health_signal::failed, milliseconds(1), now, isAtMostOnce, now);
    }

    void succeed(load_balancer& balancer, const std::string& upstream, steady_clock::time_point now)
    {
        balancer.startAttempt(upstream, true, now);
        balancer.finishAttempt(upstream, health_signal::succeeded, milliseconds(300), now, true, now);
    }

}

TEST_CASE("Free upstreams in the local failure domain are preferred, busy ones come last")
{
    auto balancer = balancerOf(4);
    std::set<std::string> first;
    for (int turn = 0; turn < 4; ++turn) {
        auto chosen = balancer.choose({ .service = "s" }, start);
        REQUIRE(chosen.status == choice_status::chosen);
        CHECK(chosen.upstream->failureDomain == "near");
        first.insert(chosen.upstream->id);
        balancer.startAttempt(chosen.upstream->id, false, start);
    }
    CHECK(first.size() == 2);
    auto next = balancer.choose({ .service = "s" }, start);
    CHECK(next.upstream->failureDomain == "far");
}

TEST_CASE("Requests beyond the slots have to wait")
{
    auto balancer = balancerOf(1, 2);
    int placed = 0;
    while (balancer.choose({ .service = "s" }, start).status == choice_status::chosen && placed < 100) {
        balancer.startAttempt("u0", false, start);
        ++placed;
    }
    CHECK(placed == 3); // Two slots and one request of overcommit.
    CHECK(balancer.choose({ .service = "s" }, start).status == choice_status::allBusy);
}

TEST_CASE("Peers' load counts until it expires")
{
    auto balancer = balancerOf(1, 2);
    balancer.applyPeerLoad("peer", { "u0", 3, 300 }, start);
    CHECK(balancer.choose({ .service = "s" }, start).status == choice_status::allBusy);
    CHECK(balancer.choose({ .service = "s" }, start + milliseconds(1'600)).status == choice_status::chosen);
}

TEST_CASE("One failure excludes an upstream, whether observed here or reported by a peer")
{
    const evidence_kind kinds[]
        = { evidence_kind::failed, evidence_kind::stalled, evidence_kind::unreachable };
    for (auto kind : kinds) {
        auto balancer = balancerOf(4);
        balancer.applyEvidence({ "u0", kind }, true, start);
        for (int turn = 0; turn < 50; ++turn) {
            CHECK(balancer.choose({ .service = "s", .isAtMostOnce = true }, start).upstream->id != "u0");
        }
    }
    auto balancer = balancerOf(4);
    balancer.startAttempt("u0", false, start);
    auto evidence = balancer.finishAttempt("u0", health_signal::failed, milliseconds(1), start, true, start);
    REQUIRE(evidence);
    CHECK(evidence->kind == evidence_kind::failed);
    CHECK(balancer.choose({ .service = "s", .isAtMostOnce = true }, start).upstream->id != "u0");
}

TEST_CASE("An excluded upstream gets one probe at a time and is readmitted after two successes")
{
    auto balancer = balancerOf(4);
    fail(balancer, "u0", start);
    auto later = start + milliseconds(3'900);
    const evidence_kind expected[] = { evidence_kind::probe, evidence_kind::recovered };
    for (auto kind : expected) {
        CAPTURE(static_cast<int>(kind));
        CHECK(balancer.statsOf("s", later).excluded == 1);
        auto chosenProbe = balancer.choose({ .service = "s", .isAtMostOnce = true }, later);
        REQUIRE(chosenProbe.isProbe);
        CHECK(chosenProbe.upstream->id == "u0");
        balancer.startAttempt("u0", true, later);
        CHECK_FALSE(balancer.choose({ .service = "s", .isAtMostOnce = true }, later).isProbe);
        auto evidence
            = balancer.finishAttempt("u0", health_signal::succeeded, milliseconds(300), later, true, later);
        REQUIRE(evidence);
        CHECK(evidence->kind == kind);
    }
    CHECK(balancer.statsOf("s", later).excluded == 0);
}

TEST_CASE("VMs stagger their probes of an upstream")
{
    // Without jitter, several VMs probed the same partially failed upstream within three milliseconds.
    std::set<int> probeTimesMs;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        load_balancer balancer({ .failureDomain = "near" }, seed);
        balancer.replaceUpstreams(entries(4), start);
        balancer.applyEvidence({ "u0", evidence_kind::failed }, true, start);
        int after = 3'400;
        while (
            !balancer.choose({ .service = "s", .isAtMostOnce = true }, start + milliseconds(after)).isProbe) {
            after += 10;
            REQUIRE(after <= 3'900);
        }
        probeTimesMs.insert(after);
    }
    CHECK(probeTimesMs.size() >= 6);
    CHECK(*probeTimesMs.rbegin() - *probeTimesMs.begin() >= 100);
}

TEST_CASE("One error after processing does not exclude an upstream, two within the window do")
{
    struct error_case {
        const char* name;
        int secondAfterMs;
        bool isSecondFromPeer;
        int excluded;
    };
    const error_case cases[] = { { "close together", 300, false, 1 }, { "reported by a peer", 300, true, 1 },
        { "far apart", 1'500, false, 0 } };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        auto balancer = balancerOf(4);
        balancer.startAttempt("u0", false, start);
        auto evidence = balancer.finishAttempt(
            "u0", health_signal::errorAfterProcessing, milliseconds(300), start, true, start);
        REQUIRE(evidence);
        CHECK(evidence->kind == evidence_kind::errorAfterProcessing);
        CHECK(balancer.statsOf("s", start).excluded == 0);
        auto later = start + milliseconds(each.secondAfterMs);
        if (each.isSecondFromPeer) {
            balancer.applyEvidence(*evidence, true, later);
        } else {
            balancer.startAttempt("u0", false, later);
            balancer.finishAttempt(
                "u0", health_signal::errorAfterProcessing, milliseconds(300), later, true, later);
        }
        CHECK(balancer.statsOf("s", later).excluded == each.excluded);
    }
}

TEST_CASE("Neither a retry nor a request that cannot be retried probes an upstream")
{
    struct probe_case {
        const char* name;
        std::vector<std::string> tried;
        bool mayRetry;
        bool expectsProbe;
    };
    const probe_case cases[] = { { "first attempt", {}, true, true }, { "retry", { "u3" }, true, false },
        { "no budget left", {}, false, false } };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        auto balancer = balancerOf(6);
        fail(balancer, "u0", start, false);
        auto later = start + milliseconds(1'900);
        balancer.choose({ .service = "s" }, later - milliseconds(10)); // A repeatable request arrives.
        auto chosen
            = balancer.choose({ .service = "s", .tried = each.tried, .canBeRetried = each.mayRetry }, later);
        CHECK(chosen.isProbe == each.expectsProbe);
    }
}

TEST_CASE("A request waits for a healthy upstream before it uses an excluded one")
{
    // Guards against requests that spend both attempts on partially failed upstreams while the healthy ones
    // are busy.
    auto balancer = balancerOf(2, 1);
    fail(balancer, "u0", start, false);
    for (int turn = 0; turn < 2; ++turn) {
        balancer.startAttempt("u1", false, start);
    }
    CHECK(balancer.choose({ .service = "s" }, start).status == choice_status::allBusy);
    CHECK(balancer.choose({ .service = "s", .mayUseExcluded = true }, start).isProbe);
}

TEST_CASE("A peer's probe blocks further probes")
{
    auto balancer = balancerOf(4);
    fail(balancer, "u0", start);
    auto later = start + milliseconds(3'600);
    balancer.applyEvidence({ "u0", evidence_kind::probe }, true, later);
    CHECK_FALSE(balancer.choose({ .service = "s", .isAtMostOnce = true }, later).isProbe);
}

TEST_CASE("Failed probes extend the exclusion; a success of an attempt that began earlier does not end it")
{
    auto balancer = balancerOf(4);
    balancer.startAttempt("u0", false, start);
    fail(balancer, "u0", start + milliseconds(1));
    CHECK_FALSE(balancer.finishAttempt(
        "u0", health_signal::succeeded, milliseconds(5), start, true, start + milliseconds(5)));
    CHECK(balancer.statsOf("s", start).excluded == 1);
    auto probeTime = start + milliseconds(3'900);
    fail(balancer, "u0", probeTime);
    CHECK_FALSE(
        balancer.choose({ .service = "s", .isAtMostOnce = true }, probeTime + milliseconds(3'900)).isProbe);
    CHECK(balancer.choose({ .service = "s", .isAtMostOnce = true }, probeTime + milliseconds(5'600)).isProbe);
}

TEST_CASE("Exclusions keep enough upstreams in use while requests fail")
{
    // Guards against exclusions that starve healthy upstreams: with 63 upstreams, of which 15 were healthy, 7
    // of those received no requests.
    struct floor_case {
        int count;
        double share;
    };
    const floor_case cases[]
        = { { 3, 0.7 }, { 6, 0.7 }, { 8, 0.7 }, { 10, 0.7 }, { 12, 0.7 }, { 40, 0.85 }, { 63, 0.85 } };
    for (const auto& each : cases) {
        int count = each.count;
        CAPTURE(count);
        auto balancer = balancerOf(count);
        for (int index = 0; index < count; ++index) {
            fail(balancer, "u" + std::to_string(index), start);
        }
        for (int loss = 0; loss < 20; ++loss) {
            balancer.recordOutcome("s", false, start + milliseconds(1'600));
        }
        // At least the floor's share must receive requests within its window of two seconds.
        std::set<std::string> used;
        for (int turn = 0; turn < 3 * count; ++turn) {
            auto now = start + milliseconds(1'600);
            auto chosen = balancer.choose({ .service = "s", .isAtMostOnce = true }, now);
            if (chosen.status != choice_status::chosen) {
                break;
            }
            used.insert(chosen.upstream->id);
            balancer.startAttempt(chosen.upstream->id, chosen.isProbe, now);
        }
        CHECK(static_cast<double>(used.size()) >= each.share * count);
    }
}

TEST_CASE("The only upstream is used although it is excluded")
{
    auto balancer = balancerOf(1);
    fail(balancer, "u0", start);
    auto chosen = balancer.choose({ .service = "s", .isAtMostOnce = true }, start + milliseconds(10));
    CHECK(chosen.status == choice_status::chosen);
}

TEST_CASE("A readmitted upstream gets little load during its ramp-up")
{
    auto balancer = balancerOf(2, 6);
    fail(balancer, "u0", start);
    auto later = start + milliseconds(3'900);
    succeed(balancer, "u0", later);
    succeed(balancer, "u0", later);
    int given = 0;
    for (int turn = 0; turn < 4; ++turn) {
        auto chosen = balancer.choose({ .service = "s", .isAtMostOnce = true }, later);
        given += chosen.upstream->id == "u0" ? 1 : 0;
        balancer.startAttempt(chosen.upstream->id, false, later);
    }
    CHECK(given == 1);
}

TEST_CASE("A request that takes far longer than usual excludes its upstream")
{
    auto balancer = balancerOf(4);
    succeed(balancer, "u1", start);
    balancer.startAttempt("u0", false, start);
    CHECK(balancer.excludeStalled(start + milliseconds(850)).empty());
    auto stalled = balancer.excludeStalled(start + milliseconds(1'300));
    REQUIRE(stalled.size() == 1);
    CHECK(stalled.front().upstream == "u0");
    CHECK(balancer.excludeStalled(start + milliseconds(1'400)).empty());
}

TEST_CASE("A refusal excludes an upstream briefly, unless many upstreams refuse")
{
    auto balancer = balancerOf(6);
    auto refuse = [&](const std::string& id) {
        balancer.startAttempt(id, false, start);
        balancer.finishAttempt(id, health_signal::refused, milliseconds(1), start, true, start);
    };
    refuse("u0");
    CHECK(balancer.statsOf("s", start).excluded == 1);
    for (const auto* id : { "u1", "u2", "u3", "u4", "u5" }) {
        refuse(id);
    }
    CHECK(balancer.statsOf("s", start).excluded <= 2);
}

TEST_CASE("A request that has waited long uses an excluded upstream with free slots")
{
    auto balancer = balancerOf(2, 1);
    fail(balancer, "u0", start);
    balancer.startAttempt("u1", false, start);
    balancer.startAttempt("u1", false, start);
    CHECK(balancer.choose({ .service = "s", .isAtMostOnce = true }, start).status == choice_status::allBusy);
    auto selected = balancer.choose({ .service = "s", .isAtMostOnce = true, .mayUseExcluded = true }, start);
    REQUIRE(selected.status == choice_status::chosen);
    CHECK(selected.upstream->id == "u0");
}

TEST_CASE("Leaving upstreams get no requests; a restart resets an upstream's state")
{
    auto balancer = balancerOf(2);
    auto list = entries(2);
    list[0].isLeaving = true;
    balancer.replaceUpstreams(list, start);
    for (int turn = 0; turn < 20; ++turn) {
        CHECK(balancer.choose({ .service = "s" }, start).upstream->id == "u1");
    }
    fail(balancer, "u1", start);
    list[1].startedUnixMs = 5;
    balancer.replaceUpstreams(list, start);
    CHECK(balancer.statsOf("s", start).excluded == 0);
    balancer.replaceUpstreams({}, start);
    CHECK(balancer.choose({ .service = "s" }, start).status == choice_status::noneUsable);
}

TEST_CASE("Probes are left to repeatable requests while there are some")
{
    auto balancer = balancerOf(4);
    fail(balancer, "u0", start);
    auto later = start + milliseconds(3'900);
    std::vector<std::string> none;
    auto repeatable = balancer.choose({ .service = "s", .tried = none }, later);
    CHECK(repeatable.isProbe);
    CHECK_FALSE(balancer.choose({ .service = "s", .isAtMostOnce = true }, later + milliseconds(1)).isProbe);
}

TEST_CASE(
    "An upstream with a limit is chosen only with a permit, which is asked for when it would be preferred")
{
    struct row {
        const char* name;
        std::vector<std::string> limited;
        std::vector<std::string> permitted;
        std::vector<std::string> full;
        std::string chosen; // Empty: none.
        std::string permitWanted;
        bool isPermitAwaited; // All upstreams that are not excluded have limits.
    };
    const row rows[] = {
        { "no limits", {}, {}, { "u1" }, "u0", "", false },
        { "another has room", { "u0" }, {}, {}, "u1", "u0", false },
        { "another has no room", { "u0" }, {}, { "u1" }, "", "u0", false },
        { "with a permit", { "u0" }, { "u0" }, { "u1" }, "u0", "", false },
        { "all have limits", { "u0", "u1" }, {}, {}, "", "u0", true },
        { "all have limits, one permit", { "u0", "u1" }, { "u1" }, {}, "u1", "u0", false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto balancer = balancerOf(2);
        rate_limits limits;
        for (const auto& id : each.limited) {
            limits.recordResponse(id, 2, start, start);
        }
        for (const auto& id : each.permitted) {
            limits.grant(id, start);
        }
        for (const auto& id : each.full) {
            for (int request = 0; request < 4; ++request) {
                balancer.startAttempt(id, false, start);
            }
        }
        auto chosen = balancer.choose({ .service = "s", .limits = &limits }, start);
        CHECK((chosen.upstream ? chosen.upstream->id : "") == each.chosen);
        CHECK(chosen.permitWanted == each.permitWanted);
        CHECK(chosen.nextPermitAt.has_value() == each.isPermitAwaited);
    }
}

TEST_CASE("A permit is asked for to probe an excluded upstream with a limit")
{
    // Guards against upstreams that stay excluded because nothing is sent to them without a permit.
    auto balancer = balancerOf(2);
    rate_limits limits;
    limits.recordResponse("u0", 2, start, start);
    fail(balancer, "u0", start);
    auto later = start + milliseconds(5'000);
    auto chosen = balancer.choose({ .service = "s", .limits = &limits }, later);
    CHECK(chosen.upstream->id == "u1");
    CHECK(chosen.permitWanted == "u0");
    limits.grant("u0", later);
    auto probe = balancer.choose({ .service = "s", .limits = &limits }, later);
    CHECK(probe.upstream->id == "u0");
    CHECK(probe.isProbe);
}

TEST_CASE("Permits are left to the requests that wait longer")
{
    auto balancer = balancerOf(1);
    rate_limits limits;
    limits.recordResponse("u0", 2, start, start);
    limits.grant("u0", start);
    auto newcomer = balancer.choose({ .service = "s", .limits = &limits, .requestsAhead = 1 }, start);
    CHECK(newcomer.status == choice_status::allBusy);
    CHECK(newcomer.expectedPermits == 1);
    auto first = balancer.choose({ .service = "s", .limits = &limits }, start);
    CHECK(first.status == choice_status::chosen);
}

TEST_CASE("A VM uses its part of the upstreams, and others only when none of its part has room")
{
    constexpr int count = 40;
    constexpr int slots = 2;
    auto balancer = balancerOf(count, slots);
    auto part = std::make_shared<const upstream_partition>(
        upstream_partition { .divisions = { { .cells = 4, .ownCells = { 2 } } } });
    balancer.setServiceShare("s", 3, part);
    auto all = entries(count);
    auto own = std::count_if(
        all.begin(), all.end(), [&](const upstream_entry& each) { return part->includes(each.id); });
    REQUIRE(own > 0);
    REQUIRE(own < count);
    CHECK(balancer.statsOf("s", start).upstreams == own);
    CHECK(balancer.slotsOf("s") == count * slots);
    auto capacity = static_cast<int>(own) * (slots + 1); // With one request of overcommit each.
    std::set<std::string> used;
    for (int placed = 0; placed < capacity; ++placed) {
        auto chosen = balancer.choose({ .service = "s" }, start);
        REQUIRE(chosen.status == choice_status::chosen);
        CHECK(part->includes(chosen.upstream->id));
        used.insert(chosen.upstream->id);
        balancer.startAttempt(chosen.upstream->id, false, start);
    }
    CHECK(used.size() == static_cast<std::size_t>(own));
    auto outside = balancer.choose({ .service = "s" }, start);
    REQUIRE(outside.status == choice_status::chosen);
    CHECK_FALSE(part->includes(outside.upstream->id));
    balancer.replaceUpstreams(entries(count, slots), start);
    CHECK(balancer.statsOf("s", start).upstreams == own); // The part outlives changes of the list.
}

TEST_CASE("While upstreams of its part fail, an at-most-once request waits before it uses another part")
{
    // Guards against requests that are lost at failing upstreams of other parts, whose failures are unknown
    // here: 0.6 of 2.2 requests lost in a failure episode.
    struct row {
        const char* name;
        bool hasFailure;
        choice_request request;
        choice_status status;
    };
    const row rows[] = {
        { "at most once", true, { .service = "s", .isAtMostOnce = true }, choice_status::allBusy },
        { "without a failure", false, { .service = "s", .isAtMostOnce = true }, choice_status::chosen },
        { "repeatable", true, { .service = "s" }, choice_status::chosen },
        { "after a wait", true, { .service = "s", .isAtMostOnce = true, .mayUseExcluded = true },
            choice_status::chosen },
        { "behind others", true, { .service = "s", .isAtMostOnce = true, .requestsAhead = 3 },
            choice_status::chosen },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        constexpr int count = 40;
        auto balancer = balancerOf(count, 2);
        auto part = std::make_shared<const upstream_partition>(
            upstream_partition { .divisions = { { .cells = 4, .ownCells = { 2 } } } });
        balancer.setServiceShare("s", 3, part);
        bool isFirst = true;
        for (const auto& entry : entries(count)) {
            if (part->includes(entry.id) && std::exchange(isFirst, false) && each.hasFailure) {
                fail(balancer, entry.id, start);
            } else if (part->includes(entry.id)) {
                balancer.applyPeerLoad("peer", { entry.id, 3, 300 }, start);
            }
        }
        auto chosen = balancer.choose(each.request, start);
        CHECK(chosen.status == each.status);
        CHECK((chosen.status != choice_status::chosen || !part->includes(chosen.upstream->id)));
    }
}

TEST_CASE("An upstream of another part is used again some time after its exclusion")
{
    // Guards against upstreams of other parts that stay excluded for good, as a VM probes only its own part.
    constexpr int count = 8;
    auto balancer = balancerOf(count, 2);
    auto part = std::make_shared<const upstream_partition>(
        upstream_partition { .divisions = { { .cells = 4, .ownCells = { 2 } } } });
    balancer.setServiceShare("s", 3, part);
    for (const auto& entry : entries(count)) {
        if (!part->includes(entry.id)) {
            fail(balancer, entry.id, start, false);
        }
    }
    auto usesOther = [&](int atMs) {
        auto now = start + milliseconds(atMs);
        for (const auto& entry : entries(count)) {
            if (part->includes(entry.id)) {
                balancer.applyPeerLoad("peer", { entry.id, 3, 300 }, now);
            }
        }
        auto chosen = balancer.choose({ .service = "s" }, now);
        return chosen.status == choice_status::chosen && !part->includes(chosen.upstream->id);
    };
    CHECK_FALSE(usesOther(10));
    CHECK_FALSE(usesOther(1'600));
    CHECK(usesOther(3'600));
    CHECK(usesOther(60'000));
}

TEST_CASE("A VM whose part has no upstreams uses all of them")
{
    auto balancer = balancerOf(1);
    for (int cell = 0; cell < 3; ++cell) {
        balancer.setServiceShare("s", 1,
            std::make_shared<const upstream_partition>(
                upstream_partition { .divisions = { { .cells = 3, .ownCells = { cell } } } }));
        CHECK(balancer.choose({ .service = "s" }, start).status == choice_status::chosen);
    }
}

}
