#include "marlsill/cluster/fleet_knowledge.h"

#include "marlsill/base/hash.h"

#include <algorithm>

namespace marlsill::cluster {

namespace {

    constexpr std::string_view electionKey = "store-watchers";

    std::uint64_t scoreOf(const std::string& host) { return fastHash(host, fastHash(electionKey)); }

}

std::uint64_t digestOf(const std::vector<placement::upstream_entry>& entries)
{
    std::uint64_t sum = entries.size();
    for (const auto& each : entries) {
        sum += fastHash(each.id, fastHash(each.address, each.version * 2 + (each.isLeaving ? 1 : 0)));
    }
    return sum;
}

fleet_knowledge::fleet_knowledge(const member_list& members, fleet_knowledge_options options,
    fleet_knowledge_actions actions, steady_clock::time_point now)
    : m_members(members)
    , m_options(options)
    , m_actions(std::move(actions))
    , m_startedAt(now)
    , m_freshBeaconAt(now)
    , m_freshSince(now)
{
}

std::vector<std::string> fleet_knowledge::domainHosts() const
{
    std::vector<std::string> hosts;
    for (const auto& each : m_members.records()) {
        bool isOther = each.host != m_members.self().host;
        if (isOther && each.failureDomain == m_members.self().failureDomain) {
            hosts.push_back(each.host);
        }
    }
    return hosts;
}

bool fleet_knowledge::isElected() const
{
    if (m_members.self().state == member_state::leaving) {
        return false;
    }
    auto own = scoreOf(m_members.self().host);
    std::size_t better = 0;
    for (const auto& each : m_members.records()) {
        bool isRival = each.failureDomain == m_members.self().failureDomain
            && each.state != member_state::leaving && scoreOf(each.host) > own;
        better += isRival ? 1 : 0;
    }
    return better < m_options.watchersPerDomain;
}

knowledge_stamp fleet_knowledge::stamp(steady_clock::time_point now) const
{
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_contactAt).count();
    return { m_configurationVersion, m_storeVersion, m_upstreamDigest,
        static_cast<std::uint64_t>(std::clamp<std::int64_t>(age, 0, 3'600'000)) };
}

void fleet_knowledge::setConfiguration(std::string text, std::uint64_t version)
{
    if (version <= m_configurationVersion) {
        return;
    }
    m_configuration = std::move(text);
    m_configurationVersion = version;
    announce();
}

void fleet_knowledge::setUpstreams(std::vector<placement::upstream_entry> entries, std::uint64_t storeVersion)
{
    m_storeVersion = std::max(m_storeVersion, storeVersion);
    auto digest = digestOf(entries);
    if (digest == m_upstreamDigest) {
        return;
    }
    m_upstreams = std::move(entries);
    m_upstreamDigest = digest;
    announce();
}

// Sends all that this VM knows to its domain. Only watchers do, as the others have it from them.
void fleet_knowledge::announce()
{
    if (!m_isWatching || !isElected()) {
        return;
    }
    for (const auto& host : domainHosts()) {
        sendAll(host, steady_clock::now());
    }
}

void fleet_knowledge::sendAll(const std::string& host, steady_clock::time_point now)
{
    peer_message first;
    first.stamp = stamp(now);
    if (m_configuration.size() <= m_options.maxConfigurationBytes) {
        first.configuration = m_configuration;
        first.configurationVersion = m_configurationVersion;
    }
    m_actions.send(host, std::move(first));
    for (std::size_t start = 0; start < m_upstreams.size(); start += m_options.entriesPerDatagram) {
        peer_message part;
        part.stamp = stamp(now);
        auto end = std::min(m_upstreams.size(), start + m_options.entriesPerDatagram);
        part.upstreams.assign(m_upstreams.begin() + static_cast<std::ptrdiff_t>(start),
            m_upstreams.begin() + static_cast<std::ptrdiff_t>(end));
        m_actions.send(host, std::move(part));
    }
}

void fleet_knowledge::take(const peer_message& message, steady_clock::time_point now)
{
    if (message.wantsKnowledge) {
        sendAll(message.sender, now);
    }
    if (!message.configuration.empty() && message.configurationVersion > m_configurationVersion) {
        m_configuration = message.configuration;
        m_configurationVersion = message.configurationVersion;
        m_actions.takeConfiguration(m_configuration, m_configurationVersion);
    }
    if (message.stamp) {
        takeUpstreams(message);
        takeStamp(message, now);
    }
}

// Collects the parts of a list until its digest is right.
void fleet_knowledge::takeUpstreams(const peer_message& message)
{
    const auto& stamp = *message.stamp;
    bool isOld = stamp.storeVersion < m_storeVersion || stamp.upstreamDigest == m_upstreamDigest;
    if (message.upstreams.empty() || isOld) {
        return;
    }
    if (m_partialVersion != stamp.upstreamDigest) {
        m_partial.clear();
        m_partialVersion = stamp.upstreamDigest;
    }
    for (const auto& each : message.upstreams) {
        m_partial[each.id] = each;
    }
    std::vector<placement::upstream_entry> entries;
    for (const auto& [id, each] : m_partial) {
        entries.push_back(each);
    }
    if (digestOf(entries) != stamp.upstreamDigest) {
        return;
    }
    m_partial.clear();
    m_upstreams = std::move(entries);
    m_upstreamDigest = stamp.upstreamDigest;
    m_storeVersion = stamp.storeVersion;
    m_actions.takeUpstreams(m_upstreams);
}

void fleet_knowledge::takeStamp(const peer_message& message, steady_clock::time_point now)
{
    const auto& stamp = *message.stamp;
    bool isBehind = stamp.configurationVersion > m_configurationVersion
        || (stamp.storeVersion >= m_storeVersion && stamp.upstreamDigest != m_upstreamDigest);
    // A list that has just begun to arrive is not asked for again.
    if (isBehind && message.isBeacon) {
        peer_message question;
        question.wantsKnowledge = true;
        m_actions.send(message.sender, std::move(question));
    }
    bool isFresh = std::chrono::milliseconds(stamp.contactAgeMs) <= m_options.maxContactAge;
    if (message.isBeacon && isFresh) {
        if (now - m_freshBeaconAt > m_options.patience) {
            m_freshSince = now;
        }
        m_freshBeaconAt = now;
    }
}

void fleet_knowledge::tick(steady_clock::time_point now)
{
    if (now - m_startedAt < m_options.startWait) {
        return;
    }
    bool isBeaconFresh = now - m_freshBeaconAt <= m_options.patience;
    bool isSettled = isBeaconFresh && now - m_freshSince >= m_options.settleTime;
    bool elected = isElected();
    if (elected || !isBeaconFresh) {
        setWatching(true);
    } else if (isSettled) {
        setWatching(false);
    }
    bool hasContact = now - m_contactAt <= m_options.maxContactAge;
    if (!elected || !hasContact) {
        return;
    }
    peer_message beacon;
    beacon.isBeacon = true;
    beacon.stamp = stamp(now);
    for (const auto& host : domainHosts()) {
        m_actions.send(host, beacon);
    }
}

void fleet_knowledge::setWatching(bool isWatching)
{
    if (m_isWatching != isWatching) {
        m_isWatching = isWatching;
        m_actions.watchStore(isWatching);
    }
}

}
