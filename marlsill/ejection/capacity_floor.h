#pragma once

// The arithmetic of the capacity floor, which ejections never pass.
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

// One upstream as the floor counts it.
struct capacity_upstream {
    std::string name;
    int slots = 0;
    bool isLeaving = false; // Its slots count for nothing.
    bool isSuspect = false; // Its slots do not count as healthy.
};

// The upstreams of one service and its floor.
struct capacity_view {
    std::vector<capacity_upstream> upstreams;
    int floorSlots = 0;
};

using name_set = std::set<std::string, std::less<>>;

// Returns the slots of the upstreams that are neither leaving nor in `ejected`.
int admittedSlots(const capacity_view& view, const name_set& ejected);

// Returns the admitted slots without those of suspects.
int healthySlots(const capacity_view& view, const name_set& ejected);

// Returns whether the healthy capacity stays at the floor or above when `candidate` is ejected, too.
bool mayEject(const capacity_view& view, const name_set& ejected, std::string_view candidate);

// Returns which of the agreed ejections, eldest first, this VM may carry out: those that leave the admitted
// capacity at the floor or above. A raised floor, a drain or a shrunk inventory takes effect here at once.
name_set enforceableEjections(const capacity_view& view, std::span<const std::string> agreedEldestFirst);

}
