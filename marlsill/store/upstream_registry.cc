#include "marlsill/store/upstream_registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace marlsill::store {

std::optional<deadline> upstream_registry::gracePeriodEnd() const
{
    auto start = std::max(m_regainedAt, m_restoredAt); // An empty one is the smallest.
    return start ? std::optional(*start + m_options.reregistrationGracePeriod) : std::nullopt;
}

bool upstream_registry::isOutageRecent(steady_clock::time_point now) const
{
    auto end = gracePeriodEnd();
    return m_lostAt || (end && !hasPassed(*end, now));
}

bool upstream_registry::replaceAll(
    std::span<const placement::upstream_entry> listed, steady_clock::time_point now)
{
    bool hasChanged = false;
    std::set<std::string> present;
    for (const auto& each : listed) {
        present.insert(each.id);
        hasChanged = update(m_entries[each.id], each) || hasChanged;
    }
    std::vector<std::string> missing;
    for (const auto& [id, each] : m_entries) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        hasChanged = remove(id, now) || hasChanged;
    }
    return hasChanged;
}

bool upstream_registry::put(const placement::upstream_entry& next)
{
    auto& found = m_entries[next.id];
    // The version of a missing entry may be of an earlier era of the store.
    bool isOlder = !found.isMissing && next.version < found.registered.version;
    return !isOlder && update(found, next);
}

bool upstream_registry::update(entry& found, const placement::upstream_entry& next)
{
    bool isSameIncarnation
        = found.registered.startedUnixMs == next.startedUnixMs && found.registered.service == next.service;
    bool wasLeaving = isSameIncarnation && found.registered.isLeaving;
    bool hasChanged = found.isMissing || !(found.registered == next);
    found.registered = next;
    found.registered.isLeaving = next.isLeaving || wasLeaving;
    found.isMissing = false;
    return hasChanged;
}

bool upstream_registry::remove(const std::string& id, steady_clock::time_point now)
{
    auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return false;
    }
    if (isOutageRecent(now) && !found->second.registered.isLeaving) {
        found->second.isMissing = true;
        return false;
    }
    m_entries.erase(found);
    return true;
}

void upstream_registry::reinitialize(std::span<const placement::upstream_entry> known)
{
    m_entries.clear();
    m_lostAt.reset();
    m_regainedAt.reset();
    m_restoredAt.reset();
    for (const auto& each : known) {
        put(each);
        m_entries[each.id].registered.isUnconfirmed = false;
    }
}

void upstream_registry::noteStoreLost(steady_clock::time_point since) { m_lostAt = m_lostAt.value_or(since); }

void upstream_registry::noteStoreRegained(steady_clock::time_point now)
{
    auto lostAt = std::exchange(m_lostAt, std::nullopt);
    if (lostAt && now - *lostAt >= m_options.minOutage) {
        m_regainedAt = now;
    }
}

void upstream_registry::noteStoreAvailable(steady_clock::time_point since)
{
    if (m_regainedAt) {
        m_regainedAt = std::min(*m_regainedAt, since);
    }
}

void upstream_registry::noteStoreRestored(steady_clock::time_point now)
{
    m_lostAt.reset();
    m_restoredAt = now;
}

bool upstream_registry::expire(steady_clock::time_point now)
{
    if (isOutageRecent(now)) {
        return false;
    }
    return std::erase_if(m_entries, [](const auto& each) { return each.second.isMissing; }) > 0;
}

std::optional<deadline> upstream_registry::nextExpiry() const
{
    bool hasMissing = std::any_of(
        m_entries.begin(), m_entries.end(), [](const auto& each) { return each.second.isMissing; });
    return hasMissing && !m_lostAt ? gracePeriodEnd() : std::nullopt;
}

std::vector<placement::upstream_entry> upstream_registry::current() const
{
    std::vector<placement::upstream_entry> result;
    result.reserve(m_entries.size());
    for (const auto& [id, each] : m_entries) {
        result.push_back(each.registered);
        result.back().isUnconfirmed = each.isMissing;
    }
    return result;
}

}
