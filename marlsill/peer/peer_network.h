#pragma once

// Authenticated links to other entry VMs. Links are opened on demand, monitored with heartbeats, and
// closed when the peer stops responding or they are idle.
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

// Options of a peer_network.
struct peer_network_options {
    transport_address listen;
    std::string fleetKey;
    std::string incarnation;
    std::chrono::milliseconds heartbeat { 500 };
    int maxMissedHeartbeats = 4; // A link is closed after this many heartbeat intervals without an echo.
    std::chrono::milliseconds idleTimeout { 30'000 }; // For links that are not in keepLinks().
    std::size_t maxLinks = 256;
    std::size_t maxQueuedPerLink = 256; // Messages queued per link that is being opened; more are dropped.
};

// Handles a received message and returns its reply, if any. Runs on the network's thread and must not block.
using message_function
    = std::function<std::optional<message>(const session_identity& from, const message& received)>;

// Called on the network's thread when a link has opened, has closed or could not be opened. In the last case
// the incarnation of `remote` is empty.
using link_function = std::function<void(const session_identity& remote, bool isUp)>;

// Counters since the start of the process, for metrics.
struct peer_counts {
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::atomic<std::uint64_t> messagesSent = 0;
    std::atomic<std::uint64_t> dropped = 0; // Received payloads that failed authentication or decoding.
    std::atomic<std::uint64_t> links = 0; // Current number of links.
};

// All links of this process. send(), ask(), askAll(), keepLinks() and setDropFilter() are thread safe.
class peer_network {
public:
    // Binds and starts to listen. Check isBound() before run().
    peer_network(peer_network_options options, message_function onMessage, link_function onLink);

    bool isBound() const { return m_transport.isBound(); }

    // Returns the address on which this process listens, as ip:port.
    const std::string& address() const { return m_address; }

    // Runs the event loop until a stop is requested.
    void run(const std::stop_token& stop);

    // Sends a message without waiting for a reply and opens a link if there is none. The message is lost if
    // the link fails.
    void send(const std::string& peerAddress, message body);

    // Sends a message and waits for its reply. Returns std::nullopt if the link fails or no reply arrives by
    // `limit`. Must not be called on the network's thread, which it would block.
    std::optional<message> ask(const std::string& peerAddress, message body, deadline limit);

    // Sends the same message to several peers and waits for their replies. Returns the number of replies that
    // arrived by `limit`. Must not be called on the network's thread.
    std::size_t askAll(const std::vector<std::string>& peerAddresses, const message& body, deadline limit);

    // Sets the peers to which links are kept open: they are opened, exempt from the idle timeout, and
    // reopened after a failure.
    void keepLinks(std::vector<std::string> peerAddresses);

    // For tests: simulates a one-way network partition by dropping messages to every address for which
    // `filter` returns true. An empty function drops none.
    void setDropFilter(std::function<bool(const std::string& peerAddress)> filter);

    const peer_counts& counts() const { return m_counts; }

private:
    struct link_state {
        link_state(session_role role, const peer_network& owner)
            : session(role, owner.m_options.fleetKey, { owner.m_options.incarnation, owner.m_address })
        {
        }

        peer::session session;
        std::string dialedAddress; // The address of an outgoing link; empty for incoming links.
        std::vector<envelope> queued; // To be sent when the link is open.
        steady_clock::time_point lastEcho;
        deadline nextHeartbeat;
        deadline handshakeDeadline;
        deadline idleDeadline;
        std::uint64_t lastHeartbeat = 0;
    };

    // A sent request and the future of its reply.
    struct sent_request {
        std::uint64_t number = 0;
        std::future<std::optional<message>> reply;
    };

    struct pending_request {
        std::promise<std::optional<message>> reply;
        std::string peerAddress;
    };

    sent_request startRequest(const std::string& peerAddress, message body);
    std::optional<message> awaitReply(sent_request request, deadline limit);

    // The following functions run on the network's thread.
    void opened(link_id link, bool isOutgoing);
    void closed(link_id link);
    void received(link_id link, const std::string& payload);
    void handleMessage(link_id link, link_state& state, envelope received);
    void ticked();
    void sendNow(const std::string& peerAddress, envelope sent);
    void sendOn(link_id link, link_state& state, const envelope& sent);
    void sendHeartbeatIfDue(link_id link, link_state& state, steady_clock::time_point now);
    void dial(const std::string& peerAddress, std::optional<envelope> first);
    link_state* openLinkTo(const std::string& peerAddress, link_id& link);
    bool isDropped(const std::string& peerAddress) const;
    bool isKept(const std::string& peerAddress) const;
    std::string remoteAddress(const link_state& state) const;
    void failRequestsTo(const std::string& peerAddress);

    const peer_network_options m_options;
    const message_function m_onMessage;
    const link_function m_onLink;
    transport m_transport;
    std::string m_address;
    peer_counts m_counts;

    // Accessed only on the network's thread.
    std::map<link_id, std::unique_ptr<link_state>> m_links;
    std::map<std::string, link_id> m_linkByAddress;
    std::map<std::string, deadline> m_nextDialAt;
    std::set<std::string> m_keptAddresses;
    std::function<bool(const std::string&)> m_dropFilter;

    std::mutex m_mutex; // Guards m_pendingRequests and m_nextRequestNumber.
    std::map<std::uint64_t, pending_request> m_pendingRequests;
    std::uint64_t m_nextRequestNumber = 1;
};

}
