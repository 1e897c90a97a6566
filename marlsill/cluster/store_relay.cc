#include "marlsill/cluster/store_relay.h"

#include "marlsill/base/hash.h"
#include "marlsill/routing/serving_set.h"

#include <algorithm>
#include <utility>

namespace marlsill::cluster {

namespace {

    constexpr std::string_view electionKey = "store-watchers";

    double electionScore(const member& each)
    {
        return routing::servingScore(electionKey, { each.host, each.failureDomain, each.capacity });
    }

}

std::uint64_t digestOf(const std::vector<placement::upstream_entry>& entries)
{
    std::uint64_t sum = entries.size();
    for (const auto& each : entries) {
        sum += fastHash(each.id,
            fastHash(
                each.address, each.version * 4 + (each.isLeaving ? 2 : 0) + (each.isUnconfirmed ? 1 : 0)));
    }
    return sum;
}

store_relay::store_relay(const member_list& members, store_relay_options options, store_relay_actions actions,
    steady_clock::time_point now)
    : m_members(members)
    , m_options(options)
    , m_actions(std::move(actions))
    , m_startedAt(now)
    , m_lastFreshBeacon(now)
    , m_beaconsFreshSince(now)
{
}

bool store_relay::isElected(const member& candidate, const std::vector<member>& records) const
{
    std::set<std::string_view> domains;
    std::size_t higherRanked = 0;
    for (const auto& each : records) {
        if (each.state == member_state::leaving) {
            continue;
        }
        domains.insert(each.failureDomain);
        bool isCompetitor = each.failureDomain == candidate.failureDomain && each.host != candidate.host;
        higherRanked += isCompetitor && electionScore(each) > electionScore(candidate) ? 1 : 0;
    }
    auto watchersPerDomain = domains.size() >= m_options.minWatchers ? 1 : m_options.minWatchers;
    return candidate.state != member_state::leaving && higherRanked < watchersPerDomain;
}

bool store_relay::isElected() const { return isElected(m_members.self(), m_members.records()); }

// Returns the hosts that a watcher sends to: those of its own failure domain and the watchers of the others.
std::vector<std::string> store_relay::relayTargets() const
{
    auto records = m_members.records();
    std::vector<std::string> hosts;
    for (const auto& each : records) {
        bool isSameDomain = each.failureDomain == m_members.self().failureDomain;
        if (each.host != m_members.self().host && (isSameDomain || isElected(each, records))) {
            hosts.push_back(each.host);
        }
    }
    return hosts;
}

store_summary store_relay::summary(steady_clock::time_point now) const
{
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - lastContact()).count();
    return { m_configurationVersion, m_storeVersion, m_upstreamDigest,
        static_cast<std::uint64_t>(std::clamp<std::int64_t>(age, 0, 3'600'000)) };
}

void store_relay::setConfiguration(std::string text, std::uint64_t version)
{
    if (version <= m_configurationVersion) {
        return;
    }
    m_configuration = std::move(text);
    m_configurationVersion = version;
    m_actions.onConfiguration(m_configuration, m_configurationVersion);
    broadcastConfiguration();
}

void store_relay::broadcastConfiguration()
{
    if (!isElected()) {
        return;
    }
    for (const auto& host : relayTargets()) {
        sendConfiguration(host);
    }
}

void store_relay::setUpstreams(std::vector<placement::upstream_entry> entries, std::uint64_t storeVersion)
{
    m_storeVersion = std::max(m_storeVersion, storeVersion);
    auto digest = digestOf(entries);
    if (digest == m_upstreamDigest) {
        return;
    }
    auto previous = std::exchange(m_upstreams, {});
    auto previousDigest = m_upstreamDigest;
    applyUpstreams(std::move(entries), digest);
    broadcastDelta(previous, previousDigest);
}

// Applies a list. An unconfirmed entry is used only if this VM used it before.
void store_relay::applyUpstreams(std::vector<placement::upstream_entry> entries, std::uint64_t digest)
{
    std::vector<placement::upstream_entry> used;
    for (const auto& each : entries) {
        if (!each.isUnconfirmed || m_inUse.contains(each.id)) {
            used.push_back(each);
        }
    }
    m_inUse.clear();
    for (const auto& each : used) {
        m_inUse.insert(each.id);
    }
    m_upstreams = std::move(entries);
    m_upstreamDigest = digest;
    m_actions.onUpstreams(used);
}

