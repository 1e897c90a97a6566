#pragma once

// A point in the history of the platform's store.
//
//     store_position listed { .era = 3, .version = 530 };
//     if (seen < listed)
//         accept(list);
//
// The store can be restored from a copy that lacks its latest changes. Versions are then given out again, so
// that they are comparable only within one era; the store counts its eras.

#include <compare>
#include <cstdint>

namespace marlsill::placement {

// Orders by era first: everything that was read after a restoration is newer than what was read before it.
struct store_position {
    std::uint64_t era = 0; // 0 if it is unknown, as from a store or a build that states none.
    std::uint64_t version = 0;

    auto operator<=>(const store_position&) const = default;

    // Returns this position, in era `known` if its own is unknown.
    store_position orInEra(std::uint64_t known) const { return { era == 0 ? known : era, version }; }
};

}
