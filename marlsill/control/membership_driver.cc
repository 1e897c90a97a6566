#include "marlsill/control/membership_driver.h"

#include "marlsill/base/hash.h"
#include "marlsill/events/events.h"

#include <algorithm>

namespace marlsill::control {

namespace {

    using membership::member_record;
    using membership::member_state;

    constexpr std::chrono::seconds chooserLength { 60 };
    constexpr int seedsAtOnce = 3;

    void logNews(const member_record& record)
    {
        std::initializer_list<event_field> fields { { "name", record.name },
            { "incarnation", record.incarnation } };
        switch (record.state) {
        case member_state::alive:
            return logEvent(event::memberJoined, fields);
        case member_state::suspected:
            return logEvent(event::memberSuspected, fields);
        case member_state::leaving:
            return logEvent(event::memberLeaving, fields);
        case member_state::gone:
            return logEvent(event::memberGone, fields);
        case member_state::joining:
            return;
        }
    }

}

membership_driver::membership_driver(
    member_record self, membership_options options, membership_actions actions, steady_clock::time_point now)
    : m_options(options)
    , m_actions(std::move(actions))
    , m_table(std::move(self), options.table, now)
    , m_random(fastHash(m_table.self().incarnation))
{
}

void membership_driver::addSeeds(const std::vector<std::string>& peerAddresses)
{
    int asked = 0;
    for (const auto& each : peerAddresses) {
        if (asked < seedsAtOnce && each != m_table.self().peerAddress && !findByAddress(each)) {
            sendDigest(each, true);
            ++asked;
        }
    }
}

const member_record* membership_driver::findByAddress(const std::string& peerAddress) const
{
    const member_record* newest = nullptr;
    for (const auto& each : m_table.present()) {
        if (each.peerAddress == peerAddress) {
            newest = m_table.find(each.incarnation);
        }
    }
    return newest;
}

void membership_driver::linkChanged(
    const peer::session_identity& remote, bool isUp, steady_clock::time_point now)
{
    if (isUp) {
        sendDigest(remote.peerAddress, true);
        return;
    }
    bool isNeighbour
        = std::find(m_neighbours.begin(), m_neighbours.end(), remote.peerAddress) != m_neighbours.end();
    const auto* record = findByAddress(remote.peerAddress);
    if (!isNeighbour || !record) {
        return;
    }
    auto again = m_suspectAgainAt.find(record->incarnation);
    if (again != m_suspectAgainAt.end() && !hasPassed(again->second, now)) {
        return;
    }
    m_suspectAgainAt[record->incarnation] = now + m_options.suspectAgainPause;
    spread(m_table.suspect(record->incarnation, now), {});
}

void membership_driver::receive(
    const peer::session_identity& from, const peer::member_update& update, steady_clock::time_point now)
{
    spread(m_table.merge(update.records, now), from.peerAddress);
}

void membership_driver::receive(
    const peer::session_identity& from, const peer::member_digest& digest, steady_clock::time_point now)
{
    m_choosers[from.peerAddress] = now + chooserLength;
    auto records = m_table.recordsDifferingFrom(digest.buckets);
    if (!records.empty()) {
        m_actions.send(from.peerAddress, peer::member_update { std::move(records) });
    }
    if (digest.wantsReply) {
        sendDigest(from.peerAddress, false);
    }
}

void membership_driver::sendDigest(const std::string& peerAddress, bool wantsReply)
{
    m_actions.send(peerAddress, peer::member_digest { m_table.digest(), m_actions.generation(), wantsReply });
}

void membership_driver::spread(const std::vector<member_record>& news, const std::string& exceptAddress)
{
    if (news.empty()) {
        return;
    }
    for (const auto& each : news) {
        logNews(each);
    }
    refreshNeighbours();
    broadcast(peer::member_update { news }, exceptAddress);
    m_actions.changed();
}

void membership_driver::broadcast(const peer::message& body, const std::string& exceptAddress)
{
    std::set<std::string> targets(m_neighbours.begin(), m_neighbours.end());
    for (const auto& [address, until] : m_choosers) {
        targets.insert(address);
    }
    targets.erase(exceptAddress);
    for (const auto& each : targets) {
        m_actions.send(each, body);
    }
}

void membership_driver::refreshNeighbours()
{
    auto next = membership::neighboursOf(m_table.self(), m_table.present());
    if (next != m_neighbours) {
        m_neighbours = std::move(next);
        m_actions.keepLinks(m_neighbours);
    }
}

void membership_driver::tick(steady_clock::time_point now)
{
    spread(m_table.expire(now), {});
    std::erase_if(m_choosers, [now](const auto& item) { return hasPassed(item.second, now); });
    std::erase_if(m_suspectAgainAt, [now](const auto& item) { return hasPassed(item.second, now); });
    if (hasPassed(m_nextDigest, now) && !m_neighbours.empty()) {
        m_nextDigest = now + m_options.digestPause;
        sendDigest(m_neighbours[m_digestTurn++ % m_neighbours.size()], true);
    }
    if (hasPassed(m_nextGone, now)) {
        m_nextGone = now + m_options.gonePause;
        tryGoneMember();
    }
}

// A VM that only seemed gone, because a partition lay between, is found again this way.
void membership_driver::tryGoneMember()
{
    auto records = m_table.all();
    std::erase_if(records, [this](const auto& record) {
        return record.state != member_state::gone || !record.successor.empty()
            || findByAddress(record.peerAddress);
    });
    if (!records.empty()) {
        sendDigest(records[m_random() % records.size()].peerAddress, true);
    }
}

void membership_driver::setSelf(member_state state, const std::string& successor)
{
    spread(m_table.setSelf(state, successor), {});
}

}
