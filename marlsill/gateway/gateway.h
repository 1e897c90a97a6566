#pragma once

// The request path of an entry VM: accepts callers' connections, routes their requests to upstreams, and
// drains before a planned stop.
//
//     gateway entry(io, options, wire);
//     entry.start();
//     entry.requestForwarder().setConfiguration(configuration);
//     ...
//     entry.beginStop(deadlineAfter(grace), [&] { io.stop(); });
//
// Not thread safe; used from a single event loop.

#include "marlsill/gateway/account_limiter.h"
#include "marlsill/gateway/forwarder.h"
#include "marlsill/gateway/request_relay.h"
#include "marlsill/gateway/session_server.h"

namespace marlsill::gateway {

// Settings of a gateway.
struct gateway_options {
    asio::ip::tcp::endpoint callerEndpoint;
    forwarder_options forwarding;
    std::chrono::milliseconds sweepInterval { 250 }; // Between checks for idle and stalled connections.
    // Of what is held for callers; it may take twice as much, see buffer_budget. A tenth of the memory of a
    // small VM.
    std::size_t maxCallerBuffers = 16 * 1024 * 1024;
    std::chrono::milliseconds minDrainTime { 2'500 }; // Callers cache directory responses for about as long.
};

// See the file comment.
class gateway {
public:
    gateway(asio::io_context& io, gateway_options options, wire_fields wire);

    // Binds the endpoint and starts to accept. Returns what failed, if anything did; it can be called again
    // then.
    boost::system::error_code start();

    // Returns whether requests can be routed and no stop has begun.
    bool isReady() const;

    // Marks the registered upstreams as known. Until then all requests are rejected.
    void setUpstreamsKnown() { m_knowsUpstreams = true; }

    bool isStopping() const { return m_exitDeadline.has_value(); }

    // Begins a planned stop. Requests that arrive or are in flight are finished and connections drained;
    // those that are unanswered at `exitDeadline` are given up. Calls `onDone` once `minDrainTime` has passed
    // and the VM is idle, at the latest when 250 ms have passed since they were given up. Later calls do
    // nothing.
    void beginStop(deadline exitDeadline, std::function<void()> onDone);

    // Sets how requests are relayed while this VM is cut off, and which peers may serve a host, in the order
    // of preference.
    void setRelay(
        request_relay& relay, std::function<std::vector<std::string>(const std::string& host)> peersFor)
    {
        m_relay = &relay;
        m_relay->setStartCheck([this](active_request& current) {
            return m_forwarder.hasAccess(current)
                && m_forwarder.mayStartDuringStop(current, steady_clock::now());
        });
        m_relayPeersFor = std::move(peersFor);
    }

    // Sets what tells whether the keys of the configuration in force may still be acted on; until then they
    // may always. See access_control::setFreshnessCheck().
    void setKeyFreshnessCheck(std::function<bool()> areKeysFresh)
    {
        m_forwarder.accessControl().setFreshnessCheck(std::move(areKeysFresh));
    }

    // Sets what limits the requests of client accounts; until then there are no limits. It must outlive the
    // gateway's use.
    void setAccountLimiter(account_limiter& limiter) { m_accountLimiter = &limiter; }

    // Serves a request that a peer relays, or declines it unprocessed.
    asio::awaitable<std::optional<http::response_message>> serveRelayed(
        std::shared_ptr<served_request> request);

    // Adds the server at which peers relay requests, which a planned stop then drains as it drains callers'
    // connections. It must exist while the gateway runs.
    void setRelayServer(session_server& server) { m_relayServer = &server; }

    forwarder& requestForwarder() { return m_forwarder; }
    session_server& callerServer() { return m_callerServer; }

    // The budget of what is held for callers, also those whose requests peers relay.
    buffer_budget& callerBuffers() { return m_callerBuffers; }

private:
    asio::awaitable<std::optional<http::response_message>> serve(std::shared_ptr<served_request> request);
    bool isBusy() const;
    asio::awaitable<std::optional<final_response>> forwardOrRelay(std::shared_ptr<active_request> current);
    asio::awaitable<std::optional<final_response>> forwardWithinLimit(
        std::shared_ptr<active_request> current);
    final_response refuseByLimit(const active_request& current, const limit_decision& decision);
    http::response_message withId(final_response response, const active_request& current) const;
    asio::awaitable<void> sweepLoop();
    asio::awaitable<void> drainLoop(std::function<void()> onDone);
    http::response_message makeUnroutedReply(const std::string& id, int status, std::string_view why);

    asio::io_context& m_io;
    const gateway_options m_options;
    forwarder m_forwarder;
    buffer_budget m_callerBuffers;
    session_server m_callerServer;
    request_relay* m_relay = nullptr;
    account_limiter* m_accountLimiter = nullptr;
    session_server* m_relayServer = nullptr;
    std::function<std::vector<std::string>(const std::string&)> m_relayPeersFor;
    bool m_isSweeping = false;
    std::optional<deadline> m_exitDeadline;
    bool m_knowsUpstreams = false;
};

}
