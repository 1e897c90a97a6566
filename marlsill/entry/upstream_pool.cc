#include "marlsill/entry/upstream_pool.h"

namespace marlsill::entry {

upstream_pool::upstream_pool(pool_options options)
    : m_options(options)
{
}

std::optional<pooled_connection> upstream_pool::take(const std::string& address, steady_clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    auto& idle = m_upstreams[address].idle;
    while (!idle.empty()) {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        if (!hasPassed(candidate.idleDeadline, now) && candidate.connection.channel.isIdleAndOpen()) {
            return std::move(candidate.connection);
        }
    }
    return std::nullopt;
}

void upstream_pool::put(
    const std::string& address, pooled_connection connection, steady_clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    auto& entry = m_upstreams[address];
    bool isReusable = connection.openedAt > entry.invalidatedUntil
        && entry.idle.size() < m_options.maxIdlePerUpstream && connection.channel.isIdleAndOpen();
    if (isReusable) {
        entry.idle.push_back({ std::move(connection), now + m_options.idleTimeout });
    }
}

std::size_t upstream_pool::invalidate(const std::string& address, steady_clock::time_point openedUntil)
{
    std::lock_guard lock(m_mutex);
    auto& entry = m_upstreams[address];
    entry.invalidatedUntil = std::max(entry.invalidatedUntil, openedUntil);
    return std::erase_if(
        entry.idle, [&](const auto& each) { return each.connection.openedAt <= entry.invalidatedUntil; });
}

}
