#include "marlsill/cluster/member_list.h"

#include "marlsill/base/hash.h"
#include "marlsill/routing/serving_set.h"

#include <algorithm>
#include <set>
#include <utility>

namespace marlsill::cluster {

namespace {

    bool isNewer(const member& left, const member& right)
    {
        return std::pair(left.incarnation, left.version) > std::pair(right.incarnation, right.version);
    }

    std::uint64_t recordHash(const member& each)
    {
        return fastHash(each.host, each.incarnation * 31 + each.version);
    }

}

member_list::member_list(member self, member_list_options options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void member_list::setState(member_state state)
{
    if (m_self.state != state) {
        m_self.state = state;
        ++m_self.version;
    }
}

bool member_list::merge(const member& record, steady_clock::time_point now)
{
    if (record.host == m_self.host) {
        // Other VMs still hold a record of an earlier incarnation, whose clock was ahead.
        if (record.incarnation > m_self.incarnation) {
            m_self.incarnation = record.incarnation + 1;
        }
        return false;
    }
    auto [found, isNew] = m_others.try_emplace(record.host);
    auto& known = found->second;
    if (!isNew && !isNewer(record, known.record)) {
        return false;
    }
    bool isNewIncarnation = isNew || record.incarnation != known.record.incarnation;
    known.record = record;
    if (isNewIncarnation) {
        known.lastHeard = now;
        known.isAwaitingPong = false;
        known.missedPings = 0;
        known.isUnreachable = false;
    }
    return true;
}

void member_list::noteMessageFrom(const std::string& host, steady_clock::time_point now)
{
    auto found = m_others.find(host);
    if (found == m_others.end()) {
        return;
    }
    auto& each = found->second;
    each.lastHeard = now;
    each.isAwaitingPong = false;
    each.isReportedUnreachable = false;
    each.isUnreachable = false;
    each.missedPings = 0;
}

void member_list::recordMissedPing(entry& each, steady_clock::time_point now)
{
    each.isAwaitingPong = false;
    ++each.missedPings;
    if (each.missedPings >= m_options.maxMissedPings && !each.isUnreachable) {
        each.isUnreachable = true;
        each.unreachableSince = now;
        m_newlyUnreachable.push_back(each.record.host);
    }
}

std::vector<std::string> member_list::selectPingTargets(steady_clock::time_point now)
{
    std::erase_if(m_others, [&](const auto& each) {
        return each.second.isUnreachable && each.second.unreachableSince + m_options.removalDelay < now;
    });
    std::vector<std::string> due;
    for (auto& [host, each] : m_others) {
        if (each.isAwaitingPong && each.pingedAt + m_options.pingTimeout <= now) {
            recordMissedPing(each, now);
        }
        bool isSuspect = each.missedPings > 0 && !each.isUnreachable;
        if (!each.isAwaitingPong && (isSuspect || std::exchange(each.isReportedUnreachable, false))) {
            due.push_back(host);
        }
    }
    auto next = m_others.upper_bound(m_lastPinged);
    if (next == m_others.end()) {
        next = m_others.begin();
    }
    if (next != m_others.end()) {
        m_lastPinged = next->first;
        bool isAlreadyDue = std::find(due.begin(), due.end(), next->first) != due.end();
        if (!isAlreadyDue && !next->second.isAwaitingPong) {
            due.push_back(next->first);
        }
    }
    for (const auto& host : due) {
        auto& each = m_others.find(host)->second;
        each.isAwaitingPong = true;
        each.pingedAt = now;
    }
    return due;
}

std::vector<std::string> member_list::takeUnreachable() { return std::exchange(m_newlyUnreachable, {}); }

void member_list::noteReportedUnreachable(const std::string& host, steady_clock::time_point now)
{
    auto found = m_others.find(host);
    bool wasHeardRecently = found != m_others.end() && found->second.lastHeard + m_options.pingTimeout > now;
    if (found != m_others.end() && !wasHeardRecently && !found->second.isUnreachable) {
        found->second.isReportedUnreachable = true;
    }
}

std::vector<member> member_list::records() const
{
    std::vector<member> all { m_self };
    for (const auto& [host, each] : m_others) {
        if (!each.isUnreachable) {
            all.push_back(each.record);
        }
    }
    return all;
}

std::vector<std::string> member_list::reachableHosts() const
{
    std::vector<std::string> hosts;
    for (const auto& [host, each] : m_others) {
        if (!each.isUnreachable) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::vector<const member*> member_list::servingSet(std::string_view hostName, int slots) const
{
    std::vector<const member*> candidates;
    if (m_self.state == member_state::ready) {
        candidates.push_back(&m_self);
    }
    for (const auto& [host, each] : m_others) {
        if (each.record.state == member_state::ready && !each.isUnreachable && each.missedPings == 0) {
            candidates.push_back(&each.record);
        }
    }
    std::vector<routing::candidate_node> places;
    std::set<std::string_view> domains;
    for (const auto* each : candidates) {
        places.push_back({ each->host, each->failureDomain, each->capacity });
        domains.insert(each->failureDomain);
    }
    auto domainCount = std::max<int>(1, static_cast<int>(domains.size()));
    auto size = (routing::servingSetSize(slots) + domainCount - 1) / domainCount * domainCount;
    std::vector<const member*> chosen;
    for (auto index : routing::servingSet(hostName, size, places)) {
        chosen.push_back(candidates[index]);
    }
    return chosen;
}

std::uint64_t member_list::digest() const
{
    auto sum = recordHash(m_self);
    for (const auto& [host, each] : m_others) {
        sum += each.isUnreachable ? 0 : recordHash(each.record);
    }
    return sum;
}

}
