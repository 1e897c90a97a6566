#pragma once

// Sends requests through another entry VM, for a VM that has lost its own links to upstreams.
//
//     request_relay relay(io, { .port = peerPort, .source = ownAddress }, fields);
//     auto outcome = co_await relay.send(request, peers);
//     if (outcome.status == relay_status::answered)
//         deliver(std::move(outcome.response));
//
// A request takes one hop at most, as a VM relays only what its own callers sent. The VM that receives it
// either takes it over and returns its final response, or declines it unprocessed. Every sending has a name
// of its own, which the response repeats, so that a second copy of an earlier response is not taken for it. A
// connection to a peer whose build does not repeat the name carries one request only. Not thread safe; used
// from a single event loop.

#include "marlsill/gateway/connection_pool.h"
#include "marlsill/gateway/forwarder.h"
#include "marlsill/gateway/session_server.h"

#include <functional>
#include <set>
#include <span>
#include <string>

namespace marlsill::gateway {

// Settings of a request_relay.
struct request_relay_options {
    unsigned short port = 0; // TCP; the same on all VMs.
    asio::ip::address_v4 source; // This VM, by which peers know it.
    std::chrono::milliseconds connectTimeout { 300 }; // Far above a round trip between failure domains.
    std::chrono::milliseconds transitTime { 10 }; // Deducted from the timeout that the peer is given.
    std::chrono::milliseconds maxIdle { 1'500 }; // Of connections between VMs; far below the peer's limit.
    int maxPeersTried = 3; // Peers that cannot be reached or decline.
    std::size_t maxInFlight = 500;
    std::uint64_t maxResponseBytes = 8 * 1024 * 1024;
    buffer_budget* buffers = nullptr; // Of all responses that this VM is reading; null: not bounded.
};

// What became of a relayed request.
enum class relay_status {
    answered, // `response` is the peer's final response.
    notSent, // No peer has taken it; it has not run.
    unknown, // It was sent, and may have run.
};

struct relay_outcome {
    relay_status status = relay_status::notSent;
    http::response_message response;
};

// Returns whether a VM that has received a relayed request has declined it.
bool isDeclined(const http::response_message& response);

// Makes the response that declines a relayed request.
http::response_message makeDecliningReply(std::string_view why);

// Takes the relay's own header fields off a response that a peer has sent.
void removeRelayFields(http::response_message& response);

// Takes the relay's own header fields off a request that a peer has sent, and fills in what they say. Returns
// std::nullopt if one is missing or malformed, or the oldest configuration version that may route it.
std::optional<std::uint64_t> takeRelayFields(served_request& request);

// Removes the relay's own header fields from a request of a caller, who may not use them.
void removeRelayFields(Poco::Net::HTTPRequest& head);

// See the file comment.
class request_relay {
public:
    request_relay(asio::io_context& io, request_relay_options options, wire_fields wire)
        : m_io(io)
        , m_options(std::move(options))
        , m_wire(std::move(wire))
    {
    }

    // Sends a request to the first of `peers` that takes it. Ends early if the request is cancelled through
    // `current.relayConnection`.
    asio::awaitable<relay_outcome> send(
        std::shared_ptr<active_request> current, std::vector<std::string> peers);

    // Sets what is asked before each sending to a peer whether the request may still be started.
    void setStartCheck(std::function<bool(active_request&)> mayStart) { m_mayStart = std::move(mayStart); }

    // Gives up all requests that are at peers, as if their deadlines had passed.
    void expireRequests();

    // Closes connections that have been idle for long. Call a few times a second.
    void sweep();

private:
    std::string serialize(
        const active_request& current, const std::string& sending, steady_clock::time_point now) const;
    asio::awaitable<relay_outcome> tryPeers(
        std::shared_ptr<active_request> current, std::vector<std::string> peers);
    asio::awaitable<std::shared_ptr<upstream_connection>> connectTo(
        std::string peer, std::shared_ptr<active_request> current);

    asio::io_context& m_io;
    const request_relay_options m_options;
    const wire_fields m_wire;
    connection_pool m_pool;
    std::function<bool(active_request&)> m_mayStart = [](auto&) { return true; };
    std::set<active_request*> m_inFlight;
};

}
