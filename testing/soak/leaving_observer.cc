#include "testing/soak/leaving_observer.h"

namespace marlsill::testing {

bool leaving_observer::isLate(const sent_request& request, const notice_key& key) const
{
    auto found = m_passedOn.find(key);
    return found != m_passedOn.end() && request.at > found->second + m_drainTime;
}

void leaving_observer::noteSent(
    const std::string& request, const std::string& process, steady_clock::time_point at)
{
    std::lock_guard lock(m_mutex);
    auto& sent = m_requests[request] = { process, at };
    for (auto each = m_passedOn.lower_bound({ process, "" });
         each != m_passedOn.end() && each->first.first == process; ++each) {
        if (isLate(sent, each->first)) {
            m_checked.insert(*each);
        }
    }
}

void leaving_observer::notePassedOn(
    const std::string& request, const std::string& upstream, steady_clock::time_point at)
{
    std::lock_guard lock(m_mutex);
    auto sent = m_requests.find(request);
    auto replaced = m_replacedAt.find(upstream);
    // The answer may be of the process before.
    bool isOutdated
        = replaced != m_replacedAt.end() && sent != m_requests.end() && sent->second.at <= replaced->second;
    if (sent != m_requests.end() && !isOutdated) {
        m_passedOn.try_emplace({ sent->second.process, upstream }, at);
    }
}

void leaving_observer::noteArrival(const std::string& request, const std::string& upstream)
{
    std::lock_guard lock(m_mutex);
    auto sent = m_requests.find(request);
    if (sent != m_requests.end() && isLate(sent->second, { sent->second.process, upstream })) {
        m_broken.push_back("leaving: " + request + " of " + sent->second.process + " reached " + upstream);
    }
}

void leaving_observer::noteReplaced(const std::string& upstream, steady_clock::time_point at)
{
    std::lock_guard lock(m_mutex);
    m_replacedAt[upstream] = at;
    std::erase_if(m_passedOn, [&](const auto& each) { return each.first.second == upstream; });
}

std::vector<std::string> leaving_observer::broken() const
{
    std::lock_guard lock(m_mutex);
    return m_broken;
}

std::size_t leaving_observer::checked() const
{
    std::lock_guard lock(m_mutex);
    return m_checked.size();
}

}
