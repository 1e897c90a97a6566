#pragma once

// Shortens the reuse of idle connections to a service whose upstreams forget them early.
//
//     wish.maxIdle = limits.maxIdleOf("bookings", usual, now);
//     ...
//     limits.recordKeepAliveRace("bookings", now); // An idle connection turned out to be gone.
//
// A request that may run once is lost with a connection that the upstream has forgotten. How long the others
// are kept is unknown then, so one loss limits the reuse for all upstreams of the service. Not thread safe.

#include "marlsill/base/time.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace marlsill::placement {

// Settings of the limits.
struct idle_limits_options {
    std::chrono::milliseconds safe { 100 }; // Hardly any server forgets a connection sooner.
    std::chrono::milliseconds memory { 10'000 }; // Above the length of a fault that shortens idle times.
};

class idle_limits {
public:
    explicit idle_limits(idle_limits_options options = {})
        : m_options(options)
    {
    }

    // Notes that an idle connection to an upstream of the service was gone.
    void recordKeepAliveRace(std::string_view service, steady_clock::time_point now)
    {
        m_limitedUntil[std::string(service)] = now + m_options.memory;
    }

    // Returns how long a connection may have been idle to carry a request: `usual`, or less.
    std::chrono::milliseconds maxIdleOf(
        std::string_view service, std::chrono::milliseconds usual, steady_clock::time_point now) const
    {
        auto found = m_limitedUntil.find(service);
        bool isLimited = found != m_limitedUntil.end() && !hasPassed(found->second, now);
        return isLimited ? std::min(usual, m_options.safe) : usual;
    }

private:
    const idle_limits_options m_options;
    std::map<std::string, deadline, std::less<>> m_limitedUntil;
};

}
