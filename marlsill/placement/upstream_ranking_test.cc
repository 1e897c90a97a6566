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
    // upstreams that are slow, starting or just readmitted and get as much as others.
    const std::vector<std::pair<std::string, ranked_upstream>> upstreams {
        { "home-idle", { .inFlight = 0, .slots = 2 } },
        { "home-1", { .inFlight = 1, .slots = 2 } },
        { "home-2", { .inFlight = 2, .slots = 2 } },
        { "peer-idle", { .inFlight = 0, .slots = 2, .isHome = false } },
        { "peer-1", { .inFlight = 1, .slots = 2, .isHome = false } },
        { "starting-idle", { .inFlight = 0, .slots = 2, .isWarm = false } },
        { "starting-1", { .inFlight = 1, .slots = 2, .isWarm = false } },
        { "readmitted-idle", { .inFlight = 0, .slots = 2, .isRampingUp = true } },
        { "readmitted-1", { .inFlight = 1, .slots = 2, .isRampingUp = true } },
        { "slow-idle", { .inFlight = 0, .slots = 2, .isSlow = true } },
        { "slow-1", { .inFlight = 1, .slots = 2, .isSlow = true } },
    };
    CHECK(orderOf<home_ranking>(upstreams)
        == "home-idle=readmitted-idle home-1 peer-idle starting-idle=slow-idle peer-1=slow-1 "
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

TEST_CASE("Each upstream has one home among the VMs that share it, in its failure domain if possible")
{
    // Guards against VMs that disagree on whose upstream it is, and against traffic between failure domains
    // that is not needed.
    const std::vector<sharing_vm> vms { { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" } };
    std::map<std::string, int> homes;
    for (int index = 0; index < 400; ++index) {
        auto id = "u" + std::to_string(index);
        std::string domain = index % 4 == 3 ? "c" : index % 4 == 2 ? "b" : "a";
        int count = 0;
        for (const auto& vm : vms) {
            upstream_partition partition { .divisions = { { 1, { 0 }, { vms } } }, .self = vm.host };
            if (partition.isHome(id, domain).value_or(false)) {
                ++count;
                ++homes[vm.host];
                CHECK((domain == "c" || vm.failureDomain == domain));
            }
        }
        CHECK(count == 1);
    }
    for (const auto& vm : vms) {
        CHECK(homes[vm.host] >= 40);
    }
    upstream_partition other { .divisions = { { 1, { 0 }, { vms } } }, .self = "x" };
    CHECK(other.isHome("u1", "a") == false);
    upstream_partition unknown { .divisions = { { 4, { 0 } } } };
    CHECK_FALSE(unknown.isHome("u1", "a"));
}

}
