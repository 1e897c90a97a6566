#include "marlsill/cluster/store_relay.h"

#include "marlsill/base/hash.h"
#include "marlsill/events/events.h"
#include "marlsill/routing/serving_set.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
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

    constexpr std::int64_t maxAgeMs = 3'600'000; // Beyond any age that matters.

    std::uint64_t ageInMs(steady_clock::time_point point, steady_clock::time_point now)
    {
        auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - point).count();
        return static_cast<std::uint64_t>(std::clamp<std::int64_t>(age, 0, maxAgeMs));
    }

    // Returns the point that another VM names by its age.
    steady_clock::time_point pointOfAge(std::uint64_t ageMs, steady_clock::time_point now)
    {
        return now - std::chrono::milliseconds(std::min<std::uint64_t>(ageMs, maxAgeMs));
    }

}

store_relay::store_relay(const member_list& members, store_relay_options options, store_relay_actions actions,
    steady_clock::time_point now)
    : m_members(members)
    , m_options(options)
    , m_actions(std::move(actions))
    , m_startedAt(now)
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
    m_watchersPerDomain = static_cast<int>(watchersPerDomain);
    m_place = std::max(0, m_electionRank - m_watchersPerDomain);
    auto domainsBefore
        = static_cast<int>(std::distance(candidates.begin(), candidates.find(self.failureDomain)));
    store::watch_turn turn { domainsBefore * m_watchersPerDomain + m_electionRank % m_watchersPerDomain,
        static_cast<int>(candidates.size()) * m_watchersPerDomain };
    if (std::exchange(m_turn, turn) != turn && m_actions.setWatchTurn) {
        m_actions.setWatchTurn(turn);
    }
    m_electedHosts.assign(elected.begin(), elected.end());
    std::erase(m_electedHosts, self.host);
    m_relayTargets.clear();
    m_domainTargets.clear();
    m_electedHostsOfDomain.clear();
    for (const auto& each : records) {
        bool isOfDomain = each.failureDomain == self.failureDomain;
        bool isTarget = isOfDomain || elected.contains(each.host);
        if (each.host != self.host && isTarget) {
            m_relayTargets.push_back(each.host);
        }
        if (each.host != self.host && isOfDomain) {
            m_domainTargets.push_back(each.host);
        }
        if (each.host != self.host && isOfDomain && elected.contains(each.host)) {
            m_electedHostsOfDomain.push_back(each.host);
        }
    }
}