// Sends the difference from the previous list, as a chain of deltas of one datagram each.
void store_relay::broadcastDelta(
    const std::vector<placement::upstream_entry>& previous, std::uint64_t previousDigest)
{
    if (!isElected()) {
        return;
    }
    std::map<std::string, placement::upstream_entry> applied;
    for (const auto& each : previous) {
        applied[each.id] = each;
    }
    std::map<std::string, placement::upstream_entry> current;
    for (const auto& each : m_upstreams) {
        current[each.id] = each;
    }
    std::vector<peer_message> messages(1);
    auto openDelta = [&]() -> peer_message& {
        if (messages.back().upstreams.size() + messages.back().removed.size()
            >= m_options.entriesPerDatagram) {
            finishDelta(messages.back(), applied, previousDigest);
            messages.emplace_back();
        }
        return messages.back();
    };
    for (const auto& each : previous) {
        if (!current.contains(each.id)) {
            openDelta().removed.push_back(each.id);
            applied.erase(each.id);
        }
    }
    for (const auto& [id, each] : current) {
        auto found = applied.find(id);
        if (found == applied.end() || !(found->second == each)) {
            openDelta().upstreams.push_back(each);
            applied[id] = each;
        }
    }
    finishDelta(messages.back(), applied, previousDigest);
    for (const auto& host : relayTargets()) {
        for (const auto& message : messages) {
            m_actions.send(host, message);
        }
    }
}

// Completes one delta, which leads from the list with `previousDigest` to `result`, and sets `previousDigest`
// to the digest of `result`.
void store_relay::finishDelta(peer_message& message,
    const std::map<std::string, placement::upstream_entry>& result, std::uint64_t& previousDigest) const
{
    std::vector<placement::upstream_entry> entries;
    for (const auto& [id, each] : result) {
        entries.push_back(each);
    }
    message.isDelta = true;
    message.baseDigest = previousDigest;
    message.summary = summary(steady_clock::now());
    message.summary->upstreamDigest = digestOf(entries);
    previousDigest = message.summary->upstreamDigest;
}

void store_relay::sendConfiguration(const std::string& host)
{
    if (m_configuration.empty() || m_configuration.size() > m_options.maxConfigurationBytes) {
        return;
    }
    peer_message message;
    message.configuration = m_configuration;
    message.configurationVersion = m_configurationVersion;
    m_actions.send(host, std::move(message));
}

void store_relay::sendUpstreams(const std::string& host, steady_clock::time_point now)
{
    for (std::size_t start = 0; start < m_upstreams.size(); start += m_options.entriesPerDatagram) {
        peer_message chunk;
        chunk.summary = summary(now);
        auto end = std::min(m_upstreams.size(), start + m_options.entriesPerDatagram);
        chunk.upstreams.assign(m_upstreams.begin() + static_cast<std::ptrdiff_t>(start),
            m_upstreams.begin() + static_cast<std::ptrdiff_t>(end));
        m_actions.send(host, std::move(chunk));
    }
}

void store_relay::handleMessage(const peer_message& message, steady_clock::time_point now)
{
    if (message.wantsConfiguration) {
        sendConfiguration(message.sender);
    }
    if (message.wantsUpstreams) {
        sendUpstreams(message.sender, now);
    }
    if (!message.configuration.empty() && message.configurationVersion > m_configurationVersion) {
        setConfiguration(message.configuration, message.configurationVersion);
    }
    if (message.summary) {
        mergeUpstreams(message, now);
        handleSummary(message, now);
    }
}

