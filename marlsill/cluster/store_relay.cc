#include "marlsill/cluster/store_relay.h"

#include "marlsill/base/hash.h"
#include "marlsill/events/events.h"
#include "marlsill/routing/serving_set.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace marlsill::cluster {

namespace {

    constexpr std::string_view electionKey = "store-watchers";
    constexpr double electionCapacityPower = 4;
    constexpr double minElectionCapacity = 1e-3; // Cores.

    double electionScore(const member& each)
    {
        // The power makes the largest VMs of a domain win almost always: a watcher sends to all others of
        // its domain, which takes a small VM a large part of its processor and its link.
        auto weight = std::pow(std::max(each.capacity, minElectionCapacity), electionCapacityPower);
        return routing::servingScore(electionKey, { each.host, each.failureDomain, weight });
    }

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

// Elects the watchers anew if the members have changed.
void store_relay::refreshElection()
{
    if (m_electionGeneration == m_members.generation()) {
        return;
    }
    m_electionGeneration = m_members.generation();
    auto records = m_members.records();
    std::map<std::string_view, std::vector<std::pair<double, std::string_view>>> candidates; // By domain.
    for (const auto& each : records) {
        if (each.state != member_state::leaving) {
            candidates[each.failureDomain].emplace_back(electionScore(each), each.host);
        }
    }
    auto watchersPerDomain = candidates.size() >= m_options.minWatchers ? 1 : m_options.minWatchers;
    std::set<std::string_view> elected;
    for (auto& [domain, scored] : candidates) {
        auto count = std::min(watchersPerDomain, scored.size());
        std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(),
            std::greater<>());
        for (std::size_t place = 0; place < count; ++place) {
            elected.insert(scored[place].second);
        }
    }
    const auto& self = m_members.self();
    m_isElected = elected.contains(self.host);
    const auto& domain = candidates[self.failureDomain];
    std::pair<double, std::string_view> own(electionScore(self), self.host);
    m_electionRank = static_cast<int>(
        std::count_if(domain.begin(), domain.end(), [&](const auto& each) { return each > own; }));
    m_electedHosts.assign(elected.begin(), elected.end());
    std::erase(m_electedHosts, self.host);
    m_relayTargets.clear();
    m_electedHostsOfDomain.clear();
    for (const auto& each : records) {
        bool isOfDomain = each.failureDomain == self.failureDomain;
        bool isTarget = isOfDomain || elected.contains(each.host);
        if (each.host != self.host && isTarget) {
            m_relayTargets.push_back(each.host);
        }
        if (each.host != self.host && isOfDomain && elected.contains(each.host)) {
            m_electedHostsOfDomain.push_back(each.host);
        }
    }
}

store_summary store_relay::summary(steady_clock::time_point now) const
{
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - lastContact()).count();
    return { m_configurationVersion, m_storePosition, m_upstreams.digest(),
        static_cast<std::uint64_t>(std::clamp<std::int64_t>(age, 0, 3'600'000)) };
}

// Records that the upstream list is from this position, unless it is from a later one already.
void store_relay::advance(placement::store_position position)
{
    m_storePosition = std::max(m_storePosition, position.orInEra(m_storePosition.era));
}

void store_relay::setConfiguration(std::string text, std::uint64_t version)
{
    if (version <= m_configurationVersion) {
        return;
    }
    auto previous = std::exchange(m_configuration, std::move(text));
    m_configurationVersion = version;
    m_wholeConfiguration.clear();
    m_assembler.discardUpTo(version);
    broadcastConfiguration(previous);
    m_actions.onConfiguration(m_configuration, m_configurationVersion);
}

void store_relay::broadcastConfiguration(std::string_view previous)
{
    refreshElection();
    if (m_isElected && m_configuration.size() <= maxConfigurationBytes) {
        sendConfiguration(m_relayTargets, makeParts(m_configuration, m_configurationVersion, previous));
    }
}

void store_relay::setUpstreams(
    std::span<const placement::upstream_entry> entries, placement::store_position position)
{
    advance(position);
    auto delta = m_upstreams.deltaTo(entries);
    if (m_upstreams.digestAfter(delta) != m_upstreams.digest()) {
        applyDelta(delta);
    }
}

