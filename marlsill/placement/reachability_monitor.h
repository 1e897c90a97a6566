#pragma once

// Decides whether this VM has lost its links to all upstreams, as opposed to some upstreams having failed.
//
//     reachability_monitor monitor;
//     monitor.recordAttempt("upstream-17", connect_result::failed, startedAt, now);
//     for (int probe = monitor.takeDueProbes(now); probe > 0; --probe)
//         connectToAnyUpstream(); // Then monitor.recordProbe(isConnected, now).
//     if (monitor.isCutOff())
//         forwardThroughPeer();
//
// Answers load that the VM cannot pass on: each request would otherwise find out anew, one connect timeout
// after the other. Two upstreams in a row that cannot be reached raise a suspicion; connects to a few others,
// of several services, confirm or refute it, so that neither a failed service nor a few failed upstreams are
// mistaken for a cut, and an idle VM is not either. A VM that is cut off probes at a bounded rate until a
// connect succeeds. Does no I/O. Not thread safe.

#include "marlsill/base/time.h"

#include <set>
#include <string>
#include <string_view>

namespace marlsill::placement {

// Settings of a reachability monitor.
struct reachability_options {
    std::size_t suspectUpstreams = 2; // Distinct ones that cannot be reached, with no success since.
    std::chrono::milliseconds suspicionLifetime { 3'000 }; // Since the last failed attempt.
    int probesPerCheck = 4; // At once, to confirm a suspicion.
    std::chrono::milliseconds minCheckInterval { 1'000 }; // Between checks that found upstreams reachable.
    std::chrono::milliseconds recoveryProbeInterval { 250 }; // While this VM is cut off.
};

// See the file comment.
class reachability_monitor {
public:
    explicit reachability_monitor(reachability_options options = {})
        : m_options(options)
    {
    }

    // Records an attempt that opened a connection, or lost one that was idle before.
    void recordAttempt(std::string_view upstream, bool wasReached, steady_clock::time_point startedAt,
        steady_clock::time_point now);

    // Returns how many probes to start now; each must be followed by one recordProbe().
    int takeDueProbes(steady_clock::time_point now);

    // Records the result of a probe. Returns whether isCutOff() has changed.
    bool recordProbe(bool wasReached, steady_clock::time_point now);

    // Returns whether no upstream can be reached, as confirmed by probes.
    bool isCutOff() const { return m_state == state::cutOff; }

    // Returns whether failures of connections may be this VM's own.
    bool isSuspicious() const
    {
        return m_state != state::reachable || m_unreachable.size() >= m_options.suspectUpstreams;
    }

private:
    enum class state {
        reachable,
        checking,
        cutOff,
    };

    const reachability_options m_options;
    state m_state = state::reachable;
    std::set<std::string, std::less<>> m_unreachable; // Upstreams, since the last success.
    steady_clock::time_point m_suspectSince {};
    steady_clock::time_point m_lastFailure {};
    deadline m_nextProbes {};
    int m_pendingProbes = 0;
};

}