// Applies a delta to the known list, or collects the chunks of a whole list until their digest matches.
void store_relay::mergeUpstreams(const peer_message& message, steady_clock::time_point now)
{
    const auto& summary = *message.summary;
    bool isDelta = message.isDelta;
    // A VM that reads the store itself accepts only lists of a newer store version.
    bool hasFreshStoreRead = m_isWatching && now - m_lastContact <= m_options.maxContactAge;
    bool isNotNewer = summary.storeVersion < m_storeVersion + (hasFreshStoreRead ? 1 : 0)
        || summary.upstreamDigest == m_upstreamDigest;
    bool hasOtherBase = isDelta && message.baseDigest != m_upstreamDigest;
    if (isNotNewer || hasOtherBase || (message.upstreams.empty() && !isDelta)) {
        return;
    }
    std::map<std::string, placement::upstream_entry> updated;
    if (isDelta) {
        for (const auto& each : m_upstreams) {
            updated[each.id] = each;
        }
        for (const auto& id : message.removed) {
            updated.erase(id);
        }
    } else if (m_partialSnapshotDigest != summary.upstreamDigest) {
        m_partialSnapshot.clear();
        m_partialSnapshotDigest = summary.upstreamDigest;
    }
    auto& merged = isDelta ? updated : m_partialSnapshot;
    for (const auto& each : message.upstreams) {
        merged[each.id] = each;
    }
    std::vector<placement::upstream_entry> entries;
    for (const auto& [id, each] : merged) {
        entries.push_back(each);
    }
    if (digestOf(entries) != summary.upstreamDigest) {
        return;
    }
    m_partialSnapshot.clear();
    setUpstreams(std::move(entries), summary.storeVersion);
}

void store_relay::handleSummary(const peer_message& message, steady_clock::time_point now)
{
    const auto& summary = *message.summary;
    peer_message request;
    request.wantsConfiguration = summary.configurationVersion > m_configurationVersion;
    request.wantsUpstreams
        = summary.storeVersion >= m_storeVersion && summary.upstreamDigest != m_upstreamDigest;
    if (!message.isBeacon) {
        return;
    }
    auto age = std::chrono::milliseconds(summary.contactAgeMs);
    m_lastRelayedContact = std::max(m_lastRelayedContact, now - age);
    bool isBehind = request.wantsConfiguration || request.wantsUpstreams;
    if (!isBehind) {
        m_behindSince.reset();
    } else if (!m_behindSince) {
        m_behindSince = now;
    }
    // The answer may be under way; it is not requested again with every beacon.
    if (isBehind && hasPassed(m_nextRequest, now)) {
        m_nextRequest = now + m_options.requestInterval;
        m_actions.send(message.sender, std::move(request));
    }
    bool isCatchUpOverdue = m_behindSince && now - *m_behindSince > m_options.catchUpTimeout;
    if (age <= m_options.maxContactAge && !isCatchUpOverdue) {
        if (now - m_lastFreshBeacon > m_options.beaconTimeout) {
            m_beaconsFreshSince = now;
        }
        m_lastFreshBeacon = now;
    }
}

void store_relay::tick(steady_clock::time_point now)
{
    if (now - m_startedAt < m_options.electionDelay) {
        return;
    }
    bool isBeaconFresh = now - m_lastFreshBeacon <= m_options.beaconTimeout;
    bool isBeaconStable = isBeaconFresh && now - m_beaconsFreshSince >= m_options.stabilizationPeriod;
    bool elected = isElected();
    bool isBeaconMissing = !isBeaconFresh && now - m_startedAt >= m_options.startupGracePeriod;
    if (elected || isBeaconMissing) {
        setWatching(true);
    } else if (isBeaconStable) {
        setWatching(false);
    }
    bool hasContact = now - lastContact() <= m_options.maxContactAge;
    if (!elected || !hasContact) {
        return;
    }
    peer_message beacon;
    beacon.isBeacon = true;
    beacon.summary = summary(now);
    for (const auto& host : relayTargets()) {
        m_actions.send(host, beacon);
    }
}

void store_relay::setWatching(bool isWatching)
{
    if (m_isWatching != isWatching) {
        m_isWatching = isWatching;
        std::vector<placement::upstream_entry> known;
        for (const auto& each : m_upstreams) {
            if (m_inUse.contains(each.id)) {
                known.push_back(each);
            }
        }
        m_actions.watchStore(isWatching, known);
    }
}

}
