#include "marlsill/gateway/connection_pool.h"

#include <algorithm>

namespace marlsill::gateway {

std::shared_ptr<upstream_connection> connection_pool::take(
    const std::string& upstream, const link_wish& wish, steady_clock::time_point now)
{
    auto found = m_idle.find(upstream);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto& links = found->second;
    while (!links.empty()) {
        auto link = links.back();
        bool isFresh = link->idleSince() + wish.maxIdle > now && !hasPassed(link->keepAliveUntil(), now);
        if (!isFresh) {
            return nullptr; // The others have been idle for longer.
        }
        links.pop_back();
        link->stopWatching();
        if (link->hasNoPendingInput()) {
            return link;
        }
        link->abort();
    }
    return nullptr;
}

void connection_pool::put(const std::string& upstream, const std::shared_ptr<upstream_connection>& link)
{
    auto& links = m_idle[upstream];
    if (!link->isReusable() || links.size() >= m_options.maxIdlePerUpstream) {
        link->abort();
        return;
    }
    links.push_back(link);
    link->watchIdle([this, upstream](upstream_connection& ended) {
        auto found = m_idle.find(upstream);
        if (found != m_idle.end()) {
            std::erase_if(found->second, [&](const auto& each) { return each.get() == &ended; });
        }
        ended.abort();
    });
}

void connection_pool::drop(const std::string& upstream)
{
    auto found = m_idle.find(upstream);
    if (found == m_idle.end()) {
        return;
    }
    for (auto& each : found->second) {
        each->abort();
    }
    m_idle.erase(found);
}

}
