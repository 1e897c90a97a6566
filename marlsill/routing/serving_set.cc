#include "marlsill/routing/serving_set.h"

#include "marlsill/base/hash.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace marlsill::routing {

namespace {

    constexpr int slotsPerMember = 8;
    constexpr int slotsPerCellMember = 12; // About 20 requests per second.
    constexpr int minMembers = 3;
    constexpr int maxMembers = 12;
    constexpr std::size_t sortedPerMember = 4; // Usually enough to find nodes in all failure domains.

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
        return scored;
    }

    // Returns whether the best `sorted` nodes suffice to take `size` nodes in rounds, one per domain.
    bool hasEnoughPerDomain(
        std::span<const scored_node> sorted, std::span<const candidate_node> nodes, std::size_t size)
    {
        std::map<std::string_view, std::size_t> domains;
        for (const auto& each : nodes) {
            domains.try_emplace(each.failureDomain, 0);
        }
        auto rounds = domains.empty() ? 0 : (size + domains.size() - 1) / domains.size();
        for (const auto& each : sorted) {
            ++domains[nodes[each.index].failureDomain];
        }
        return std::all_of(
            domains.begin(), domains.end(), [&](const auto& each) { return each.second >= rounds; });
    }

    // Sorts the nodes by descending score, as far as is needed to select `size` of them.
    void sortBest(std::vector<scored_node>& scored, std::span<const candidate_node> nodes, std::size_t size)
    {
        auto isBetter = [&](const scored_node& left, const scored_node& right) {
            return left.score != right.score ? left.score > right.score
                                             : nodes[left.index].incarnation < nodes[right.index].incarnation;
        };
        auto best = std::min(scored.size(), sortedPerMember * size);
        std::partial_sort(
            scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(best), scored.end(), isBetter);
        if (best == scored.size() || hasEnoughPerDomain(std::span(scored).first(best), nodes, size)) {
            scored.resize(best);
            return;
        }
        std::sort(scored.begin(), scored.end(), isBetter);
    }

}

int servingSetSize(int slots)
{
    int wanted = (slots + slotsPerMember - 1) / slotsPerMember;
    return std::clamp(wanted, minMembers, maxMembers);
}

cell_plan planCells(int slots, int domains)
{
    auto roundUp = [&](int size) { return (size + domains - 1) / domains * domains; };
    if (slots <= slotsPerMember * maxMembers) {
        return { 1, roundUp(servingSetSize(slots)) };
    }
    int vmsPerCell = roundUp(minMembers);
    int slotsPerCell = slotsPerCellMember * vmsPerCell;
    return { (slots + slotsPerCell - 1) / slotsPerCell, vmsPerCell };
}

std::string cellName(std::string_view host, int cell)
{
    return cell == 0 ? std::string(host) : std::string(host) + "#" + std::to_string(cell);
}

int cellOf(std::string_view upstream, int cells)
{
    auto key = fastHash(upstream);
    std::int64_t cell = 0;
    for (std::int64_t next = 0; next < cells;) {
        cell = next;
        key = key * 2862933555777941757ULL + 1;
        next = static_cast<std::int64_t>(
            static_cast<double>(cell + 1) * (0x1.0p31 / static_cast<double>((key >> 33) + 1)));
    }
    return static_cast<int>(cell);
}

double servingScore(std::string_view service, const candidate_node& node)
{
    return scoreWithSeed(fastHash(service), node);
}

std::vector<std::size_t> servingSet(std::string_view service, int size, std::span<const candidate_node> nodes)
{
    auto scored = scoreAll(service, nodes);
    auto wanted = std::min<std::size_t>(static_cast<std::size_t>(std::max(size, 0)), nodes.size());
    sortBest(scored, nodes, wanted);
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
