#pragma once

// The request path of an entry VM on one event loop: its callers' connections, its routes, and its planned
// stop.
//
//     gateway entry(io, options, wire);
//     entry.start();
//     entry.requestForwarder().setConfiguration(configuration);
//     ...
//     entry.beginStop(deadlineAfter(grace), [&] { io.stop(); });

#include "marlsill/gateway/forwarder.h"
#include "marlsill/gateway/session_server.h"

namespace marlsill::gateway {

// Settings of a gateway.
struct gateway_options {
    asio::ip::tcp::endpoint callerEndpoint;
    forwarder_options forwarding;
    std::chrono::milliseconds sweepPause { 250 }; // Idle and stalled connections are found this much late.
    std::chrono::milliseconds moveAwayTime {
        2'500
    }; // Callers keep an answer of the directory about this long.
};

class gateway {
public:
    gateway(asio::io_context& io, gateway_options options, wire_fields wire);

    // Binds and starts. Returns what is wrong, or an empty text.
    std::string start();

    // Returns whether requests can be routed and no stop has begun.
    bool isReady() const;

    // Tells that the registered upstreams are known.
    void setUpstreamsKnown() { m_knowsUpstreams = true; }

    bool isStopping() const { return m_exitAt.has_value(); }

    // Begins a planned stop that ends by `exitAt`: what is in work is finished, callers are asked to move,
    // and `onDone` is called once nothing is left or the time is over.
    void beginStop(deadline exitAt, std::function<void()> onDone);

    forwarder& requestForwarder() { return m_forwarder; }
    session_server& callers() { return m_callers; }

private:
    asio::awaitable<std::optional<http::response_message>> serve(std::shared_ptr<served_request> request);
    asio::awaitable<void> sweepLoop();
    asio::awaitable<void> stopLoop(std::function<void()> onDone);
    http::response_message notRouted(const served_request& request, int status, std::string_view why);
    bool canFinish(const route& routed, steady_clock::time_point now);

    asio::io_context& m_io;
    const gateway_options m_options;
    forwarder m_forwarder;
    session_server m_callers;
    std::optional<deadline> m_exitAt;
    bool m_knowsUpstreams = false;
};

}
