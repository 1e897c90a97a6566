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
    // Share of failed requests below which more may be unused, as low loss shows that the exclusions are
    // justified. The floor applies from 0.1; the margin is for what one VM's estimate misses.
    double lowLossShare = 0.06;
    // With 0.5, losses that rise within two seconds find too many unused: two windows of a hundred below the
    // floor, with 12 upstreams.
    double maxUnusedShareAtLowLoss = 0.35;
    // Likewise where the state is of a part of the service's upstreams: the floor goes by the whole service,
    // of which one part's losses are a sample. With 0.06, parts force requests into failing upstreams while
    // the service loses 5 %.
    double lowLossShareOfPart = 0.08;
    double maxUnusedShareOfPart = 0.5;
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
        return static_cast<int>(
            (state.isPart ? options.maxUnusedShareOfPart : options.maxUnusedShareAtLowLoss) * count);
    }
    auto perUsed = (1 - options.floor) / options.floor; // Unused upstreams that one in use allows.
    auto used = state.upstreams - state.excluded;
    return static_cast<int>(std::min(options.usedPart * perUsed * used, (1 - options.floor) * count));
}

}