// Applies a difference and, if this VM is elected, sends it as a chain of deltas of one datagram each.
void store_relay::applyDelta(const upstream_delta& delta)
{
    refreshElection();
    peer_message message;
    auto finishMessage = [&] {
        message.isDelta = true;
        message.baseDigest = m_upstreams.digest();
        upstream_delta part { message.upstreams, message.removed };
        m_upstreams.apply(part);
        if (m_isElected) {
            message.summary = summary(steady_clock::now());
            m_actions.send(m_relayTargets, message);
        }
        message = {};
    };
    auto startEntry = [&] {
        if (message.upstreams.size() + message.removed.size() >= m_options.entriesPerDatagram) {
            finishMessage();
        }
    };
    for (const auto& id : delta.removed) {
        startEntry();
        message.removed.push_back(id);
        m_inUse.erase(id);
        m_changed.insert(id);
    }
    for (const auto& each : delta.changed) {
        startEntry();
        message.upstreams.push_back(each);
        if (!each.isUnconfirmed) {
            m_inUse.insert(each.id);
        }
        if (m_inUse.contains(each.id)) {
            m_changed.insert(each.id);
        }
    }
    finishMessage();
    m_actions.onUpstreams();
}

std::vector<placement::upstream_entry> store_relay::upstreamsInUse() const
{
    std::vector<placement::upstream_entry> used;
    for (const auto& [id, each] : m_upstreams.entries()) {
        if (m_inUse.contains(id)) {
            used.push_back(each);
        }
    }
    return used;
}

upstream_delta store_relay::takeUpstreamChanges()
{
    upstream_delta changes;
    for (const auto& id : std::exchange(m_changed, {})) {
        if (m_inUse.contains(id)) {
            changes.changed.push_back(m_upstreams.entries().at(id));
        } else {
            changes.removed.push_back(id);
        }
    }
    return changes;
}

void store_relay::sendConfiguration(
    std::span<const std::string> hosts, const std::vector<configuration_part>& parts)
{
    for (const auto& each : parts) {
        peer_message message;
        message.configuration = each;
        m_actions.send(hosts, message);
    }
}

void store_relay::applyConfigurationPart(const configuration_part& part)
{
    if (part.version <= m_configurationVersion) {
        return;
    }
    reason why;
    if (auto received = m_assembler.add(part, m_configuration, why)) {
        setConfiguration(std::move(received->text), received->version);
    } else if (why.code != reason_code::none) {
        logEvent(event::configurationPartIgnored,
            { { "version", std::to_string(part.version) },
                { "known", std::to_string(m_configurationVersion) }, { "cause", why.text } });
    }
}

void store_relay::sendUpstreams(const std::string& host, steady_clock::time_point now)
{
    peer_message chunk;
    chunk.summary = summary(now);
    auto sendChunk = [&] {
        m_actions.send(std::span(&host, 1), chunk);
        chunk.upstreams.clear();
    };
    for (const auto& [id, each] : m_upstreams.entries()) {
        chunk.upstreams.push_back(each);
        if (chunk.upstreams.size() == m_options.entriesPerDatagram) {
            sendChunk();
        }
    }
    if (!chunk.upstreams.empty()) {
        sendChunk();
    }
}

void store_relay::handleMessage(const peer_message& message, steady_clock::time_point now)
{
    if (message.wantsConfiguration && !m_configuration.empty()
        && m_configuration.size() <= maxConfigurationBytes) {
        if (m_wholeConfiguration.empty()) {
            m_wholeConfiguration = makeParts(m_configuration, m_configurationVersion, {});
        }
        sendConfiguration(std::span(&message.sender, 1), m_wholeConfiguration);
    }
    if (message.wantsUpstreams) {
        sendUpstreams(message.sender, now);
    }
    if (message.configuration) {
        applyConfigurationPart(*message.configuration);
    }
    if (message.summary) {
        mergeUpstreams(message, now);
        handleSummary(message, now);
    }
}

// Returns whether this VM has started so recently, and its peer heard of the store so long ago, that other
// peers may be about to tell it of later data. It has no position of its own to compare with yet.
bool store_relay::isTooOldForStart(const store_summary& summary, steady_clock::time_point now) const
{
    return std::chrono::milliseconds(summary.contactAgeMs) > m_options.maxContactAge
        && !hasPassed(m_startedAt + m_options.freshDataPeriod, now);
}

// Applies a delta to the known list, or collects the chunks of a whole list until their digest matches.
void store_relay::mergeUpstreams(const peer_message& message, steady_clock::time_point now)
{
    const auto& summary = *message.summary;
    bool isDelta = message.isDelta;
    // A VM that reads the store itself accepts only lists of a newer store version.
    bool hasFreshStoreRead = m_isWatching && now - m_lastContact <= m_options.maxContactAge;
    auto position = summary.storePosition.orInEra(m_storePosition.era);
    bool isNotNewer = position < m_storePosition || (hasFreshStoreRead && position == m_storePosition)
        || summary.upstreamDigest == m_upstreams.digest();
    bool hasOtherBase = isDelta && message.baseDigest != m_upstreams.digest();
    if (isNotNewer || hasOtherBase || (message.upstreams.empty() && !isDelta)
        || isTooOldForStart(summary, now)) {
        return;
    }
    if (isDelta) {
        upstream_delta delta { message.upstreams, message.removed };
        if (m_upstreams.digestAfter(delta) == summary.upstreamDigest) {
            advance(position);
            applyDelta(delta);
        }
        return;
    }
    if (m_partialSnapshotDigest != summary.upstreamDigest) {
        m_partialSnapshot = {};
        m_partialSnapshotDigest = summary.upstreamDigest;
    }
    for (const auto& each : message.upstreams) {
        m_partialSnapshot.put(each);
    }
    if (m_partialSnapshot.digest() != summary.upstreamDigest) {
        return;
    }
    std::vector<placement::upstream_entry> entries;
    for (const auto& [id, each] : m_partialSnapshot.entries()) {
        entries.push_back(each);
    }
    m_partialSnapshot = {};
    setUpstreams(entries, position);
}

