#pragma once

// The part of a service's upstreams that one VM sends requests to.
//
//     upstream_partition own { .divisions = { { 9, { 3 } } } }; // The fourth of nine cells.
//     if (own.includes("upstream-17"))
//         ...
//
// In a large fleet each VM uses a part only, so that it meets each of its upstreams often enough to keep
// connections to it and to notice its failures. Of the VMs that use an upstream, one is its home, see
// upstream_homes.h. Immutable.

#include "marlsill/placement/upstream_homes.h"
#include "marlsill/routing/serving_set.h"

#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::placement {

// See the file comment.
struct upstream_partition {
    // The cells of one host of the service, and those of them that the VM belongs to.
    struct division {
        int cells = 1;
        std::vector<int> ownCells;
        std::vector<std::vector<sharing_vm>> sharing {}; // Of each of `ownCells`; empty if unknown.
    };

    std::vector<division> divisions; // One per host; if empty, all upstreams are included.
    std::string self {}; // Host of the VM.

    // Returns whether the VM sends requests to an upstream by preference.
    bool includes(std::string_view upstream) const
    {
        auto isOwn = [&](const division& each) {
            return each.cells <= 1
                || std::find(
                       each.ownCells.begin(), each.ownCells.end(), routing::cellOf(upstream, each.cells))
                != each.ownCells.end();
        };
        return divisions.empty() || std::any_of(divisions.begin(), divisions.end(), isOwn);
    }

    // Returns whether the VM is the home of each of its upstreams; std::nullopt for those of which it is not
    // known who shares them.
    std::vector<std::optional<bool>> homes(std::span<const shared_upstream> upstreams) const
    {
        std::vector<std::optional<bool>> isHome(upstreams.size());
        for (const auto& each : divisions) {
            for (std::size_t own = 0; own < std::min(each.ownCells.size(), each.sharing.size()); ++own) {
                std::vector<shared_upstream> ofCell;
                std::vector<std::size_t> indexes;
                for (std::size_t index = 0; index < upstreams.size(); ++index) {
                    const auto& upstream = upstreams[index];
                    bool isOfCell
                        = each.cells <= 1 || routing::cellOf(upstream.id, each.cells) == each.ownCells[own];
                    if (!isHome[index] && isOfCell) {
                        ofCell.push_back(upstream);
                        indexes.push_back(index);
                    }
                }
                const auto& vms = each.sharing[own];
                auto assigned = vms.empty() ? std::vector<std::size_t>() : assignHomes(ofCell, vms);
                for (std::size_t index = 0; index < assigned.size(); ++index) {
                    isHome[indexes[index]] = vms[assigned[index]].host == self;
                }
            }
        }
        return isHome;
    }
};

}
