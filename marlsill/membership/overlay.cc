#include "marlsill/membership/overlay.h"

#include "marlsill/base/hash.h"

#include <algorithm>

namespace marlsill::membership {

namespace {

    constexpr std::size_t ringSuccessors = 2;
    constexpr std::size_t rendezvousNeighbours = 3;
    constexpr std::size_t treeFanOut = 8;

    struct scored_member {
        std::uint64_t score;
        const member_record* record;
    };

    // Hashes every VM but `self` with a seed.
    std::vector<scored_member> scoreOthers(
        std::uint64_t seed, std::string_view self, std::span<const member_record> present)
    {
        std::vector<scored_member> scored;
        scored.reserve(present.size());
        for (const auto& each : present) {
            if (each.incarnation != self) {
                scored.push_back({ fastHash(each.incarnation, seed), &each });
            }
        }
        return scored;
    }

    // Appends the addresses of the `count` VMs with the lowest scores, leaving out those already listed.
    void addLowestScored(
        std::vector<scored_member> scored, std::size_t count, std::vector<std::string>& addresses)
    {
        auto end = scored.begin() + static_cast<std::ptrdiff_t>(std::min(count, scored.size()));
        std::partial_sort(scored.begin(), end, scored.end(),
            [](const auto& left, const auto& right) { return left.score < right.score; });
        for (auto each = scored.begin(); each != end; ++each) {
            if (std::find(addresses.begin(), addresses.end(), each->record->peerAddress) == addresses.end()) {
                addresses.push_back(each->record->peerAddress);
            }
        }
    }

    std::optional<std::size_t> positionOf(std::string_view self, std::span<const member_record> present)
    {
        auto found = std::find_if(
            present.begin(), present.end(), [&](const auto& record) { return record.incarnation == self; });
        return found == present.end() ? std::nullopt
                                      : std::optional(static_cast<std::size_t>(found - present.begin()));
    }

}

std::vector<std::string> neighboursOf(const member_record& self, std::span<const member_record> present)
{
    std::vector<std::string> addresses;
    auto ring = scoreOthers(0, self.incarnation, present);
    auto ownScore = fastHash(self.incarnation, 0);
    for (auto& each : ring) {
        each.score -= ownScore; // The clockwise distance on the ring; unsigned, so it wraps around.
    }
    addLowestScored(std::move(ring), ringSuccessors, addresses);
    addLowestScored(scoreOthers(fastHash(self.incarnation, 1), self.incarnation, present),
        rendezvousNeighbours, addresses);
    return addresses;
}

std::optional<member_record> parentOf(std::string_view self, std::span<const member_record> present)
{
    auto position = positionOf(self, present);
    if (!position || *position == 0) {
        return std::nullopt;
    }
    return present[(*position - 1) / treeFanOut];
}

std::vector<std::string> childrenOf(std::string_view self, std::span<const member_record> present)
{
    std::vector<std::string> children;
    auto position = positionOf(self, present);
    if (!position) {
        return children;
    }
    auto first = *position * treeFanOut + 1;
    for (auto child = first; child < std::min(first + treeFanOut, present.size()); ++child) {
        children.push_back(present[child].incarnation);
    }
    return children;
}

bool isWatcher(const member_record& self, std::span<const member_record> present, int watchersPerRegion)
{
    auto ownScore = fastHash(self.incarnation, fastHash("watcher"));
    auto lowerScored = std::count_if(present.begin(), present.end(), [&](const auto& record) {
        return record.region == self.region && record.incarnation != self.incarnation
            && fastHash(record.incarnation, fastHash("watcher")) < ownScore;
    });
    return lowerScored < watchersPerRegion;
}

}
