#include "marlsill/control/membership_driver.h"

#include "marlsill/base/hash.h"
#include "marlsill/events/events.h"

#include <algorithm>

namespace marlsill::control {

namespace {

    using membership::member_record;
    using membership::member_state;

    constexpr std::chrono::seconds inboundNeighbourTimeout { 60 }; // Since the peer's last digest.
    constexpr int maxSeedsContacted = 3;

    void logStateChange(const member_record& record)
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

membership_driver::membership_driver(member_record self, membership_options options,
    membership_callbacks callbacks, steady_clock::time_point now)
    : m_options(options)
    , m_callbacks(std::move(callbacks))
    , m_table(std::move(self), options.table, now)
    , m_random(fastHash(m_table.self().incarnation))
{
}

void membership_driver::addSeeds(const std::vector<std::string>& peerAddresses)
{
    int contacted = 0;
    for (const auto& each : peerAddresses) {
        if (contacted < maxSeedsContacted && each != m_table.self().peerAddress && !findByAddress(each)) {
            sendDigest(each, true);
            ++contacted;
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
    auto cooldown = m_suspicionCooldownUntil.find(record->incarnation);
    if (cooldown != m_suspicionCooldownUntil.end() && !hasPassed(cooldown->second, now)) {
        return;
    }
    m_suspicionCooldownUntil[record->incarnation] = now + m_options.suspicionCooldown;
    disseminate(m_table.suspect(record->incarnation, now), {});
}

void membership_driver::receive(
    const peer::session_identity& from, const peer::member_update& update, steady_clock::time_point now)
{
    disseminate(m_table.merge(update.records, now), from.peerAddress);
}

void membership_driver::receive(
    const peer::session_identity& from, const peer::member_digest& digest, steady_clock::time_point now)
{
    m_inboundNeighbours[from.peerAddress] = now + inboundNeighbourTimeout;
    auto records = m_table.recordsDifferingFrom(digest.buckets);
    if (!records.empty()) {
        m_callbacks.send(from.peerAddress, peer::member_update { std::move(records) });
    }
    if (digest.wantsReply) {
        sendDigest(from.peerAddress, false);
    }
}

void membership_driver::sendDigest(const std::string& peerAddress, bool wantsReply)
{
    m_callbacks.send(
        peerAddress, peer::member_digest { m_table.digest(), m_callbacks.appliedGeneration(), wantsReply });
}

void membership_driver::disseminate(
    const std::vector<member_record>& changes, const std::string& exceptAddress)
{
    if (changes.empty()) {
        return;
    }
    for (const auto& each : changes) {
        logStateChange(each);
    }
    refreshNeighbours();
    broadcast(peer::member_update { changes }, exceptAddress);
    m_callbacks.tableChanged();
}

void membership_driver::broadcast(const peer::message& body, const std::string& exceptAddress)
{
    std::set<std::string> targets(m_neighbours.begin(), m_neighbours.end());
    for (const auto& [address, until] : m_inboundNeighbours) {
        targets.insert(address);
    }
    targets.erase(exceptAddress);
    for (const auto& each : targets) {
        m_callbacks.send(each, body);
    }
}

void membership_driver::refreshNeighbours()
{
    auto next = membership::neighboursOf(m_table.self(), m_table.present());
    if (next != m_neighbours) {
        m_neighbours = std::move(next);
        m_callbacks.keepLinks(m_neighbours);
    }
}

void membership_driver::tick(steady_clock::time_point now)
{
    disseminate(m_table.expire(now), {});
    std::erase_if(m_inboundNeighbours, [now](const auto& item) { return hasPassed(item.second, now); });
    std::erase_if(m_suspicionCooldownUntil, [now](const auto& item) { return hasPassed(item.second, now); });
    if (hasPassed(m_nextDigestAt, now) && !m_neighbours.empty()) {
        m_nextDigestAt = now + m_options.digestInterval;
        sendDigest(m_neighbours[m_digestIndex++ % m_neighbours.size()], true);
    }
    if (hasPassed(m_nextGoneProbeAt, now)) {
        m_nextGoneProbeAt = now + m_options.goneProbeInterval;
        probeGoneMember();
    }
}

// After a partition heals, each side still has the other's VMs marked gone. A VM that receives this digest
// replies with its own, which leads to an exchange of records, and refutes the one that marks it gone.
void membership_driver::probeGoneMember()
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

void membership_driver::setOwnState(member_state state, const std::string& successor)
{
    disseminate(m_table.setOwnState(state, successor), {});
}

}
