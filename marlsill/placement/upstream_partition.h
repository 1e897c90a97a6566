#pragma once

// The part of a service's upstreams that one VM sends requests to.
//
//     upstream_partition own { .divisions = { { 9, { 3 } } } }; // The fourth of nine cells.
//     if (own.includes("upstream-17"))
//         ...
//
// In a large fleet each VM uses a part only, so that it meets each of its upstreams often enough to keep
// connections to it and to notice its failures. Of the VMs that use an upstream, one is its home: in its
// failure domain if possible, by rendezvous hashing among several. VMs with the same members agree on it.
// Immutable.

#include "marlsill/base/hash.h"
#include "marlsill/routing/serving_set.h"

#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marlsill::placement {

// A VM that sends requests to the upstreams of a cell.
struct sharing_vm {
    std::string host;
    std::string failureDomain;
};

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

    // Returns whether the VM is the home of an upstream; std::nullopt if it is not known who shares it. The
    // cost grows with the VMs that do.
    std::optional<bool> isHome(std::string_view upstream, std::string_view failureDomain) const
    {
        for (const auto& each : divisions) {
            auto cell = each.cells <= 1 ? 0 : routing::cellOf(upstream, each.cells);
            auto own = std::find(each.ownCells.begin(), each.ownCells.end(), cell);
            auto index = static_cast<std::size_t>(own - each.ownCells.begin());
            if (own == each.ownCells.end() || index >= each.sharing.size()) {
                continue;
            }
            return homeOf(each.sharing[index], upstream, failureDomain) == self;
        }
        return std::nullopt;
    }

    // Returns the host of the VM that is the home of an upstream; empty if none shares it.
    static std::string_view homeOf(
        std::span<const sharing_vm> vms, std::string_view upstream, std::string_view failureDomain)
    {
        auto scoreOf = [&](const sharing_vm& vm) {
            return std::pair(vm.failureDomain == failureDomain, fastHash(vm.host, fastHash(upstream)));
        };
        auto best = std::max_element(vms.begin(), vms.end(),
            [&](const auto& left, const auto& right) { return scoreOf(left) < scoreOf(right); });
        return best == vms.end() ? std::string_view() : std::string_view(best->host);
    }
};

}
