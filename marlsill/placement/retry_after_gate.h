#pragma once

// Remembers when refused callers were told to come back.
//
//     gate.recordRetryAfter("10.0.0.7", now + retryAfter);
//     ...
//     if (gate.isTooEarly("10.0.0.7", now))
//         return refuse(); // It does not wait in line before those that came when they were told.
//
// Answers the load of callers that repeat refused requests at once. Not thread safe.

#include "marlsill/base/time.h"

#include <algorithm>
#include <map>
#include <string>

namespace marlsill::placement {

class retry_after_gate {
public:
    // Notes that a caller was told to come back at `at`.
    void recordRetryAfter(const std::string& caller, deadline at, steady_clock::time_point now)
    {
        if (m_toldUntil.size() >= maxCallers) {
            std::erase_if(m_toldUntil, [&](const auto& each) { return hasPassed(each.second, now); });
        }
        if (m_toldUntil.size() < maxCallers || m_toldUntil.contains(caller)) {
            auto& told = m_toldUntil[caller];
            told = std::max(told, at);
        }
    }

    // Returns whether a caller has come back before it was told to.
    bool isTooEarly(const std::string& caller, steady_clock::time_point now) const
    {
        auto found = m_toldUntil.find(caller);
        return found != m_toldUntil.end() && !hasPassed(found->second, now);
    }

private:
    static constexpr std::size_t maxCallers = 10'000; // About a megabyte; beyond it callers go unremembered.

    std::map<std::string, deadline, std::less<>> m_toldUntil;
};

}
