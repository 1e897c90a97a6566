#pragma once

// Time points used across the project.
//
// A stored time limit is always a point in time, never a length of time:
//
//     deadline limit = deadlineAfter(std::chrono::milliseconds(250));
//     while (!hasPassed(limit, steady_clock::now())) { ... }

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace marlsill {

using steady_clock = std::chrono::steady_clock;
using wall_clock = std::chrono::system_clock;

// A point on the monotonic clock of this process after which work is abandoned.
using deadline = steady_clock::time_point;

// A point on the wall clock; it may be sent to other VMs and is subject to clock skew.
using wall_deadline = wall_clock::time_point;

// Returns the deadline that lies `length` after now.
inline deadline deadlineAfter(steady_clock::duration length) { return steady_clock::now() + length; }

// Returns whether `limit` has been reached at `now`.
inline bool hasPassed(deadline limit, steady_clock::time_point now) { return now >= limit; }

// Returns the whole milliseconds from `now` to `limit`, rounded up and at least zero.
inline std::int64_t millisecondsUntil(deadline limit, steady_clock::time_point now)
{
    auto left = std::chrono::ceil<std::chrono::milliseconds>(limit - now).count();
    return std::max<std::int64_t>(0, left);
}

// Returns a wall-clock point as milliseconds since the Unix epoch.
inline std::int64_t toUnixMilliseconds(wall_deadline point)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(point.time_since_epoch()).count();
}

// Returns the wall-clock point that lies `milliseconds` after the Unix epoch.
inline wall_deadline fromUnixMilliseconds(std::int64_t milliseconds)
{
    return wall_deadline(std::chrono::milliseconds(milliseconds));
}

// Converts a wall-clock deadline to the monotonic clock of this process, given one reading of both clocks.
inline deadline toDeadline(wall_deadline limit, wall_deadline wallNow, steady_clock::time_point now)
{
    return now + std::chrono::duration_cast<steady_clock::duration>(limit - wallNow);
}

}
