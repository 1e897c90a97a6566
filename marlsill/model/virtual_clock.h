#pragma once

// A clock that jumps from one planned step to the next.
//
//     virtual_clock clock;
//     clock.after(std::chrono::milliseconds(5), [&] { ... });
//     clock.runUntil(std::chrono::seconds(30));
//
// Steps planned for the same moment run in the order of their planning. Not thread safe.

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
    steady_clock::duration elapsed() const { return m_now - start; }

    // Plans a step that many microseconds from now.
    void after(std::chrono::microseconds pause, std::function<void()> step)
    {
        m_steps.push({ m_now + pause, m_planned++, std::move(step) });
    }

    // Runs the steps up to a time since the start; later ones are dropped.
    void runUntil(steady_clock::duration limit)
    {
        while (!m_steps.empty() && m_steps.top().at <= start + limit) {
            auto next = m_steps.top();
            m_steps.pop();
            m_now = next.at;
            next.run();
        }
    }

private:
    // An hour after the epoch of the clock, as decisions compare with points in the past.
    static constexpr steady_clock::time_point start { std::chrono::hours(1) };

    struct planned_step {
        steady_clock::time_point at;
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator<(const planned_step& other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    steady_clock::time_point m_now = start;
    std::uint64_t m_planned = 0;
    std::priority_queue<planned_step> m_steps;
};

}
