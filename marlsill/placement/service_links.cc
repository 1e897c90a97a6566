#include "marlsill/placement/service_links.h"

namespace marlsill::placement {

bool service_links::recordAttempt(std::string_view service, std::string_view upstream, bool wasReached,
    steady_clock::time_point startedAt, steady_clock::time_point now)
{
    m_all.recordAttempt(upstream, wasReached, startedAt, now);
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        if (wasReached) {
            return false;
        }
        found = m_services.try_emplace(std::string(service), m_options).first;
    }
    auto& state = found->second;
    if (!wasReached) {
        state.lastFailure = now;
    }
    if (wasReached && state.monitor.isCutOff()) {
        return startedAt > state.cutOffSince && recordProbe(service, true, now);
    }
    if (wasReached || hasPassed(state.trustedUntil, now)) {
        state.monitor.recordAttempt(upstream, wasReached, startedAt, now);
    }
    return false;
}

std::vector<due_probes> service_links::takeDueProbes(steady_clock::time_point now)
{
    std::vector<due_probes> due;
    if (int count = m_all.takeDueProbes(now); count > 0) {
        due.push_back({ {}, count });
    }
    std::erase_if(m_services, [&](const auto& each) {
        return !each.second.monitor.isSuspicious() && hasPassed(each.second.trustedUntil, now)
            && each.second.lastFailure + m_options.suspicionLifetime < now;
    });
    for (auto& [service, state] : m_services) {
        if (int count = state.monitor.takeDueProbes(now); count > 0) {
            due.push_back({ service, count });
        }
    }
    return due;
}

bool service_links::recordProbe(std::string_view service, bool wasReached, steady_clock::time_point now)
{
    if (service.empty()) {
        return m_all.recordProbe(wasReached, now);
    }
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        return false;
    }
    auto& state = found->second;
    if (wasReached) {
        state.trustedUntil = now + m_options.minCheckInterval;
    }
    bool hasChanged = state.monitor.recordProbe(wasReached, now);
    if (hasChanged && state.monitor.isCutOff()) {
        state.cutOffSince = now;
    }
    return hasChanged;
}

bool service_links::isCutOffFrom(std::string_view service) const
{
    auto found = m_services.find(service);
    return isCutOff() || (found != m_services.end() && found->second.monitor.isCutOff());
}

bool service_links::mayReport(
    std::string_view service, evidence_kind kind, steady_clock::time_point now) const
{
    bool dependsOnLinks = kind == evidence_kind::unreachable || kind == evidence_kind::stalled
        || kind == evidence_kind::probe;
    auto found = m_services.find(service);
    if (!dependsOnLinks || found == m_services.end()) {
        return true;
    }
    const auto& state = found->second;
    return !state.monitor.isSuspicious() && (!isSuspicious() || !hasPassed(state.trustedUntil, now));
}

}
