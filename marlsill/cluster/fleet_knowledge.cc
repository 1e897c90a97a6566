#include "marlsill/cluster/fleet_knowledge.h"

#include "marlsill/base/hash.h"
#include "marlsill/routing/serving_set.h"

#include <algorithm>
#include <utility>

namespace marlsill::cluster {

namespace {

    constexpr std::string_view electionKey = "store-watchers";

    double scoreOf(const member& each)
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

bool fleet_knowledge::isElected(const member& candidate, const std::vector<member>& records) const
{
    std::set<std::string_view> domains;
    std::size_t better = 0;
    for (const auto& each : records) {
        if (each.state == member_state::leaving) {
            continue;
        }
        domains.insert(each.failureDomain);
        bool isRival = each.failureDomain == candidate.failureDomain && each.host != candidate.host;
        better += isRival && scoreOf(each) > scoreOf(candidate) ? 1 : 0;
    }
    auto perDomain = domains.size() >= m_options.minWatchers ? 1 : m_options.minWatchers;
    return candidate.state != member_state::leaving && better < perDomain;
}

bool fleet_knowledge::isElected() const { return isElected(m_members.self(), m_members.records()); }

// Returns whom a watcher tells: its own failure domain and the watchers of the others.
std::vector<std::string> fleet_knowledge::audience() const
{
    auto records = m_members.records();
    std::vector<std::string> hosts;
    for (const auto& each : records) {
        bool isNear = each.failureDomain == m_members.self().failureDomain;
        if (each.host != m_members.self().host && (isNear || isElected(each, records))) {
            hosts.push_back(each.host);
        }
    }
    return hosts;
}

knowledge_stamp fleet_knowledge::stamp(steady_clock::time_point now) const
{
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - contactAt()).count();
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
    m_actions.takeConfiguration(m_configuration, m_configurationVersion);
    announceConfiguration();
}

void fleet_knowledge::announceConfiguration()
{
    if (!isElected()) {
        return;
    }
    for (const auto& host : audience()) {
        sendConfiguration(host);
    }
}

void fleet_knowledge::setUpstreams(std::vector<placement::upstream_entry> entries, std::uint64_t storeVersion)
{
    m_storeVersion = std::max(m_storeVersion, storeVersion);
    auto digest = digestOf(entries);
    if (digest == m_upstreamDigest) {
        return;
    }
    auto before = std::exchange(m_upstreams, {});
    auto digestBefore = m_upstreamDigest;
    use(std::move(entries), digest);
    announceChange(before, digestBefore);
}

// Puts a list to use. Doubtful entries are used only where they were before.
void fleet_knowledge::use(std::vector<placement::upstream_entry> entries, std::uint64_t digest)
{
    std::vector<placement::upstream_entry> used;
    for (const auto& each : entries) {
        if (!each.isUnconfirmed || m_used.contains(each.id)) {
            used.push_back(each);
        }
    }
    m_used.clear();
    for (const auto& each : used) {
        m_used.insert(each.id);
    }
    m_upstreams = std::move(entries);
    m_upstreamDigest = digest;
    m_actions.takeUpstreams(used);
}

// Tells the others what differs from the list before, in steps that fit a datagram.
void fleet_knowledge::announceChange(
    const std::vector<placement::upstream_entry>& before, std::uint64_t digestBefore)
{
    if (!isElected()) {
        return;
    }
    std::map<std::string, placement::upstream_entry> step;
    for (const auto& each : before) {
        step[each.id] = each;
    }
    std::map<std::string, placement::upstream_entry> after;
    for (const auto& each : m_upstreams) {
        after[each.id] = each;
    }
    std::vector<peer_message> messages(1);
    auto room = [&]() -> peer_message& {
        if (messages.back().upstreams.size() + messages.back().removed.size()
            >= m_options.entriesPerDatagram) {
            closeStep(messages.back(), step, digestBefore);
            messages.emplace_back();
        }
        return messages.back();
    };
    for (const auto& each : before) {
        if (!after.contains(each.id)) {
            room().removed.push_back(each.id);
            step.erase(each.id);
        }
    }
    for (const auto& [id, each] : after) {
        auto found = step.find(id);
        if (found == step.end() || !(found->second == each)) {
            room().upstreams.push_back(each);
            step[id] = each;
        }
    }
    closeStep(messages.back(), step, digestBefore);
    for (const auto& host : audience()) {
        for (const auto& message : messages) {
            m_actions.send(host, message);
        }
    }
}

// Completes one step: it leads from the list of `digestBefore`, which moves on, to `reached`.
void fleet_knowledge::closeStep(peer_message& message,
    const std::map<std::string, placement::upstream_entry>& reached, std::uint64_t& digestBefore) const
{
    std::vector<placement::upstream_entry> entries;
    for (const auto& [id, each] : reached) {
        entries.push_back(each);
    }
    message.isChange = true;
    message.baseDigest = digestBefore;
    message.stamp = stamp(steady_clock::now());
    message.stamp->upstreamDigest = digestOf(entries);
    digestBefore = message.stamp->upstreamDigest;
}

void fleet_knowledge::sendConfiguration(const std::string& host)
{
    if (m_configuration.empty() || m_configuration.size() > m_options.maxConfigurationBytes) {
        return;
    }
    peer_message message;
    message.configuration = m_configuration;
    message.configurationVersion = m_configurationVersion;
    m_actions.send(host, std::move(message));
}

void fleet_knowledge::sendUpstreams(const std::string& host, steady_clock::time_point now)
{
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
    if (message.wantsConfiguration) {
        sendConfiguration(message.sender);
    }
    if (message.wantsUpstreams) {
        sendUpstreams(message.sender, now);
    }
    if (!message.configuration.empty() && message.configurationVersion > m_configurationVersion) {
        setConfiguration(message.configuration, message.configurationVersion);
    }
    if (message.stamp) {
        takeUpstreams(message, now);
        takeStamp(message, now);
    }
}

// Takes a change of the list that is known, or collects the parts of a whole one, until its digest is right.
void fleet_knowledge::takeUpstreams(const peer_message& message, steady_clock::time_point now)
{
    const auto& stamp = *message.stamp;
    bool isChange = message.isChange;
    // Who reads the store itself believes others only where they are ahead.
    bool isReader = m_isWatching && now - m_contactAt <= m_options.maxContactAge;
    bool isOld = stamp.storeVersion < m_storeVersion + (isReader ? 1 : 0)
        || stamp.upstreamDigest == m_upstreamDigest;
    bool isOfOtherList = isChange && message.baseDigest != m_upstreamDigest;
    if (isOld || isOfOtherList || (message.upstreams.empty() && !isChange)) {
        return;
    }
    std::map<std::string, placement::upstream_entry> change;
    if (isChange) {
        for (const auto& each : m_upstreams) {
            change[each.id] = each;
        }
        for (const auto& id : message.removed) {
            change.erase(id);
        }
    } else if (m_partialDigest != stamp.upstreamDigest) {
        m_partial.clear();
        m_partialDigest = stamp.upstreamDigest;
    }
    auto& parts = isChange ? change : m_partial;
    for (const auto& each : message.upstreams) {
        parts[each.id] = each;
    }
    std::vector<placement::upstream_entry> entries;
    for (const auto& [id, each] : parts) {
        entries.push_back(each);
    }
    if (digestOf(entries) != stamp.upstreamDigest) {
        return;
    }
    m_partial.clear();
    setUpstreams(std::move(entries), stamp.storeVersion);
}

void fleet_knowledge::takeStamp(const peer_message& message, steady_clock::time_point now)
{
    const auto& stamp = *message.stamp;
    peer_message question;
    question.wantsConfiguration = stamp.configurationVersion > m_configurationVersion;
    question.wantsUpstreams
        = stamp.storeVersion >= m_storeVersion && stamp.upstreamDigest != m_upstreamDigest;
    if (!message.isBeacon) {
        return;
    }
    auto age = std::chrono::milliseconds(stamp.contactAgeMs);
    m_relayedContactAt = std::max(m_relayedContactAt, now - age);
    bool isBehind = question.wantsConfiguration || question.wantsUpstreams;
    if (!isBehind) {
        m_behindSince.reset();
    } else if (!m_behindSince) {
        m_behindSince = now;
    }
    // An answer that is on its way is not asked for again with every beacon.
    if (isBehind && hasPassed(m_nextQuestion, now)) {
        m_nextQuestion = now + m_options.questionPause;
        m_actions.send(message.sender, std::move(question));
    }
    bool isStuck = m_behindSince && now - *m_behindSince > m_options.behindLimit;
    if (age <= m_options.maxContactAge && !isStuck) {
        if (now - m_freshBeaconAt > m_options.patience) {
            m_freshSince = now;
        }
        m_freshBeaconAt = now;
    }
}

void fleet_knowledge::tick(steady_clock::time_point now)
{
    if (now - m_startedAt < m_options.electionWait) {
        return;
    }
    bool isBeaconFresh = now - m_freshBeaconAt <= m_options.patience;
    bool isSettled = isBeaconFresh && now - m_freshSince >= m_options.settleTime;
    bool elected = isElected();
    bool isAlone = !isBeaconFresh && now - m_startedAt >= m_options.startWait;
    if (elected || isAlone) {
        setWatching(true);
    } else if (isSettled) {
        setWatching(false);
    }
    bool hasContact = now - contactAt() <= m_options.maxContactAge;
    if (!elected || !hasContact) {
        return;
    }
    peer_message beacon;
    beacon.isBeacon = true;
    beacon.stamp = stamp(now);
    for (const auto& host : audience()) {
        m_actions.send(host, beacon);
    }
}

void fleet_knowledge::setWatching(bool isWatching)
{
    if (m_isWatching != isWatching) {
        m_isWatching = isWatching;
        std::vector<placement::upstream_entry> known;
        for (const auto& each : m_upstreams) {
            if (m_used.contains(each.id)) {
                known.push_back(each);
            }
        }
        m_actions.watchStore(isWatching, known);
    }
}

}
