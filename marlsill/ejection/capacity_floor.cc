#include "marlsill/ejection/capacity_floor.h"

#include <algorithm>

namespace marlsill::ejection {

int admittedSlots(const capacity_view& view, const name_set& ejected)
{
    int slots = 0;
    for (const auto& each : view.upstreams) {
        slots += each.isLeaving || ejected.contains(each.name) ? 0 : each.slots;
    }
    return slots;
}

int healthySlots(const capacity_view& view, const name_set& ejected)
{
    int slots = 0;
    for (const auto& each : view.upstreams) {
        slots += each.isLeaving || each.isSuspect || ejected.contains(each.name) ? 0 : each.slots;
    }
    return slots;
}

bool mayEject(const capacity_view& view, const name_set& ejected, std::string_view candidate)
{
    auto after = ejected;
    after.emplace(candidate);
    return healthySlots(view, after) >= view.floorSlots;
}

name_set enforceableEjections(const capacity_view& view, std::span<const std::string> agreedEldestFirst)
{
    name_set honoured;
    for (const auto& each : agreedEldestFirst) {
        bool isNew = honoured.insert(each).second;
        if (isNew && admittedSlots(view, honoured) < view.floorSlots) {
            honoured.erase(each);
        }
    }
    return honoured;
}

}