void store_relay::handleSummary(const peer_message& message, steady_clock::time_point now)
{
    const auto& summary = *message.summary;
    peer_message request;
    request.wantsConfiguration = summary.configurationVersion > m_configurationVersion;
    request.wantsUpstreams = summary.storePosition.orInEra(m_storePosition.era) >= m_storePosition
        && summary.upstreamDigest != m_upstreams.digest();
    if (!message.isBeacon) {
        return;
    }
    if (isTooOldForStart(summary, now)) {
        request = {};
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
        m_actions.send(std::span(&message.sender, 1), request);
    }
    bool isCatchUpOverdue = m_behindSince && now - *m_behindSince > m_options.catchUpTimeout;
    if (age > m_options.maxContactAge && !isCatchUpOverdue) {
        m_lastOutageBeacon = now;
    }
    if (age <= m_options.maxContactAge && !isCatchUpOverdue) {
        if (now - m_lastFreshBeacon > m_options.beaconTimeout) {
            m_beaconsFreshSince = now;
        }
        m_lastFreshBeacon = now;
    }
}

// Returns whether the members are known well enough for an election.
bool store_relay::isElectionDue(steady_clock::time_point now)
{
    if (std::exchange(m_lastMemberCount, m_members.size()) != m_members.size()) {
        m_lastJoin = now;
    }
    bool isSettled = now - m_lastJoin >= m_options.joinSettlingTime;
    bool isDue = now - m_startedAt >= m_options.electionDelay
        && (isSettled || now - m_startedAt >= m_options.maxElectionDelay);
    if (!m_firstElection && isDue) {
        m_firstElection = now;
    }
    return m_firstElection.has_value();
}

void store_relay::tick(steady_clock::time_point now)
{
    if (!isElectionDue(now)) {
        return;
    }
    bool isBeaconFresh = now - m_lastFreshBeacon <= m_options.beaconTimeout;
    bool isBeaconStable = isBeaconFresh && now - m_beaconsFreshSince >= m_options.stabilizationPeriod;
    refreshElection();
    bool isBeaconMissing = !isBeaconFresh && now - *m_firstElection >= m_options.firstBeaconGracePeriod;
    bool isOutageKnown = now - m_lastOutageBeacon <= m_options.beaconTimeout;
    if (m_isElected || (isBeaconMissing && !isOutageKnown)) {
        m_backupUntil.reset();
        setWatching(true);
    } else if (isBeaconMissing && isBackupDue(now)) {
        m_backupUntil = m_backupUntil.value_or(now + m_options.backupDuration);
        setWatching(true);
    } else if (isBeaconStable && (!m_backupUntil || hasPassed(*m_backupUntil, now))) {
        m_backupUntil.reset();
        setWatching(false);
    }
    sendBeacon(now);
}

// Returns whether it is this VM's turn to try the store while no watcher reaches it.
bool store_relay::isBackupDue(steady_clock::time_point now) const
{
    auto staleSince = m_lastFreshBeacon + m_options.beaconTimeout;
    return now >= staleSince + std::max(0, m_electionRank - 1) * m_options.backupInterval;
}

void store_relay::sendBeacon(steady_clock::time_point now)
{
    bool isBackupInContact = m_backupUntil && now - m_lastContact <= m_options.maxContactAge;
    if (!m_isElected && (!isBackupInContact || !hasPassed(m_nextBackupBeacon, now))) {
        return;
    }
    m_nextBackupBeacon = now + m_options.backupBeaconInterval;
    peer_message beacon;
    beacon.isBeacon = true;
    beacon.summary = summary(now);
    beacon.availability = m_actions.availability ? m_actions.availability() : std::nullopt;
    m_actions.send(m_isElected ? m_relayTargets : m_electedHosts, beacon);
}

void store_relay::setWatching(bool isWatching)
{
    if (m_isWatching != isWatching) {
        m_isWatching = isWatching;
        m_actions.watchStore(isWatching, upstreamsInUse());
    }
}

}
