#include "marlsill/placement/reachability_monitor.h"

namespace marlsill::placement {

void reachability_monitor::recordAttempt(std::string_view upstream, bool wasReached,
    steady_clock::time_point startedAt, steady_clock::time_point now)
{
    if (m_state == state::cutOff) {
        return; // Responses to earlier requests may still arrive; only probes end the state.
    }
    if (wasReached) {
        if (startedAt >= m_suspectSince) {
            m_unreachable.clear();
        }
        return;
    }
    if (m_lastFailure + m_options.suspicionLifetime < now) {
        m_unreachable.clear();
    }
    if (m_unreachable.empty()) {
        m_suspectSince = startedAt;
    }
    m_lastFailure = now;
    m_unreachable.emplace(upstream);
}

int reachability_monitor::takeDueProbes(steady_clock::time_point now)
{
    bool isSuspect = m_unreachable.size() >= m_options.suspectUpstreams
        && m_lastFailure + m_options.suspicionLifetime >= now;
    if (m_pendingProbes > 0 || !hasPassed(m_nextProbes, now) || (m_state == state::reachable && !isSuspect)) {
        return 0;
    }
    if (m_state == state::reachable) {
        m_state = state::checking;
        m_pendingProbes = m_options.probesPerCheck;
    } else {
        m_nextProbes = now + m_options.recoveryProbeInterval;
        m_pendingProbes = 1;
    }
    return m_pendingProbes;
}

bool reachability_monitor::recordProbe(bool wasReached, steady_clock::time_point now)
{
    m_pendingProbes = m_pendingProbes > 0 ? m_pendingProbes - 1 : 0;
    if (wasReached) {
        bool wasCutOff = isCutOff();
        if (m_state == state::checking) {
            m_nextProbes = now + m_options.minCheckInterval;
        }
        m_state = state::reachable;
        m_unreachable.clear();
        return wasCutOff;
    }
    if (m_state == state::checking && m_pendingProbes == 0) {
        m_state = state::cutOff;
        return true;
    }
    return false;
}

}
