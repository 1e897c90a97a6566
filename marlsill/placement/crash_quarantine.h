#pragma once

// Remembers requests under which upstreams crashed, so that they are not sent to more of them.
//
//     if (list.isQuarantined(print, now))
//         return refuse();
//     auto crashes = list.recordCrash(print, upstream, now); // Tell the peers.
//
// A request is known by a fingerprint of what the upstream sees and of its caller. Not thread safe.

#include "marlsill/base/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace marlsill::placement {

// Settings of a list.
struct crash_quarantine_options {
    int maxCrashes = 2; // One crash may be a coincidence; a third upstream must not be lost.
    std::chrono::milliseconds memory { 60'000 }; // Longer than callers repeat a request.
    std::size_t maxEntries = 10'000;
};

class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_options options = {})
        : m_options(options)
    {
    }

    // Counts a crash of `upstream` under a request. Returns the upstreams that it is known to have crashed.
    int recordCrash(std::uint64_t print, const std::string& upstream, steady_clock::time_point now)
    {
        auto& found = entryOf(print, now);
        found.upstreams.insert(upstream);
        found.count = std::max(found.count, static_cast<int>(found.upstreams.size()));
        return found.count;
    }

    // Takes a peer's count.
    void mergePeerCount(std::uint64_t print, int crashes, steady_clock::time_point now)
    {
        auto& found = entryOf(print, now);
        found.count = std::max(found.count, crashes);
    }

    // Returns whether the request must not be sent to another upstream.
    bool isQuarantined(std::uint64_t print, steady_clock::time_point now) const
    {
        auto found = m_entries.find(print);
        return found != m_entries.end() && found->second.count >= m_options.maxCrashes
            && !hasPassed(found->second.forgetAt, now);
    }

private:
    struct entry {
        std::set<std::string> upstreams;
        int count = 0;
        deadline forgetAt;
    };

    entry& entryOf(std::uint64_t print, steady_clock::time_point now)
    {
        std::erase_if(m_entries, [&](const auto& each) { return hasPassed(each.second.forgetAt, now); });
        if (m_entries.size() >= m_options.maxEntries && !m_entries.contains(print)) {
            m_entries.erase(m_entries.begin());
        }
        auto& found = m_entries[print];
        found.forgetAt = now + m_options.memory;
        return found;
    }

    const crash_quarantine_options m_options;
    std::map<std::uint64_t, entry> m_entries;
};

}
