#include "marlsill/cluster/member_list.h"

#include "marlsill/base/hash.h"

#include <algorithm>
#include <utility>

namespace marlsill::cluster {

namespace {

    bool isNewer(const member& left, const member& right)
    {
        return std::pair(left.incarnation, left.version) > std::pair(right.incarnation, right.version);
    }

    // About ten records in each at a few thousand VMs.
    constexpr std::size_t bucketCount = 256;

    std::size_t bucketOf(std::string_view host) { return fastHash(host) % bucketCount; }

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
        ++m_generation;
    }
}

void member_list::setCutOff(bool isCutOff)
{
    if (m_self.isCutOff != isCutOff) {
        m_self.isCutOff = isCutOff;
        ++m_self.version;
        ++m_generation;
    }
}

void member_list::setStaleKeys(bool hasStaleKeys)
{
    if (m_self.hasStaleKeys != hasStaleKeys) {
        m_self.hasStaleKeys = hasStaleKeys;
        ++m_self.version;
        ++m_generation;
    }
}

bool member_list::merge(const member& record, steady_clock::time_point now)
{
    if (record.host == m_self.host) {
        // Other VMs still hold a record of an earlier incarnation, whose clock was ahead.
        if (record.incarnation > m_self.incarnation) {
            m_self.incarnation = record.incarnation + 1;
            ++m_generation;
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
    ++m_generation;
    if (isNewIncarnation) {
        known.lastHeard = now;
        known.isAwaitingPong = false;
        known.missedPings = 0;
        known.isUnreachable = false;
        known.wasReported = false;
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
    each.wasReported = false;
    m_generation += each.isUnreachable ? 1 : 0;
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
        ++m_generation;
        m_newlyUnreachable.push_back({ each.record.host, each.wasReported });
    }
}

std::vector<std::string> member_list::selectPingTargets(steady_clock::time_point now)
{
    std::vector<std::string> due;
    std::size_t unreachablePings = 0;
    for (auto watched = m_watched.begin(); watched != m_watched.end();) {
        auto found = m_others.find(*watched);
        bool isRemoved
            = found->second.isUnreachable && found->second.unreachableSince + m_options.removalDelay < now;
        if (isRemoved) {
            m_others.erase(found);
            ++m_generation;
            watched = m_watched.erase(watched);
            continue;
        }
        auto& each = found->second;
        if (each.isAwaitingPong && each.pingedAt + m_options.pingTimeout <= now) {
            recordMissedPing(each, now);
        }
        bool isSuspect = each.missedPings > 0 && !each.isUnreachable;
        bool isRetried = each.isUnreachable && each.pingedAt + m_options.unreachablePingInterval <= now
            && unreachablePings < m_options.maxUnreachablePings;
        bool isDue = !each.isAwaitingPong
            && (isSuspect || std::exchange(each.isReportedUnreachable, false) || isRetried);
        if (isDue) {
            due.push_back(*watched);
            unreachablePings += isRetried ? 1 : 0;
        }
        bool isOfInterest = isDue || each.isAwaitingPong || each.isReportedUnreachable || each.isUnreachable;
        watched = isOfInterest ? std::next(watched) : m_watched.erase(watched);
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
        m_watched.insert(host);
    }
    return due;
}

std::vector<member_list::unreachable_host> member_list::takeUnreachable()
{
    return std::exchange(m_newlyUnreachable, {});
}

void member_list::noteReportedUnreachable(const std::string& host, steady_clock::time_point now)
{
    auto found = m_others.find(host);
    bool wasHeardRecently = found != m_others.end() && found->second.lastHeard + m_options.pingTimeout > now;
    if (found != m_others.end() && !wasHeardRecently && !found->second.isUnreachable) {
        found->second.isReportedUnreachable = true;
        found->second.wasReported = true;
        m_watched.insert(host);
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

std::vector<const member*> member_list::eligibleMembers() const
{
    std::vector<const member*> eligible;
    if (m_self.state == member_state::ready) {
        eligible.push_back(&m_self);
    }
    for (const auto& [host, each] : m_others) {
        if (each.record.state == member_state::ready && !each.isUnreachable) {
            eligible.push_back(&each.record);
        }
    }
    return eligible;
}

bool member_list::isKnown(std::string_view host) const
{
    return host == m_self.host || m_others.contains(host);
}

bool member_list::isCutOff(std::string_view host) const
{
    if (host == m_self.host) {
        return m_self.isCutOff;
    }
    auto found = m_others.find(host);
    return found != m_others.end() && found->second.record.isCutOff;
}

bool member_list::hasStaleKeys(std::string_view host) const
{
    if (host == m_self.host) {
        return m_self.hasStaleKeys;
    }
    auto found = m_others.find(host);
    return found != m_others.end() && found->second.record.hasStaleKeys;
}

bool member_list::isSuspect(std::string_view host) const
{
    auto found = m_others.find(host);
    return found != m_others.end() && found->second.missedPings > 0;
}

std::vector<std::uint32_t> member_list::bucketDigests() const
{
    std::vector<std::uint32_t> digests(bucketCount);
    auto add = [&](const member& each) {
        digests[bucketOf(each.host)] += static_cast<std::uint32_t>(recordHash(each));
    };
    add(m_self);
    for (const auto& [host, each] : m_others) {
        if (!each.isUnreachable) {
            add(each.record);
        }
    }
    return digests;
}

std::vector<member> member_list::recordsIn(std::span<const std::size_t> buckets) const
{
    std::vector<bool> isWanted(bucketCount);
    for (auto bucket : buckets) {
        if (bucket < bucketCount) {
            isWanted[bucket] = true;
        }
    }
    auto all = records();
    std::erase_if(all, [&](const member& each) { return !isWanted[bucketOf(each.host)]; });
    return all;
}

std::uint64_t member_list::digest() const
{
    if (m_digestGeneration == m_generation) {
        return m_digest;
    }
    m_digestGeneration = m_generation;
    m_digest = recordHash(m_self);
    for (const auto& [host, each] : m_others) {
        m_digest += each.isUnreachable ? 0 : recordHash(each.record);
    }
    return m_digest;
}

}
