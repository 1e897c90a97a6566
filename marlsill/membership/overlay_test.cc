#include "marlsill/membership/overlay.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>

namespace marlsill::membership {

namespace {

    std::vector<member_record> makeFleet(int size)
    {
        std::vector<member_record> fleet;
        for (int index = 0; index < size; ++index) {
            member_record record;
            record.incarnation = std::to_string(100'000 + index);
            record.peerAddress = record.incarnation;
            record.region = "region-" + std::to_string(index % 11);
            fleet.push_back(record);
        }
        return fleet;
    }

    // Returns the number of hops in which a message from the first VM reaches all others, or -1 if it does
    // not. Links are bidirectional.
    int hopsToReachAll(const std::vector<member_record>& fleet)
    {
        std::map<std::string, std::set<std::string>> links;
        for (const auto& each : fleet) {
            for (const auto& neighbour : neighboursOf(each, fleet)) {
                links[each.peerAddress].insert(neighbour);
                links[neighbour].insert(each.peerAddress);
            }
        }
        std::set<std::string> reached { fleet.front().peerAddress };
        std::set<std::string> frontier = reached;
        int hops = 0;
        while (reached.size() < fleet.size() && !frontier.empty()) {
            std::set<std::string> next;
            for (const auto& each : frontier) {
                for (const auto& neighbour : links[each]) {
                    if (reached.insert(neighbour).second) {
                        next.insert(neighbour);
                    }
                }
            }
            frontier = std::move(next);
            ++hops;
        }
        return reached.size() == fleet.size() ? hops : -1;
    }

}

TEST_CASE("a broadcast reaches the whole fleet over a bounded number of links and hops")
{
    struct row {
        int size;
        int maxHops;
    };
    constexpr row rows[] = { { 1, 0 }, { 2, 1 }, { 6, 2 }, { 36, 4 }, { 2600, 7 } };
    for (const row& each : rows) {
        CAPTURE(each.size);
        auto fleet = makeFleet(each.size);
        int hops = hopsToReachAll(fleet);
        CHECK(hops >= 0);
        CHECK(hops <= each.maxHops);
        std::map<std::string, int> inboundLinks;
        for (const auto& member : fleet) {
            auto neighbours = neighboursOf(member, fleet);
            CHECK(neighbours.size() <= 5);
            for (const auto& neighbour : neighbours) {
                ++inboundLinks[neighbour];
            }
        }
        for (const auto& member : fleet) {
            CHECK(inboundLinks[member.peerAddress] >= std::min(2, each.size - 1));
        }
    }
}

TEST_CASE("the confirmation tree has one root and contains every VM exactly once")
{
    auto fleet = makeFleet(100);
    int roots = 0;
    std::set<std::string> children;
    for (const auto& each : fleet) {
        auto parent = parentOf(each.incarnation, fleet);
        roots += parent ? 0 : 1;
        for (const auto& child : childrenOf(each.incarnation, fleet)) {
            CHECK(children.insert(child).second);
            CHECK(parentOf(child, fleet)->incarnation == each.incarnation);
        }
    }
    CHECK(roots == 1);
    CHECK(children.size() == 99);
}

TEST_CASE("each region has the configured number of VMs that watch the platform")
{
    auto fleet = makeFleet(110);
    std::map<std::string, int> watchers;
    for (const auto& each : fleet) {
        watchers[each.region] += isWatcher(each, fleet, 2) ? 1 : 0;
    }
    CHECK(watchers.size() == 11);
    for (const auto& [region, count] : watchers) {
        CHECK(count == 2);
    }
}

}
