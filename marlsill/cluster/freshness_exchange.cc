#include "marlsill/cluster/freshness_exchange.h"

#include <algorithm>

namespace marlsill::cluster {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint64_t maxAgeMs = 3'600'000; // Beyond any revocation bound.

}

freshness_exchange::freshness_exchange(accounts::configuration_freshness& freshness,
    freshness_exchange_options options, freshness_exchange_actions actions)
    : m_freshness(freshness)
    , m_options(options)
    , m_actions(std::move(actions))
    , m_readInterval(options.readInterval)
{
}

void freshness_exchange::setConfiguration(std::uint64_t version, bool hasAccounts, time_point now)
{
    bool isFirst = m_freshness.version() == 0;
    m_freshness.setVersion(version);
    bool isActive = m_freshness.isStrict() && hasAccounts;
    if (std::exchange(m_isActive, isActive) != isActive) {
        m_actions.onActivityChanged(isActive);
    }
    if (isFirst && isActive && !m_freshness.areKeysValid(now)) {
        // A VM that starts is listed as unable to check keys before others send it callers.
        m_isAnnouncedStale = true;
        m_actions.announce(true);
    }
    tick(now);
}

void freshness_exchange::noteStorePoint(time_point point, time_point now)
{
    m_freshness.noteApplied(point);
    m_readInterval = m_options.readInterval;
    updateValidity(now);
}

void freshness_exchange::handleMessage(const peer_message& message, time_point now)
{
    if (message.freshnessQuery && m_isActive && m_freshness.areKeysValid(now)) {
        peer_message answer;
        answer.freshnessAnswer = freshness_answer { .query = message.freshnessQuery,
            .configurationVersion = m_freshness.version(),
            .ageMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, m_freshness.ageAt(now)->count())) };
        m_actions.send(message.sender, answer);
    }
    if (message.freshnessAnswer && m_isActive) {
        applyAnswer(*message.freshnessAnswer, now);
    }
}

void freshness_exchange::applyAnswer(const freshness_answer& answer, time_point now)
{
    auto query = std::find_if(m_queries.begin(), m_queries.end(),
        [&](const open_query& each) { return each.number != 0 && each.number == answer.query; });
    if (query == m_queries.end()) {
        return;
    }
    auto age = milliseconds(std::min(answer.ageMs, maxAgeMs));
    m_freshness.noteStated(query->sentAt - age, answer.configurationVersion);
    if (query->number == m_lastQuery) {
        m_lastQuery = 0;
        // The version that a recent answer states may never come.
        bool isUseful = now - query->sentAt + age <= m_options.maxUsefulAge
            && !isOlderThan(m_options.maxUsefulAge, now);
        m_misses = isUseful ? 0 : m_misses + 1;
        if (isUseful) {
            notePreference(*query, now);
        }
    }
    *query = {};
    updateValidity(now);
}

// Remembers who answered, other than a watcher of the failure domain.
void freshness_exchange::notePreference(const open_query& answered, time_point now)
{
    auto ofDomain = m_actions.watchersOfDomain();
    if (std::find(ofDomain.begin(), ofDomain.end(), answered.host) != ofDomain.end()) {
        m_preferredHost.clear();
    } else if (m_preferredHost != answered.host || answered.sentAt >= m_preferredUntil) {
        m_preferredHost = answered.host;
        m_preferredUntil = now + m_options.preferenceDuration;
    }
}

bool freshness_exchange::isOlderThan(milliseconds age, time_point now) const
{
    auto point = m_freshness.currentAsOf();
    return !point || now - *point > age;
}

void freshness_exchange::tick(time_point now)
{
    if (m_isActive) {
        sendQuery(now);
        readStoreIfNeeded(now);
    }
    updateValidity(now);
}

