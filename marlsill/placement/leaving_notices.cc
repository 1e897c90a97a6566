#include "marlsill/placement/leaving_notices.h"

#include <algorithm>

namespace marlsill::placement {

bool leaving_notices::isOtherProcess(const known_notice& known, const upstream_entry& entry)
{
    if (entry.startedUnixMs != known.notice.startedUnixMs) {
        return entry.startedUnixMs > known.notice.startedUnixMs;
    }
    bool isOtherService = !known.service.empty() && known.service != entry.service;
    bool wasRemoved = known.forgetAt != deadline::max();
    return isOtherService || (entry.startedUnixMs == 0 && wasRemoved && entry.version > known.version);
}

void leaving_notices::updateRegistration(known_notice& known, const upstream_entry& entry)
{
    known.service = entry.service;
    known.version = std::max(known.version, entry.version);
    known.forgetAt = deadline::max();
}

void leaving_notices::scheduleRemoval(known_notice& known, steady_clock::time_point now)
{
    known.forgetAt = now + m_options.unregisteredLifetime;
    m_removals.emplace_back(known.forgetAt, known.notice.upstream);
}

void leaving_notices::forgetExpired(steady_clock::time_point now)
{
    while (!m_removals.empty() && hasPassed(m_removals.front().first, now)) {
        auto found = m_known.find(m_removals.front().second);
        if (found != m_known.end() && hasPassed(found->second.forgetAt, now)) {
            m_known.erase(found);
        }
        m_removals.pop_front();
    }
}

bool leaving_notices::record(
    const leaving_notice& notice, const upstream_entry* registered, steady_clock::time_point now)
{
    forgetExpired(now);
    if (registered && registered->startedUnixMs > notice.startedUnixMs) {
        return false;
    }
    auto found = m_known.find(notice.upstream);
    if (found != m_known.end() && found->second.notice.startedUnixMs >= notice.startedUnixMs) {
        return false;
    }
    auto& known = m_known[notice.upstream];
    known = { .notice = notice };
    if (registered) {
        updateRegistration(known, *registered);
    } else {
        scheduleRemoval(known, now);
    }
    return true;
}

bool leaving_notices::isLeaving(const upstream_entry& entry) const
{
    auto found = m_known.find(entry.id);
    return found != m_known.end() && !isOtherProcess(found->second, entry);
}

void leaving_notices::noteRegistered(const upstream_entry& entry)
{
    auto found = m_known.find(entry.id);
    if (found == m_known.end()) {
        return;
    }
    if (isOtherProcess(found->second, entry)) {
        m_ended.push_back(std::move(found->second.notice));
        m_known.erase(found);
    } else {
        updateRegistration(found->second, entry);
    }
}

void leaving_notices::noteRemoved(std::string_view upstream, steady_clock::time_point now)
{
    forgetExpired(now);
    auto found = m_known.find(upstream);
    if (found != m_known.end() && found->second.forgetAt == deadline::max()) {
        scheduleRemoval(found->second, now);
    }
}

}
