#pragma once

// Decides whether a VM that is stopping may start one more request at an upstream.
//
//     stop_admission admission(now, exitDeadline);
//     if (!admission.mayStart({ .usualLatency = stats.latency, .objective = route.latencyObjective }, now))
//         return refuse(); // The caller goes to another VM at once.
//
// Answers the load of a planned stop: callers that hold a connection or a directory answer from before keep
// sending for some seconds, and run times vary by several times their average. A refusal costs a caller a
// round trip and a connection to another VM. A request that is cut costs it the whole answer, and may not be
// sent again if it may run only once. Performs no I/O.

#include "marlsill/base/time.h"

#include <algorithm>
#include <chrono>

namespace marlsill::placement {

// How long a request may take.
struct stop_outlook {
    std::chrono::milliseconds usualLatency {}; // Average of the service; 0 if unknown.
    std::chrono::milliseconds objective {}; // Latency objective of the route.
};

// See the file comment.
class stop_admission {
public:
    // Callers learn of a stop within the lifetime of a directory answer, and have other VMs to go to by then.
    static constexpr std::chrono::milliseconds usualMaxStartDelay { 2'800 };

    // `exitAt` is when requests that are still unanswered are given up. None is started later than
    // `maxStartDelay` after the begin.
    stop_admission(steady_clock::time_point begunAt, deadline exitAt,
        steady_clock::duration maxStartDelay = usualMaxStartDelay)
        : m_lastStartAt(begunAt + std::min<steady_clock::duration>((exitAt - begunAt) / 2, maxStartDelay))
        , m_exitAt(exitAt)
    {
    }

    // Returns how much time a request has to have left to be started.
    static std::chrono::milliseconds neededTime(const stop_outlook& outlook)
    {
        return std::max(tailFactor * outlook.usualLatency, outlook.objective);
    }

    // Returns whether a request may be started. In the second half of the stop none is, as an upstream may
    // have slowed down since its latency was observed, nor later than the longest start delay.
    bool mayStart(const stop_outlook& outlook, steady_clock::time_point now) const
    {
        return !hasPassed(m_lastStartAt, now) && !hasPassed(m_exitAt - neededTime(outlook), now);
    }

    deadline lastStartAt() const { return m_lastStartAt; }
    deadline exitAt() const { return m_exitAt; }

private:
    // Of exponentially distributed run times, fewer than one in fifty exceed this multiple of the average.
    static constexpr int tailFactor = 4;

    deadline m_lastStartAt;
    deadline m_exitAt;
};

}