void freshness_exchange::sendQuery(time_point now)
{
    bool isUnanswered = m_lastQuery != 0;
    bool isQuick = isUnanswered && m_misses < m_options.maxQuickRetries;
    auto interval = isQuick ? m_options.responseTimeout : m_options.queryInterval;
    auto queryAge = m_actions.isWatching() ? m_options.watcherQueryAge : m_options.queryAge;
    bool isFirst = m_lastQueryAt == time_point();
    if ((!isFirst && now - m_lastQueryAt < interval) || !isOlderThan(queryAge, now)) {
        return;
    }
    if (isUnanswered) {
        ++m_misses;
        if (m_lastHost == m_preferredHost) {
            m_preferredHost.clear();
        }
    }
    m_lastHost = chooseHost(now);
    m_lastQueryAt = now;
    do {
        m_lastQuery = m_actions.random();
    } while (m_lastQuery == 0);
    if (m_lastHost.empty()) {
        return; // Counts as a query without an answer.
    }
    m_queries[m_nextQuerySlot] = { m_lastQuery, m_lastHost, now };
    m_nextQuerySlot = (m_nextQuerySlot + 1) % m_queries.size();
    peer_message query;
    query.freshnessQuery = m_lastQuery;
    m_actions.send(m_lastHost, query);
}

// Returns whom to ask: a watcher of the failure domain, or whoever answered in its place; after a query
// without use another watcher, then any VM. Empty if no VM is known.
std::string freshness_exchange::chooseHost(time_point now)
{
    // The watchers are tried again from time to time, and if that fails, who answered before is next.
    bool isPreferred
        = m_misses == 0 ? now < m_preferredUntil : m_misses == 1 && m_lastHost != m_preferredHost;
    if (isPreferred && !m_preferredHost.empty()) {
        return m_preferredHost;
    }
    constexpr int choices = 4; // Two of them any VM: if all watchers lost the store, one that has not helps.
    auto choice = m_misses % choices;
    auto ofDomain = m_actions.watchersOfDomain();
    if (choice == 0 && !ofDomain.empty()) {
        return chooseFrom(ofDomain);
    }
    auto watchers = m_actions.watchers();
    if (choice <= 1 && !watchers.empty()) {
        return chooseFrom(watchers);
    }
    return chooseFrom(m_actions.reachableHosts());
}

// Returns a random host, another one than the last if there is one.
std::string freshness_exchange::chooseFrom(std::span<const std::string> hosts)
{
    if (hosts.empty()) {
        return {};
    }
    auto index = m_actions.random() % hosts.size();
    if (hosts[index] == m_lastHost) {
        index = (index + 1) % hosts.size();
    }
    return hosts[index];
}

void freshness_exchange::readStoreIfNeeded(time_point now)
{
    auto validUntil = m_freshness.validUntil();
    bool isNear = !m_freshness.currentAsOf() || validUntil - now < m_options.readMargin;
    if (!isNear || m_misses < m_options.minMissesToRead || now < m_nextRead) {
        return;
    }
    auto jitter = m_readInterval * static_cast<std::int64_t>(m_actions.random() % 1'000) / 2'000;
    m_nextRead = now + m_readInterval + jitter;
    m_readInterval = std::min(m_readInterval * 2, m_options.maxReadInterval);
    m_actions.readStore();
}

void freshness_exchange::updateValidity(time_point now)
{
    bool areValid = areKeysValid(now);
    if (std::exchange(m_areValid, areValid) != areValid) {
        auto spread
            = m_options.announcementSpread * static_cast<std::int64_t>(m_actions.reachableHosts().size());
        m_announceAt = now + (areValid ? milliseconds(0) : m_options.announcementDelay)
            + milliseconds(m_actions.random() % static_cast<std::uint64_t>(spread.count() + 1));
        m_actions.onValidityChanged(areValid, m_freshness.ageAt(now), m_freshness.source());
    }
    if (now >= m_announceAt && m_isAnnouncedStale != !areValid) {
        m_isAnnouncedStale = !areValid;
        m_actions.announce(m_isAnnouncedStale);
    }
}

}
