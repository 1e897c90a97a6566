#pragma once

// Enforces the retry time that refused callers were given.
//
//     gate.recordRetryAfter("10.0.0.7", now + retryAfter, now);
//     ...
//     if (gate.isTooEarly("10.0.0.7", now))
//         return refuse(); // Not queued ahead of callers that respected their retry time.
//
// Protects against callers that repeat refused requests at once. A caller is whatever the text says: its
// account, or an address, which several callers may share. Not thread safe.

#include "marlsill/base/time.h"

#include <algorithm>
#include <map>
#include <string>

namespace marlsill::placement {

// See the file comment.
class retry_after_gate {
public:
    // Records that a caller was told to retry at `retryAt`. An earlier time does not replace a later one.
    void recordRetryAfter(const std::string& caller, deadline retryAt, steady_clock::time_point now)
    {
        if (m_retryAt.size() >= maxCallers) {
            std::erase_if(m_retryAt, [&](const auto& each) { return hasPassed(each.second, now); });
        }
        if (m_retryAt.size() < maxCallers || m_retryAt.contains(caller)) {
            auto& latest = m_retryAt[caller];
            latest = std::max(latest, retryAt);
        }
    }

    // Returns whether the caller's retry time has not yet come.
    bool isTooEarly(const std::string& caller, steady_clock::time_point now) const
    {
        auto found = m_retryAt.find(caller);
        return found != m_retryAt.end() && !hasPassed(found->second, now);
    }

private:
    static constexpr std::size_t maxCallers = 10'000; // About 1 MB. Further callers are not tracked.

    std::map<std::string, deadline, std::less<>> m_retryAt;
};

}
