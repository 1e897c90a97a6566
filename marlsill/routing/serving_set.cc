#include "marlsill/routing/serving_set.h"

#include "marlsill/base/hash.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace marlsill::routing {

namespace {

    constexpr int slotsPerMember = 8;
    constexpr int minMembers = 3;
    constexpr int maxMembers = 12;

    struct scored_node {
        double score;
        std::size_t index;
    };

    // Maps a hash to the open interval (0, 1).
    double toUnitInterval(std::uint64_t hash) { return (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53; }

    double scoreWithSeed(std::uint64_t seed, const candidate_node& node)
    {
        return -node.weight / std::log(toUnitInterval(fastHash(node.incarnation, seed)));
    }

    std::vector<scored_node> scoreAll(std::string_view service, std::span<const candidate_node> nodes)
    {
        auto seed = fastHash(service);
        std::vector<scored_node> scored;
        scored.reserve(nodes.size());
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            scored.push_back({ scoreWithSeed(seed, nodes[index]), index });
        }
        std::sort(scored.begin(), scored.end(), [&](const scored_node& left, const scored_node& right) {
            return left.score != right.score ? left.score > right.score
                                             : nodes[left.index].incarnation < nodes[right.index].incarnation;
        });
        return scored;
    }

}

int servingSetSize(int slots)
{
    int wanted = (slots + slotsPerMember - 1) / slotsPerMember;
    return std::clamp(wanted, minMembers, maxMembers);
}

double servingScore(std::string_view service, const candidate_node& node)
{
    return scoreWithSeed(fastHash(service), node);
}

std::vector<std::size_t> servingSet(std::string_view service, int size, std::span<const candidate_node> nodes)
{
    auto scored = scoreAll(service, nodes);
    auto wanted = std::min<std::size_t>(static_cast<std::size_t>(std::max(size, 0)), nodes.size());
    std::map<std::string_view, int> perDomain;
    std::vector<std::size_t> members;
    std::vector<bool> isTaken(scored.size(), false);
    for (int round = 1; members.size() < wanted; ++round) {
        for (std::size_t place = 0; place < scored.size() && members.size() < wanted; ++place) {
            auto index = scored[place].index;
            auto& count = perDomain[nodes[index].failureDomain];
            if (!isTaken[place] && count < round) {
                isTaken[place] = true;
                ++count;
                members.push_back(index);
            }
        }
    }
    return members;
}

int slotShare(int firstSlot, int slots, std::size_t member, std::size_t members)
{
    if (members == 0) {
        return 0;
    }
    auto count = static_cast<int>(members);
    int position = (static_cast<int>(member) - firstSlot % count + count) % count;
    return slots / count + (position < slots % count ? 1 : 0);
}

}
