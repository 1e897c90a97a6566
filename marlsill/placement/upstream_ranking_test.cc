#include "marlsill/placement/load_balancer.h"
#include "marlsill/placement/upstream_partition.h"
#include "marlsill/placement/upstream_ranking.h"

#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

namespace marlsill::placement {

static_assert(upstream_ranking<spread_ranking>);
static_assert(upstream_ranking<home_ranking>);

namespace {

    // Returns the names of the upstreams in the order of their ranks, equal ones in brackets.
    template <upstream_ranking Ranking>
    std::string orderOf(const std::vector<std::pair<std::string, ranked_upstream>>& upstreams)
    {
        std::map<upstream_rank, std::string> byRank;
        for (const auto& [name, each] : upstreams) {
            auto& names = byRank[Ranking().rank(each)];
            names += (names.empty() ? "" : "=") + name;
        }
        std::string order;
        for (const auto& [rank, names] : byRank) {
            order += (order.empty() ? "" : " ") + names;
        }
        return order;
    }

}

TEST_CASE("A VM fills the upstreams that it is the home of before it borrows, and uses weak ones last")
{
    // Guards against two VMs that choose the same idle upstream by reports of 150 ms ago, and against
    // upstreams that are slow, starting or just readmitted and get as much as others, or nothing.
    const std::vector<std::pair<std::string, ranked_upstream>> upstreams {
        { "home-idle", { .inFlight = 0, .slots = 2 } },
        { "home-1", { .inFlight = 1, .slots = 2 } },
        { "home-2", { .inFlight = 2, .slots = 2 } },
        { "peer-idle", { .inFlight = 0, .slots = 2, .isHome = false } },
        { "peer-1", { .inFlight = 1, .slots = 2, .isHome = false } },
        { "starting-idle", { .inFlight = 0, .slots = 2, .isWarm = false } },
        { "starting-1", { .inFlight = 1, .slots = 2, .isWarm = false } },
        { "starting-forgotten", { .inFlight = 0, .slots = 2, .isWarm = false, .isForgotten = true } },
        { "peer-forgotten", { .inFlight = 0, .slots = 2, .isHome = false, .isForgotten = true } },
        { "readmitted-idle", { .inFlight = 0, .slots = 2, .isRampingUp = true } },
        { "readmitted-1", { .inFlight = 1, .slots = 2, .isRampingUp = true } },
        { "slow-idle", { .inFlight = 0, .slots = 2, .isSlow = true } },
        { "slow-1", { .inFlight = 1, .slots = 2, .isSlow = true } },
    };
    CHECK(orderOf<home_ranking>(upstreams)
        == "home-idle=starting-forgotten=peer-forgotten=readmitted-idle home-1 peer-idle starting-idle=slow-idle peer-1=slow-1 "
           "starting-1=readmitted-1 home-2");
}

TEST_CASE("Services whose upstreams have many slots choose as before")
{
    // Guards against a change for earlier deployments.
    const std::vector<std::pair<std::string, ranked_upstream>> upstreams {
        { "local-idle", { .inFlight = 0, .slots = 6 } },
        { "local-3", { .inFlight = 3, .slots = 6 } },
        { "local-4", { .inFlight = 4, .slots = 6 } },
        { "local-6", { .inFlight = 6, .slots = 6 } },
        { "remote-idle", { .inFlight = 0, .slots = 6, .isLocal = false, .isHome = false } },
        { "starting-1", { .inFlight = 1, .slots = 6, .isWarm = false } },
        { "starting-2", { .inFlight = 2, .slots = 6, .isWarm = false } },
        { "slow-idle", { .inFlight = 0, .slots = 6, .isSlow = true } },
    };
    CHECK(orderOf<spread_ranking>(upstreams)
        == "local-idle starting-1 local-3 remote-idle starting-2 local-4 slow-idle local-6");
    struct row {
        const char* name;
        std::vector<int> slots;
        std::string second; // Chosen while one request is in flight at "u0", the only local upstream.
    };
    const row rows[] = {
        { "two slots", { 2, 2 }, "u0" },
        { "two slots on average", { 2, 2, 2 }, "u0" },
        { "three slots", { 3, 3 }, "u0" },
        { "two and three", { 2, 3 }, "u1" },
    };
    const steady_clock::time_point now { std::chrono::hours(1) };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        load_balancer balancer({ .failureDomain = "near" }, 7);
        std::vector<upstream_entry> entries;
        for (int slots : each.slots) {
            auto index = std::to_string(entries.size());
            entries.push_back({ .id = "u" + index,
                .service = "s",
                .address = "127.0.0.1:1",
                .failureDomain = entries.empty() ? "near" : "far",
                .slots = slots });
        }
        balancer.replaceUpstreams(entries, now);
        balancer.startAttempt("u0", false, now);
        CHECK(balancer.choose({ .service = "s" }, now).upstream->id == each.second);
    }
}

