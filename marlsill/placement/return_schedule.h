#pragma once

// Tells callers when to return that were refused because every upstream of a service is held back.
//
//     return_schedule schedule;
//     auto at = schedule.nextReturn(balancer.heldCapacity("bookings", now), { .usual = latency });
//     refuse(at - now);
//
// Answers the load of a service whose upstreams all turn requests away for seconds. Callers that were told
// the same moment would come back together, and most of them would be refused again. They are given the times
// one after the other, as fast as the upstreams that are back by then can serve them. Not thread safe.

#include "marlsill/base/time.h"

#include <algorithm>
#include <chrono>
#include <span>

namespace marlsill::placement {

// Slots that can be used again from a moment on.
struct returning_capacity {
    deadline at {};
    int slots = 0;
};

// What decides how fast callers can be served.
struct return_conditions {
    std::chrono::milliseconds usual {}; // Average latency of the service; 0 if unknown.
    int sharingVms = 1; // VMs that send requests to the same upstreams.
    double fraction = 0; // Random (0 to 1).
    bool isEarly = false; // The caller was given a time already and did not wait for it.
};

// The return times of one service's callers; see the file comment.
class return_schedule {
public:
    // Returns when the next refused caller should return. `capacity` is in the order of time and not empty.
    deadline nextReturn(std::span<const returning_capacity> capacity, const return_conditions& conditions)
    {
        auto earliest = capacity.front().at;
        auto latest = earliest + maxSpread;
        m_next = std::max(m_next, earliest);
        m_nextEarly = std::max(m_nextEarly, m_next);
        auto& next = conditions.isEarly ? m_nextEarly : m_next;
        auto fraction = std::clamp(conditions.fraction, 0.0, 1.0);
        if (next >= latest) {
            // More callers than can be served within the spread; none of them is better off than another.
            return earliest + std::chrono::duration_cast<steady_clock::duration>(fraction * maxSpread);
        }
        int slots = 0;
        for (const auto& each : capacity) {
            slots += each.at <= next ? std::max(1, each.slots) : 0;
        }
        auto usual = conditions.usual.count() > 0 ? conditions.usual : defaultLatency;
        auto interval = std::chrono::duration_cast<steady_clock::duration>(
            usual * (std::max(1, conditions.sharingVms) / (returnersShare * slots)));
        auto returnAt = next + std::chrono::duration_cast<steady_clock::duration>(fraction * interval);
        next += interval;
        return std::min(returnAt, latest);
    }

private:
    static constexpr double returnersShare = 0.5; // Of the slots; new callers need the others.
    static constexpr std::chrono::milliseconds defaultLatency { 300 }; // As in expectedWait().
    static constexpr std::chrono::milliseconds maxSpread { 5'000 }; // As of Retry-After in other refusals.

    deadline m_next {}; // The first time that was given to nobody.
    // The same among callers that did not wait, who take no time from the others. They come after those, and
    // apart from each other, as an address can stand for many callers.
    deadline m_nextEarly {};
};

}
