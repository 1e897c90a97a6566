#pragma once

// Limits how many of a service's upstreams may be excluded without receiving requests.
//
//     if (unused > maxUnused({ .upstreams = 24, .excluded = 7, .lossShare = 0.08 }))
//         sendTo(longestUnused);
//
// While 10 % to 50 % of a service's requests fail, 70 % of its healthy upstreams must receive requests in any
// two seconds, whatever the VMs believe about them. An upstream is healthy if it did not fail in these
// seconds. So that the limit holds without knowing which are, all unused ones are taken for healthy.

#include <algorithm>

namespace marlsill::placement {

// Settings of the floor.
struct capacity_floor_options {
    double floor = 0.7; // Share of the healthy upstreams that must stay in use.
    // Part of what the floor allows that is used, as VMs learn each other's requests with a delay.
    double usedPart = 0.9;
    // Share of all upstreams that may be unused in any case. Half of 1 - floor, because of many upstreams
    // that are excluded few may be healthy.
    double minUnusedShare = 0.15;
    int minUnused = 2; // Likewise in small services, unless it violates the floor.
    double maxUnusedShareAtLowLoss = 0.5; // Low loss shows that the exclusions are justified.
    // Share of failed requests. The floor applies from 0.1, with a margin for what one VM's estimate misses.
    double lowLossShare = 0.06;
    // Likewise where the state is of a part of the service's upstreams: the floor goes by the whole service,
    // of which one part's losses are a sample. With 0.06, parts force requests into failing upstreams while
    // the service loses 5 %.
    double lowLossShareOfPart = 0.08;
};

// State of a service, as far as this VM uses it.
struct floor_state {
    int upstreams = 0;
    int excluded = 0;
    double lossShare = 0;
    bool isPart = false; // Other VMs use other upstreams of the service.
};

// Returns how many upstreams may be excluded without receiving requests.
inline int maxUnused(const floor_state& state, const capacity_floor_options& options = {})
{
    double count = state.upstreams;
    if (state.lossShare < (state.isPart ? options.lowLossShareOfPart : options.lowLossShare)) {
        return static_cast<int>(options.maxUnusedShareAtLowLoss * count);
    }
    auto floorLimit = static_cast<int>((1 - options.floor) * count);
    auto least
        = std::max(static_cast<int>(options.minUnusedShare * count), std::min(options.minUnused, floorLimit));
    auto perUsed = (1 - options.floor) / options.floor; // Unused upstreams that one in use allows.
    auto allowed = static_cast<int>(options.usedPart * perUsed * (state.upstreams - state.excluded));
    return std::max(least, std::min(allowed, floorLimit));
}

}
