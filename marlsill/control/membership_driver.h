#pragma once

// Runs the gossip-based membership protocol of one entry VM over its peer links.
//
//     membership_driver membership(self, options, callbacks, now);
//     membership.addSeeds(addresses);
//     membership.linkChanged(remote, true, now);
//     membership.tick(now);
//
// Changed records are broadcast at once. Periodic digests repair what a lost message left different: a peer
// replies to a digest with the records in the buckets that differ (anti-entropy). A neighbour whose link goes
// down is suspected.

#include "marlsill/base/time.h"
#include "marlsill/membership/member_table.h"
#include "marlsill/membership/overlay.h"
#include "marlsill/peer/messages.h"
#include "marlsill/peer/session.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace marlsill::control {

// The driver's callbacks, called on the control thread.
struct membership_callbacks {
    std::function<void(const std::string& peerAddress, peer::message)> send;
    std::function<void(std::vector<std::string> peerAddresses)> keepLinks; // Replaces the peers to link to.
    std::function<void()> tableChanged; // A record in the table has changed.
    std::function<std::int64_t()> appliedGeneration; // In force on this VM; sent in digests.
};

// Options of a membership driver.
struct membership_options {
    membership::member_options table;
    std::chrono::milliseconds digestInterval { 3'000 }; // Between digests, sent to the neighbours in turn.
    std::chrono::milliseconds goneProbeInterval { 2'000 }; // Between probes of VMs that are marked gone.
    std::chrono::milliseconds suspicionCooldown { 30'000 }; // Before the same VM is suspected again.
};

// The membership protocol of one entry VM. Not thread safe; the control thread owns it.
class membership_driver {
public:
    membership_driver(membership::member_record self, membership_options options,
        membership_callbacks callbacks, steady_clock::time_point now);

    // Sends a digest to a few of these addresses, leaving out known VMs, to learn the fleet's records from
    // their replies.
    void addSeeds(const std::vector<std::string>& peerAddresses);

    // Handles a change of a peer link: sends a digest when it has come up; when it has gone down, suspects
    // the peer if it is a neighbour that this VM chose.
    void linkChanged(const peer::session_identity& remote, bool isUp, steady_clock::time_point now);

    // Merges a peer's records and forwards those that changed the table.
    void receive(
        const peer::session_identity& from, const peer::member_update& update, steady_clock::time_point now);

    // Replies to a digest with the records that differ and, if the peer asks for it, with this VM's digest.
    void receive(
        const peer::session_identity& from, const peer::member_digest& digest, steady_clock::time_point now);

    // Expires records and sends the digests and probes that are due. Called about every 100 ms.
    void tick(steady_clock::time_point now);

    // Changes this VM's own state and broadcasts its record.
    void setOwnState(membership::member_state state, const std::string& successor = {});

    // Sends a message to all neighbours but the one at `exceptAddress`: those that this VM chose and those
    // that chose it.
    void broadcast(const peer::message& body, const std::string& exceptAddress = {});

    const membership::member_table& table() const { return m_table; }

private:
    // Logs changed records, updates the neighbours and broadcasts the records; does nothing if there are
    // none.
    void disseminate(const std::vector<membership::member_record>& changes, const std::string& exceptAddress);
    void refreshNeighbours();
    void sendDigest(const std::string& peerAddress, bool wantsReply);
    void probeGoneMember();
    const membership::member_record* findByAddress(const std::string& peerAddress) const;

    const membership_options m_options;
    const membership_callbacks m_callbacks;
    membership::member_table m_table;
    std::vector<std::string> m_neighbours; // Peer addresses that this VM chose.
    std::map<std::string, deadline> m_inboundNeighbours; // Peers that sent a digest recently, by address.
    std::map<std::string, deadline> m_suspicionCooldownUntil; // By incarnation.
    deadline m_nextDigestAt;
    deadline m_nextGoneProbeAt;
    std::size_t m_digestIndex = 0;
    std::mt19937_64 m_random;
};

}
