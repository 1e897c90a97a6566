#pragma once

// Clock and event queue of a discrete-event simulation. Time advances directly to the next scheduled event.
//
//     virtual_clock clock;
//     clock.runAfter(std::chrono::milliseconds(5), [&] { ... });
//     clock.runUntil(std::chrono::seconds(30));
//
// Events scheduled for the same time run in the order in which they were scheduled. Not thread safe.

#include "marlsill/base/time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace marlsill::model {

class virtual_clock {
public:
    steady_clock::time_point now() const { return m_now; }
    steady_clock::duration elapsed() const { return m_now - startTime; }

    // Schedules a callback that many microseconds from now.
    void runAfter(std::chrono::microseconds delay, std::function<void()> callback)
    {
        m_events.push({ m_now + delay, m_nextSequenceNumber++, std::move(callback) });
    }

    // Runs the events up to and including a limit, given as time since the start. Does not run later events.
    void runUntil(steady_clock::duration limit)
    {
        while (!m_events.empty() && m_events.top().at <= startTime + limit) {
            auto next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.run();
        }
    }

private:
    // One hour after the epoch of the clock, because the simulated code also computes times in the past.
    static constexpr steady_clock::time_point startTime { std::chrono::hours(1) };

    struct scheduled_event {
        steady_clock::time_point at;
        std::uint64_t sequenceNumber = 0;
        std::function<void()> run;

        bool operator<(const scheduled_event& other) const
        {
            return at != other.at ? at > other.at : sequenceNumber > other.sequenceNumber;
        }
    };

    steady_clock::time_point m_now = startTime;
    std::uint64_t m_nextSequenceNumber = 0;
    std::priority_queue<scheduled_event> m_events;
};

}
