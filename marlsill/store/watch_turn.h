#pragma once

// Spreads the watches of several VMs over their period, so that between them the store is heard of several
// times within it.
//
//     auto wait = waitForTurn(watchTimeout, { .index = 1, .count = 3 }, wall_clock::now());

#include "marlsill/base/time.h"

#include <algorithm>
#include <chrono>

namespace marlsill::store {

// Which part of the period one of `count` VMs ends its watches in.
struct watch_turn {
    int index = 0;
    int count = 1;

    bool operator==(const watch_turn&) const = default;
};

// Returns how long a watch that starts at `now` waits so that it ends in its turn, or nearer to it than the
// one before: 0.4 to 1.1 periods. If three VMs start together, after a change, one of them hears of the store
// within 0.75 of a period. VMs whose time of day differs end their watches at the wrong moment, with no other
// effect.
inline std::chrono::milliseconds waitForTurn(
    std::chrono::milliseconds period, watch_turn turn, wall_clock::time_point now)
{
    using std::chrono::milliseconds;
    auto sinceEpoch = milliseconds(toUnixMilliseconds(now));
    auto turnOffset = period * turn.index / std::max(1, turn.count);
    auto sinceTurn = (sinceEpoch - turnOffset) % period;
    auto shift = sinceTurn <= period * 3 / 5 ? -sinceTurn : period - sinceTurn;
    return period + std::min(shift, period / 10);
}

}
