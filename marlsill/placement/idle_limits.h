#pragma once

// Limits the idle time of reused connections to services whose upstreams close them early.
//
//     auto maxIdle = limits.maxIdleOf("bookings", usual, now);
//     ...
//     limits.recordKeepAliveRace("bookings", now); // The upstream had closed an idle connection.
//
// An at-most-once request that is sent on a connection just closed by the upstream fails, as it must not be
// retried. The idle timeout of the service's other upstreams is unknown then, so one such race limits reuse
// for all of them. Not thread safe.

#include "marlsill/base/time.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace marlsill::placement {

// Settings of the limits.
struct idle_limits_options {
    std::chrono::milliseconds safeIdle { 100 }; // Hardly any server closes a connection sooner.
    std::chrono::milliseconds limitDuration { 10'000 }; // Longer than faults that shorten idle timeouts.
};

// See the file comment.
class idle_limits {
public:
    explicit idle_limits(idle_limits_options options = {})
        : m_options(options)
    {
    }

    // Records that an upstream of the service had closed an idle connection before a request arrived.
    void recordKeepAliveRace(std::string_view service, steady_clock::time_point now)
    {
        m_limitedUntil[std::string(service)] = now + m_options.limitDuration;
    }

    // Returns the longest idle time after which a connection may be reused; at most `usual`.
    std::chrono::milliseconds maxIdleOf(
        std::string_view service, std::chrono::milliseconds usual, steady_clock::time_point now) const
    {
        auto found = m_limitedUntil.find(service);
        bool isLimited = found != m_limitedUntil.end() && !hasPassed(found->second, now);
        return isLimited ? std::min(usual, m_options.safeIdle) : usual;
    }

private:
    const idle_limits_options m_options;
    std::map<std::string, deadline, std::less<>> m_limitedUntil;
};

}
