#include "marlsill/gateway/connection_pool.h"

#include <algorithm>

namespace marlsill::gateway {

std::shared_ptr<upstream_connection> connection_pool::take(
    const std::string& upstream, const connection_requirements& requirements, steady_clock::time_point now)
{
    auto found = m_idle.find(upstream);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto& connections = found->second;
    for (auto index = connections.size(); index-- > 0;) {
        auto connection = connections[index];
        bool isFresh = connection->idleSince() + requirements.maxIdle > now
            && !hasPassed(connection->keepAliveUntil(), now);
        if (!isFresh) {
            return nullptr; // The others have been idle even longer.
        }
        if (connection->isForHead() != requirements.isHead
            || connection->hasCarried(requirements.requestHash)) {
            continue;
        }
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index));
        connection->stopWatching();
        if (connection->hasNoPendingInput()) {
            return connection;
        }
        connection->abort();
    }
    return nullptr;
}

void connection_pool::put(const std::string& upstream, const std::shared_ptr<upstream_connection>& connection)
{
    auto& connections = m_idle[upstream];
    if (!connection->isReusable() || connections.size() >= m_options.maxIdlePerUpstream) {
        connection->abort();
        return;
    }
    connections.push_back(connection);
    connection->watchIdle([this, upstream](upstream_connection& ended) {
        auto found = m_idle.find(upstream);
        if (found != m_idle.end()) {
            std::erase_if(found->second, [&](const auto& each) { return each.get() == &ended; });
        }
        ended.abort();
    });
}

void connection_pool::closeIdle(const std::string& upstream)
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
