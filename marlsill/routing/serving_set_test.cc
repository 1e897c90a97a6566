#include "marlsill/routing/serving_set.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace marlsill::routing {

namespace {

    std::vector<std::string> makeNames(int count)
    {
        std::vector<std::string> names;
        for (int index = 0; index < count; ++index) {
            names.push_back("node-" + std::to_string(index));
        }
        return names;
    }

    std::vector<candidate_node> makeNodes(const std::vector<std::string>& names, int domains)
    {
        constexpr std::string_view domainNames[] = { "cardiff", "newport", "swansea", "lleida", "rioja" };
        std::vector<candidate_node> nodes;
        for (std::size_t index = 0; index < names.size(); ++index) {
            nodes.push_back({ names[index], domainNames[index % static_cast<std::size_t>(domains)] });
        }
        return nodes;
    }

}

TEST_CASE("a serving set has the requested number of distinct members, spread over the failure domains")
{
    bool holds = rc::check([] {
        auto names = makeNames(*rc::gen::inRange(1, 60));
        auto nodes = makeNodes(names, *rc::gen::inRange(1, 6));
        int size = *rc::gen::inRange(0, 20);
        auto service = *rc::gen::string<std::string>();
        auto members = servingSet(service, size, nodes);
        RC_ASSERT(members.size() == std::min<std::size_t>(size, nodes.size()));
        std::set<std::size_t> distinct(members.begin(), members.end());
        RC_ASSERT(distinct.size() == members.size());
        std::map<std::string_view, int> taken;
        std::map<std::string_view, int> available;
        for (const auto& node : nodes) {
            taken[node.failureDomain] += 0;
            ++available[node.failureDomain];
        }
        for (auto member : members) {
            ++taken[nodes[member].failureDomain];
        }
        for (const auto& [domain, count] : taken) {
            for (const auto& [other, otherCount] : taken) {
                RC_ASSERT(count <= otherCount + 1 || otherCount == available[other]);
            }
        }
    });
    CHECK(holds);
}

TEST_CASE("removing a VM replaces no other member of a serving set")
{
    auto names = makeNames(30);
    auto nodes = makeNodes(names, 1);
    auto lost = std::string_view(names.back());
    for (int service = 0; service < 200; ++service) {
        auto name = "service-" + std::to_string(service);
        auto before = servingSet(name, 5, nodes);
        auto after = servingSet(name, 5, std::span(nodes).first(nodes.size() - 1));
        for (auto member : before) {
            bool stays = nodes[member].incarnation == lost
                || std::find(after.begin(), after.end(), member) != after.end();
            CHECK(stays);
        }
    }
}

TEST_CASE("slot shares add up to the slots, and the members' totals differ by at most one")
{
    bool holds = rc::check([] {
        auto members = *rc::gen::inRange<std::size_t>(1, 13);
        auto upstreams = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20));
        std::vector<int> totals(members, 0);
        int firstSlot = 0;
        for (int slots : upstreams) {
            int sum = 0;
            for (std::size_t member = 0; member < members; ++member) {
                int share = slotShare(firstSlot, slots, member, members);
                totals[member] += share;
                sum += share;
            }
            RC_ASSERT(sum == slots);
            firstSlot += slots;
        }
        auto [least, most] = std::minmax_element(totals.begin(), totals.end());
        RC_ASSERT(*most - *least <= 1);
    });
    CHECK(holds);
}

}
