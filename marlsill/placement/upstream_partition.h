#pragma once

// The part of a service's upstreams that one VM sends requests to.
//
//     upstream_partition own { .divisions = { { 9, { 3 } } } }; // The fourth of nine cells.
//     if (own.includes("upstream-17"))
//         ...
//
// In a large fleet each VM uses a part only, so that it meets each of its upstreams often enough to keep
// connections to it and to notice its failures. Immutable.

#include "marlsill/routing/serving_set.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace marlsill::placement {

// See the file comment.
struct upstream_partition {
    // The cells of one host of the service, and those of them that the VM belongs to.
    struct division {
        int cells = 1;
        std::vector<int> ownCells;
    };

    std::vector<division> divisions; // One per host; if empty, all upstreams are included.

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
};

}
