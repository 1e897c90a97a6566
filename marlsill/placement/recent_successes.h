#pragma once

// Remembers for a while which requests have succeeded.
//
//     recent_successes successes;
//     successes.add(fingerprint, now);
//     if (successes.take(fingerprint, now))
//         excuseOneCrash();
//
// Not thread safe.

#include "marlsill/base/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace marlsill::placement {

// Settings of the memory.
struct recent_successes_options {
    std::chrono::milliseconds lifetime { 60'000 };
    std::size_t maxRequests = 4'096; // About 250 KB.
};

class recent_successes {
public:
    explicit recent_successes(recent_successes_options options = {})
        : m_options(options)
    {
    }

    // Records that a request has succeeded.
    void add(std::uint64_t fingerprint, steady_clock::time_point now)
    {
        m_lastSuccess[fingerprint] = now;
        m_successes.emplace_back(now, fingerprint);
        while (m_successes.size() > m_options.maxRequests
            || m_successes.front().first + m_options.lifetime <= now) {
            auto [at, oldest] = m_successes.front();
            m_successes.pop_front();
            if (auto found = m_lastSuccess.find(oldest);
                found != m_lastSuccess.end() && found->second == at) {
                m_lastSuccess.erase(found);
            }
        }
    }

    // Returns whether a request has succeeded within the lifetime, and forgets it.
    bool take(std::uint64_t fingerprint, steady_clock::time_point now)
    {
        auto found = m_lastSuccess.find(fingerprint);
        if (found == m_lastSuccess.end()) {
            return false;
        }
        bool isRecent = found->second + m_options.lifetime > now;
        m_lastSuccess.erase(found);
        return isRecent;
    }

private:
    const recent_successes_options m_options;
    std::unordered_map<std::uint64_t, steady_clock::time_point> m_lastSuccess;
    std::deque<std::pair<steady_clock::time_point, std::uint64_t>> m_successes; // Oldest first.
};

}