TEST_CASE("An upstream that started again under its id gets a little at first, whatever was known of it")
{
    // Guards against an upstream that gets nothing while it starts, or as much as others, and against the
    // load and latency of its last start.
    using std::chrono::milliseconds;
    const steady_clock::time_point start { std::chrono::hours(1) };
    load_balancer balancer({ .failureDomain = "near" }, 7);
    std::vector<upstream_entry> entries;
    for (int index = 0; index < 4; ++index) {
        entries.push_back({ .id = "u" + std::to_string(index),
            .service = "s",
            .address = "127.0.0.1:1",
            .failureDomain = "near",
            .slots = 2,
            .startedUnixMs = 1 });
    }
    balancer.replaceUpstreams(entries, start);
    balancer.applyPeerLoad("peer", { "u0", 3, 9'000 }, start);
    entries[0].startedUnixMs = 2;
    entries[0].warmUpUntil = start + milliseconds(3'000);
    balancer.replaceUpstreams(entries, start);
    int whileStarting = 0;
    int afterwards = 0;
    for (int atMs = 0; atMs < 6'000; atMs += 50) {
        auto now = start + milliseconds(atMs);
        auto chosen = balancer.choose({ .service = "s", .isAtMostOnce = true }, now);
        REQUIRE(chosen.status == choice_status::chosen);
        auto id = chosen.upstream->id;
        (atMs < 3'000 ? whileStarting : afterwards) += id == "u0" ? 1 : 0;
        balancer.startAttempt(id, chosen.isProbe, now);
        balancer.finishAttempt(id, health_signal::succeeded, milliseconds(40), now, true, now);
    }
    CHECK(whileStarting >= 2);
    CHECK(whileStarting <= 6);
    CHECK(afterwards >= 8); // Of 60, a quarter of which would be even.
}

TEST_CASE("Each upstream has one home, in its failure domain if possible, and each VM equally many")
{
    // Guards against VMs that disagree on whose upstream it is, against traffic between failure domains that
    // is not needed, and against VMs with half as many upstreams as others.
    const std::vector<sharing_vm> vms { { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" } };
    struct row {
        const char* name;
        int upstreams;
        int ofDomainA; // The others are of "b", or of "c" where `hasC`.
        bool hasC;
        int minLocal;
    };
    const row rows[] = {
        { "equal domains", 24, 12, false, 24 },
        { "unequal domains", 24, 18, false, 18 },
        { "a domain without VMs", 24, 12, true, 12 },
        { "fewer than VMs", 3, 3, false, 2 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        std::vector<std::string> ids;
        for (int index = 0; index < each.upstreams; ++index) {
            ids.push_back("u" + std::to_string(index));
        }
        std::vector<shared_upstream> upstreams;
        for (const auto& id : ids) {
            bool isOfA = static_cast<int>(upstreams.size()) < each.ofDomainA;
            upstreams.push_back({ id, isOfA ? "a" : each.hasC ? "c" : "b" });
        }
        int local = 0;
        int homes = 0;
        for (const auto& vm : vms) {
            upstream_partition partition { .divisions = { { 1, { 0 }, { vms } } }, .self = vm.host };
            auto isHome = partition.homes(upstreams);
            int own = 0;
            for (std::size_t index = 0; index < upstreams.size(); ++index) {
                own += isHome[index].value() ? 1 : 0;
                local += *isHome[index] && upstreams[index].failureDomain == vm.failureDomain ? 1 : 0;
            }
            CHECK(own <= (each.upstreams + 3) / 4);
            homes += own;
        }
        CHECK(homes == each.upstreams);
        CHECK(local >= each.minLocal);
        // One upstream less moves few.
        auto before = assignHomes(upstreams, vms);
        auto after = assignHomes(std::span(upstreams).subspan(1), vms);
        int moved = 0;
        for (std::size_t index = 0; index < after.size(); ++index) {
            moved += after[index] != before[index + 1] ? 1 : 0;
        }
        CHECK(moved <= each.upstreams / 4 + 1);
    }
    upstream_partition other { .divisions = { { 1, { 0 }, { vms } } }, .self = "x" };
    const shared_upstream one[] = { { "u1", "a" } };
    CHECK(other.homes(one).front() == false);
    upstream_partition unknown { .divisions = { { 4, { 0 } } } };
    CHECK_FALSE(unknown.homes(one).front());
}

}
