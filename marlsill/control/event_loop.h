#pragma once

// Serializes access to the control state: one thread owns the state, and other threads post tasks to it.
//
//     event_loop control;
//     control.post([&] { state.apply(tree); }); // From any thread.
//     control.run(stop, std::chrono::milliseconds(100), [&] { state.tick(); }); // On the control thread.

#include "marlsill/base/time.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <stop_token>

namespace marlsill::control {

// An event loop: runs the tasks in its FIFO queue and a periodic tick on one thread. post() is thread safe.
class event_loop {
public:
    using task = std::function<void()>;

    // Adds a task; the thread in run() executes it after those posted before.
    void post(task next)
    {
        {
            std::lock_guard lock(m_mutex);
            m_tasks.push_back(std::move(next));
        }
        m_changed.notify_one();
    }

    // Runs tasks, and `tick` about once per `period`, until a stop is requested. Tasks still queued then do
    // not run.
    template <typename Tick>
    void run(const std::stop_token& stop, std::chrono::milliseconds period, Tick tick)
    {
        auto nextTick = steady_clock::now();
        while (!stop.stop_requested()) {
            if (auto next = take(stop, nextTick)) {
                next();
            }
            if (hasPassed(nextTick, steady_clock::now())) {
                tick();
                nextTick = deadlineAfter(period);
            }
        }
    }

private:
    // Returns the next task, or an empty one if the limit passes or a stop is requested first.
    task take(const std::stop_token& stop, deadline limit)
    {
        std::unique_lock lock(m_mutex);
        if (!m_changed.wait_until(lock, stop, limit, [this] { return !m_tasks.empty(); })) {
            return {};
        }
        auto next = std::move(m_tasks.front());
        m_tasks.pop_front();
        return next;
    }

    std::mutex m_mutex; // Guards m_tasks.
    std::condition_variable_any m_changed;
    std::deque<task> m_tasks;
};

}
