#include "marlsill/ejection/capacity_floor.h"

#include <algorithm>

namespace marlsill::ejection {

int admittedSlots(const capacity_view& view, const upstream_name_set& ejected)
{
    int slots = 0;
    for (const auto& each : view.upstreams) {
        slots += each.isLeaving || ejected.contains(each.name) ? 0 : each.slots;
    }
    return slots;
}

int healthySlots(const capacity_view& view, const upstream_name_set& ejected)
{
    int slots = 0;
    for (const auto& each : view.upstreams) {
        slots += each.isLeaving || each.isSuspect || ejected.contains(each.name) ? 0 : each.slots;
    }
    return slots;
}

bool mayEject(const capacity_view& view, const upstream_name_set& ejected, std::string_view candidate)
{
    auto after = ejected;
    after.emplace(candidate);
    return healthySlots(view, after) >= view.floorSlots;
}

upstream_name_set enforceableEjections(
    const capacity_view& view, std::span<const std::string> agreedOldestFirst)
{
    upstream_name_set enforceable;
    for (const auto& each : agreedOldestFirst) {
        bool isNew = enforceable.insert(each).second;
        if (isNew && admittedSlots(view, enforceable) < view.floorSlots) {
            enforceable.erase(each);
        }
    }
    return enforceable;
}

}
