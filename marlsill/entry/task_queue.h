#pragma once

// A bounded queue of blocking tasks, run by the threads that call run().
//
//     task_queue tasks(64);
//     if (!tasks.post([&] { callPlatform(); }))
//         handleFullQueue();
//     tasks.run(stop); // As a part of a supervisor.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <stop_token>

namespace marlsill::entry {

// FIFO queue that rejects tasks when it is full. Thread safe.
class task_queue {
public:
    using task = std::function<void()>;

    explicit task_queue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    // Adds a task. Returns false if the queue is full.
    bool post(task next)
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_tasks.size() >= m_capacity) {
                return false;
            }
            m_tasks.push_back(std::move(next));
        }
        m_changed.notify_one();
        return true;
    }

    // Runs tasks until a stop is requested. Several threads may call it at the same time.
    void run(const std::stop_token& stop)
    {
        while (!stop.stop_requested()) {
            task next;
            {
                std::unique_lock lock(m_mutex);
                if (!m_changed.wait(lock, stop, [this] { return !m_tasks.empty(); })) {
                    return;
                }
                next = std::move(m_tasks.front());
                m_tasks.pop_front();
            }
            next();
        }
    }

private:
    const std::size_t m_capacity;
    std::mutex m_mutex; // Guards m_tasks.
    std::condition_variable_any m_changed;
    std::deque<task> m_tasks;
};

}
