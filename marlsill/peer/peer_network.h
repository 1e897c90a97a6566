#pragma once

// Authenticated links to other entry VMs, opened when needed, watched by heartbeats, replaced when stuck.
//
//     peer_network peers(options, onMessage, onLink);
//     peers.keepLinks({ "10.0.0.2:7000" });
//     peers.send("10.0.0.2:7000", config_announcement { 17 });
//     auto reply = peers.ask("10.0.0.2:7000", key_lookup_request { key, hash }, limit);

#include "marlsill/base/time.h"
#include "marlsill/peer/messages.h"
#include "marlsill/peer/session.h"
#include "marlsill/peer/transport.h"

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stop_token>
#include <string>
#include <vector>

namespace marlsill::peer {

// Options of a network.
struct peer_network_options {
    transport_address listen;
    std::string fleetKey;
    std::string incarnation;
    std::chrono::milliseconds heartbeat { 500 };
    int missedHeartbeats = 4; // After which a link counts as down.
    std::chrono::milliseconds idleLimit { 30'000 }; // For links that nobody asked to keep.
    std::size_t maxLinks = 256;
    std::size_t maxQueued = 256; // Messages for a link that is being opened.
};

// Takes a message on the network's thread and returns the reply, if the message wants one. It must be quick.
using message_function
    = std::function<std::optional<message>(const session_identity& from, const message& received)>;

// Learns on the network's thread that a link has come up, or that it is down or could not be opened. For a
// link that never came up, the incarnation is empty.
using link_function = std::function<void(const session_identity& remote, bool isUp)>;

// Counts since the start, for metrics.
struct peer_counts {
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::atomic<std::uint64_t> messagesSent = 0;
    std::atomic<std::uint64_t> dropped = 0;
    std::atomic<std::uint64_t> links = 0;
};

// All links of this process. send(), ask(), keepLinks() and setDropFilter() are thread safe.
class peer_network {
public:
    // Binds at once; check isBound().
    peer_network(peer_network_options options, message_function onMessage, link_function onLink);

    bool isBound() const { return m_transport.isBound(); }

    // Returns where this process listens, as ip:port.
    const std::string& address() const { return m_address; }

    // Serves until a stop is requested.
    void run(const std::stop_token& stop);

    // Sends a message, opening a link if there is none. It is lost when the link breaks.
    void send(const std::string& peerAddress, message body);

    // Sends a message and waits for its reply. Returns std::nullopt when none came by `limit`. Must not be
    // called on the network's thread.
    std::optional<message> ask(const std::string& peerAddress, message body, deadline limit);

    // Sends the same message to several peers and waits for all replies. Returns how many came by `limit`.
    std::size_t askAll(const std::vector<std::string>& peerAddresses, const message& body, deadline limit);

    // Names the links that are kept open and reopened when they break.
    void keepLinks(std::vector<std::string> peerAddresses);

    // For tests: makes messages to some addresses vanish, as a one-way partition does.
    void setDropFilter(std::function<bool(const std::string& peerAddress)> drops);

    const peer_counts& counts() const { return m_counts; }

private:
    struct link_state {
        link_state(session_role role, const peer_network& owner)
            : session(role, owner.m_options.fleetKey, { owner.m_options.incarnation, owner.m_address })
        {
        }

        peer::session session;
        std::string dialed; // The address that was connected to; empty for incoming links.
        std::vector<envelope> queued;
        steady_clock::time_point lastEcho;
        deadline nextHeartbeat;
        deadline openUntil; // Of the handshake.
        deadline idleUntil;
        std::uint64_t heartbeats = 0;
    };

    // A request on its way.
    struct started_request {
        std::uint64_t number = 0;
        std::future<std::optional<message>> reply;
    };

    struct pending_request {
        std::promise<std::optional<message>> reply;
        std::string peerAddress;
    };

    started_request startRequest(const std::string& peerAddress, message body);
    std::optional<message> finishRequest(started_request request, deadline limit);

    // The following run on the network's thread.
    void opened(link_id link, bool isOutgoing);
    void closed(link_id link);
    void received(link_id link, const std::string& payload);
    void handle(link_id link, link_state& state, envelope received);
    void ticked();
    void sendNow(const std::string& peerAddress, envelope sent);
    void transmit(link_id link, link_state& state, const envelope& sent);
    void heartbeatOn(link_id link, link_state& state, steady_clock::time_point now);
    void dial(const std::string& peerAddress, std::optional<envelope> first);
    link_state* openLinkTo(const std::string& peerAddress, link_id& link);
    bool isDropped(const std::string& peerAddress) const;
    bool isKept(const std::string& peerAddress) const;
    std::string addressOf(const link_state& state) const;
    void failRequestsTo(const std::string& peerAddress);

    const peer_network_options m_options;
    const message_function m_onMessage;
    const link_function m_onLink;
    transport m_transport;
    std::string m_address;
    peer_counts m_counts;

    // Used on the network's thread only.
    std::map<link_id, std::unique_ptr<link_state>> m_links;
    std::map<std::string, link_id> m_byAddress;
    std::map<std::string, deadline> m_redialAt;
    std::set<std::string> m_kept;
    std::function<bool(const std::string&)> m_dropsSending;

    std::mutex m_mutex; // Guards the pending requests.
    std::map<std::uint64_t, pending_request> m_pending;
    std::uint64_t m_nextRequest = 1;
};

}
