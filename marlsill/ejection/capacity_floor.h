#pragma once

// Computes which ejections the capacity floor of a service allows. The floor is the number of slots that must
// stay available.
//
//     capacity_view view { upstreams, floorSlots };
//     if (mayEject(view, ejected, "bookings-3"))
//         propose("bookings-3");

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::ejection {

// The capacity of one upstream.
struct capacity_upstream {
    std::string name;
    int slots = 0;
    bool isLeaving = false; // Its slots are not counted as capacity.
    bool isSuspect = false; // Its slots are admitted capacity, but not healthy capacity.
};

// The upstreams of one service and its capacity floor.
struct capacity_view {
    std::vector<capacity_upstream> upstreams;
    int floorSlots = 0;
};

using upstream_name_set = std::set<std::string, std::less<>>;

// Returns the total slots of the upstreams that are neither leaving nor in `ejected`.
int admittedSlots(const capacity_view& view, const upstream_name_set& ejected);

// Returns the total slots of the upstreams that are neither leaving, suspect nor in `ejected`.
int healthySlots(const capacity_view& view, const upstream_name_set& ejected);

// Returns whether the healthy capacity stays at or above the floor if `candidate` is ejected in addition to
// `ejected`.
bool mayEject(const capacity_view& view, const upstream_name_set& ejected, std::string_view candidate);

// Returns the agreed ejections that this VM may enforce. Older ejections take precedence; one that would take
// the admitted capacity below the floor is left out. The result reflects a raised floor, a drain or removed
// upstreams at once, without a new agreement.
upstream_name_set enforceableEjections(
    const capacity_view& view, std::span<const std::string> agreedOldestFirst);

}