store_summary store_relay::summary(steady_clock::time_point now) const
{
    return { m_configurationVersion, m_storePosition, m_upstreams.digest(), ageInMs(lastContact(), now) };
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
    if (isRelaying(m_now) && m_configuration.size() <= maxConfigurationBytes) {
        sendConfiguration(relayTargets(m_now), makeParts(m_configuration, m_configurationVersion, previous));
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
        if (isRelaying(m_now)) {
            message.summary = summary(m_now);
            m_actions.send(relayTargets(m_now), message);
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
    m_now = now;
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
        if (message.isBeacon) {
            handleBeacon(message, now);
        }
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
    bool hasFreshStoreRead = m_isWatching && hasContact(now);
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

void store_relay::handleBeacon(const peer_message& message, steady_clock::time_point now)
{
    const auto& summary = *message.summary;
    m_lastBeacon = now;
    if (std::find(m_electedHostsOfDomain.begin(), m_electedHostsOfDomain.end(), message.sender)
        != m_electedHostsOfDomain.end()) {
        m_lastElectedBeacon = now;
    }
    m_lastRelayedContact = std::max(m_lastRelayedContact, pointOfAge(summary.contactAgeMs, now));
    if (isTooOldForStart(summary, now)) {
        return;
    }
    auto reading = message.reading.value_or(store_reading { summary.contactAgeMs, message.sender });
    store_knowledge stated { pointOfAge(reading.ageMs, now), reading.reader, message.sender };
    peer_message request;
    request.wantsConfiguration = summary.configurationVersion > m_configurationVersion;
    request.wantsUpstreams = summary.storePosition.orInEra(m_storePosition.era) >= m_storePosition
        && summary.upstreamDigest != m_upstreams.digest();
    bool isBehind = request.wantsConfiguration || request.wantsUpstreams;
    noteBehind(isBehind, stated.asOf, now);
    // The answer may be under way; it is not requested again with every beacon.
    if (isBehind && hasPassed(m_nextRequest, now)) {
        m_nextRequest = now + m_options.requestInterval;
        m_actions.send(std::span(&message.sender, 1), request);
    }
    if (holds(summary)) {
        noteKnown(stated, now);
    }
}

// Returns whether this VM has what a summary describes, or what came after it. The lists of VMs that read the
// store may differ in what is unconfirmed.
bool store_relay::holds(const store_summary& summary) const
{
    auto position = summary.storePosition.orInEra(m_storePosition.era);
    return summary.configurationVersion <= m_configurationVersion
        && (position < m_storePosition || summary.upstreamDigest == m_upstreams.digest()
            || (m_isWatching && position == m_storePosition));
}

void store_relay::noteConfigurationRead(steady_clock::time_point asOf, steady_clock::time_point now)
{
    m_configurationReadAt = std::max(m_configurationReadAt, asOf);
    noteRead(now);
}

void store_relay::noteUpstreamsRead(steady_clock::time_point asOf, steady_clock::time_point now)
{
    m_upstreamsReadAt = std::max(m_upstreamsReadAt, asOf);
    noteRead(now);
}

// Takes over what this VM has read of both kinds.
void store_relay::noteRead(steady_clock::time_point now)
{
    m_now = now;
    const auto& host = m_members.self().host;
    auto asOf = std::min(m_configurationReadAt, m_upstreamsReadAt);
    if (asOf <= m_known.asOf) {
        return;
    }
    noteKnown({ asOf, host, host }, now);
}

void store_relay::noteKnown(const store_knowledge& stated, steady_clock::time_point now)
{
    auto asOf = std::min(stated.asOf, now);
    bool isNews = asOf > m_known.asOf + m_options.minReadingInterval;
    if (asOf > m_known.asOf) {
        m_known = { asOf, stated.reader, stated.source };
    }
    if (m_isWatching && !m_isElected && asOf > m_coveredAsOf && isBefore(stated.reader)) {
        if (!isCovered(now)) {
            m_coveredSince = now;
        }
        m_coveredAsOf = asOf;
    }
    // Others look for another reader by the age of what they know, so that they are told of every reading.
    if (isNews && m_firstElection && isRelaying(now) && (m_isElected || hasContact(now))) {
        bool isOwn = stated.reader == m_members.self().host;
        m_nextBeacon = now + m_options.beaconInterval;
        // A reader tells all elected VMs itself.
        sendBeacon(m_isElected && !isOwn ? m_domainTargets : relayTargets(now), now);
    }
}

// Records whether a beacon announces data that this VM lacks, as of `asOf`. One as of an earlier time that
// announces none says nothing about that.
void store_relay::noteBehind(bool isBehind, steady_clock::time_point asOf, steady_clock::time_point now)
{
    if (isBehind) {
        m_behindSince = m_behindSince.value_or(now);
        m_behindAsOf = std::max(m_behindAsOf, asOf);
    } else if (asOf >= m_behindAsOf) {
        m_behindSince.reset();
    }
}

// Returns the place of another VM among those of its failure domain that are not elected; -1 if it is
// elected, and the largest number if it is not known.
int store_relay::placeOf(std::string_view host) const
{
    if (std::find(m_electedHosts.begin(), m_electedHosts.end(), host) != m_electedHosts.end()) {
        return -1;
    }
    auto records = m_members.records();
    auto found
        = std::find_if(records.begin(), records.end(), [&](const auto& each) { return each.host == host; });
    if (found == records.end()) {
        return std::numeric_limits<int>::max();
    }
    std::pair<double, std::string_view> score(electionScore(*found), host);
    auto higher = std::count_if(records.begin(), records.end(), [&](const auto& each) {
        std::pair<double, std::string_view> other(electionScore(each), each.host);
        return each.failureDomain == found->failureDomain && each.state != member_state::leaving
            && other > score;
    });
    return std::max(0, static_cast<int>(higher) - m_watchersPerDomain);
}

// Returns whether this VM, which is not elected, need not read the store while `reader` does.
bool store_relay::isBefore(const std::string& reader) const
{
    const auto& self = m_members.self().host;
    return reader != self
        && std::pair(placeOf(reader), std::string_view(reader)) < std::pair(m_place, std::string_view(self));
}

// Returns whether a VM before this one is known to read the store.
bool store_relay::isCovered(steady_clock::time_point now) const
{
    return now - m_coveredAsOf <= m_options.budget.maxKnowledgeAge;
}

// Returns whether this VM passes on what changes: it is elected, or it is one of the next and nobody before
// it reads the store.
bool store_relay::isRelaying(steady_clock::time_point now) const
{
    bool isPrompt = m_place < m_options.budget.promptReaders;
    return m_isElected || (m_isWatching && isPrompt && !isCovered(now));
}

// Returns whom this VM passes on what changes to. One that is not elected leaves the rest of its domain to
// the elected VM while that is heard of.
std::span<const std::string> store_relay::relayTargets(steady_clock::time_point now) const
{
    bool isElectedHeard = now - m_lastElectedBeacon <= 2 * m_options.beaconInterval;
    return m_isElected || !isElectedHeard ? m_relayTargets : m_electedHosts;
}

// Returns whether the store responds to this VM.
bool store_relay::hasContact(steady_clock::time_point now) const
{
    return now - m_lastContact <= m_options.maxContactAge;
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
    m_now = now;
    bool wasLate = m_isTickLate;
    m_isTickLate = m_tickDueAt && now > *m_tickDueAt + m_options.maxTickDelay;
    if (isElectionDue(now)) {
        refreshElection();
        bool isDecided = wasLate || !m_isTickLate;
        bool isSteady = isCovered(now) && now - m_coveredSince >= m_options.stabilizationPeriod;
        if (m_isElected || (!m_isWatching && isDecided && hasPassed(readDueAt(), now))) {
            setWatching(true);
        } else if (m_isWatching && isSteady) {
            setWatching(false);
        }
        sendBeaconIfDue(now);
    }
    m_tickDueAt = nextTickAt(now);
}

deadline store_relay::nextTickAt(steady_clock::time_point now) const
{
    auto regular = now + m_options.beaconInterval;
    if (m_isTickLate) {
        return now + m_options.lateTickRetry;
    }
    if (m_isWatching) {
        return m_nextBeacon > now ? std::min(m_nextBeacon, regular) : regular;
    }
    return m_firstElection ? std::clamp(readDueAt(), now, regular) : regular;
}

// Returns when this VM, which does not watch the store, is to read it unless it learns more.
deadline store_relay::readDueAt() const
{
    const auto& budget = m_options.budget;
    auto startsAt = *m_firstElection + m_options.firstBeaconGracePeriod;
    auto tooOldAt = std::max(m_known.asOf + budget.maxKnowledgeAge, startsAt);
    auto prompt = std::min(m_place, budget.promptReaders - 1);
    auto inTurn = tooOldAt + prompt * budget.readerInterval + (m_place - prompt) * m_options.backupInterval;
    auto unheard = std::max(tooOldAt, m_lastBeacon + budget.maxKnowledgeAge)
        + budget.promptReaders * budget.readerInterval;
    auto due = std::min(inTurn, unheard);
    return m_behindSince ? std::min(due, *m_behindSince + m_options.catchUpTimeout) : due;
}

void store_relay::sendBeaconIfDue(steady_clock::time_point now)
{
    bool isBackup = m_isWatching && !isCovered(now) && hasContact(now);
    if (!hasPassed(m_nextBeacon, now) || !(m_isElected || isBackup)) {
        return;
    }
    m_nextBeacon = now + (isRelaying(now) ? m_options.beaconInterval : m_options.backupBeaconInterval);
    sendBeacon(isRelaying(now) ? relayTargets(now) : m_electedHosts, now);
}

void store_relay::sendBeacon(std::span<const std::string> hosts, steady_clock::time_point now)
{
    peer_message beacon;
    beacon.isBeacon = true;
    beacon.summary = summary(now);
    beacon.availability = m_actions.availability ? m_actions.availability() : std::nullopt;
    beacon.reading = store_reading { ageInMs(m_known.asOf, now), m_known.reader };
    m_actions.send(hosts, beacon);
}

void store_relay::setWatching(bool isWatching)
{
    if (m_isWatching != isWatching) {
        m_isWatching = isWatching;
        m_actions.watchStore(isWatching, upstreamsInUse());
    }
}

}
