#pragma once

// Quarantines requests that crashed upstreams, so that they are not sent to further ones.
//
//     if (quarantine.isQuarantined(fingerprint, now))
//         return refuse();
//     auto crashes = quarantine.recordCrash(fingerprint, upstream, now); // Report it to the peers.
//
// The fingerprint covers the request as the upstream receives it, and the caller. Not thread safe.

#include "marlsill/base/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace marlsill::placement {

// Settings of the quarantine.
struct crash_quarantine_options {
    int maxCrashes = 2; // One may be a coincidence, and a third upstream must not crash.
    std::chrono::milliseconds retention { 60'000 }; // Since the last crash; longer than callers retry.
    std::size_t maxEntries = 10'000;
};

// See the file comment.
class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_options options = {})
        : m_options(options)
    {
    }

    // Records that `upstream` crashed while it executed the request. Returns how many upstreams the request
    // is known to have crashed.
    int recordCrash(std::uint64_t fingerprint, const std::string& upstream, steady_clock::time_point now)
    {
        auto& found = findOrCreate(fingerprint, now);
        found.upstreams.insert(upstream);
        found.crashCount = std::max(found.crashCount, static_cast<int>(found.upstreams.size()));
        return found.crashCount;
    }

    // Raises the crash count to a peer's, if that is higher.
    void mergePeerCount(std::uint64_t fingerprint, int crashes, steady_clock::time_point now)
    {
        auto& found = findOrCreate(fingerprint, now);
        found.crashCount = std::max(found.crashCount, crashes);
    }

    // Returns how many upstreams the request is known to have crashed.
    int crashesOf(std::uint64_t fingerprint, steady_clock::time_point now) const
    {
        auto found = m_entries.find(fingerprint);
        return found == m_entries.end() || hasPassed(found->second.expiresAt, now) ? 0
                                                                                   : found->second.crashCount;
    }

    // Returns whether the request must not be sent to any upstream.
    bool isQuarantined(std::uint64_t fingerprint, steady_clock::time_point now) const
    {
        return crashesOf(fingerprint, now) >= m_options.maxCrashes;
    }

private:
    struct entry {
        std::set<std::string> upstreams;
        int crashCount = 0; // The larger of `upstreams.size()` and the peers' counts.
        deadline expiresAt;
    };

    // Returns the entry of a request and renews its retention; evicts an arbitrary one if the quarantine is
    // full.
    entry& findOrCreate(std::uint64_t fingerprint, steady_clock::time_point now)
    {
        std::erase_if(m_entries, [&](const auto& each) { return hasPassed(each.second.expiresAt, now); });
        if (m_entries.size() >= m_options.maxEntries && !m_entries.contains(fingerprint)) {
            m_entries.erase(m_entries.begin());
        }
        auto& found = m_entries[fingerprint];
        found.expiresAt = now + m_options.retention;
        return found;
    }

    const crash_quarantine_options m_options;
    std::map<std::uint64_t, entry> m_entries;
};

}
