#pragma once

// An HTTP/1.1 server for callers' connections, with pipelining.
//
//     session_server server(io, { .endpoint = address, .limits = [&] { return currentLimits(); } }, serve);
//     server.start();
//     ...
//     server.beginDrain(); // Closes idle connections now and others after their last response.
//
// Pipelined requests of one connection are served concurrently; their responses are written in order. Not
// thread safe; used from a single event loop.

#include "marlsill/base/time.h"
#include "marlsill/gateway/buffer_budget.h"
#include "marlsill/gateway/configuration.h"
#include "marlsill/http/message_parser.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace marlsill::gateway {

namespace asio = boost::asio;

// A request read from a caller's connection.
struct served_request {
    http::request_message message;
    std::string caller; // IP address.
    steady_clock::time_point arrivedAt; // At this VM's socket.
    bool isRelayed = false; // Sent by a peer for one of its callers, which `caller` names.
    int earlierArrivals = 0; // At upstreams, from that peer.
    bool isCounted = false; // That peer has counted the request in the retry budget.
    std::optional<accounts::key_digest> relayedKey; // Of the key that the peer has taken off the request.
    std::function<void()> cancel; // Set by the handler; called when the caller disconnects.
};

// Handles one request. An empty result closes the caller's connection without a response.
using serve_function
    = std::function<asio::awaitable<std::optional<http::response_message>>(std::shared_ptr<served_request>)>;

// Settings of a server.
struct session_server_options {
    asio::ip::tcp::endpoint endpoint;
    std::function<caller_limits()> limits; // Read for each request and each sweep.
    std::size_t maxConnections = 3'000; // Further ones are closed at once.
    // Of what is held for all callers: requests that arrive or are being served, and responses that are not
    // sent yet. May be null; must outlive the server.
    buffer_budget* buffers = nullptr;
    // Header field whose value each response repeats from its request, also where the server itself responds;
    // empty: none.
    std::string repeatedField;
};

class session_server;

// What a drain does with connections that carry no request.
enum class idle_connections {
    close,
    keep, // For peers, which stop using them by themselves; a close could cross a request.
};

// One caller's connection.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(session_server& server, asio::ip::tcp::socket socket);

    // Starts to read and dispatch requests, until the connection closes.
    void start();

    // Closes the connection if the caller is idle or sends a header too slowly.
    void enforceTimeouts(steady_clock::time_point now);

    // Closes the connection after its last response; if it is idle, at once or, if `idle` says so, only with
    // the response to a later request. A request that waits in the socket is served.
    void beginDrain(idle_connections idle = idle_connections::close);

    // Responds to a request of which a part has arrived as if it had come too late in a planned stop.
    void refuseUnfinished();

    // Returns whether a request is in flight or a response is being written.
    bool isBusy() const { return !m_pipeline.empty() || m_isWriting; }

    // Returns whether a request has arrived in part.
    bool isReceiving() const { return m_requestStartedAt != steady_clock::time_point {} && !m_isClosing; }

private:
    friend class session_server;

    // A request whose response has not been written yet.
    struct pending_request {
        std::shared_ptr<served_request> request; // Null for a request that could not be parsed.
        std::optional<http::response_message> response;
        std::string repeatedValue; // See session_server_options::repeatedField.
        bool closesConnection = false; // The connection closes after this response.
        bool isRefused = false; // There is no memory left for it.
        std::size_t bytes = 0; // Held for it.
    };

    // Runs a coroutine of this session, which lives until it ends. An exception closes the connection.
    void spawn(std::function<asio::awaitable<void>()> start);
    asio::awaitable<void> run();
    asio::awaitable<void> serve(std::shared_ptr<pending_request> current);
    bool parseNext();
    asio::awaitable<bool> receive();
    asio::awaitable<void> writePending();
    asio::awaitable<void> lingerAndClose();
    void acceptRequest(http::request_message message);
    std::string repeatedValueOf(const http::request_message& message) const;
    void sendLocalReply(int status, std::string_view why);
    void sendLocalReply(http::response_message response, std::string_view why);
    std::size_t unsentBytes() const { return m_writeBuffer.size() + m_sendingBytes; }
    bool updateHeldBytes();
    void refusePartialRequest();
    void discardUnparsed();
    bool hasUnreadInput();
    void resumeReading();
    void flushReadyResponses();
    void startWriting();
    void close();

    session_server& m_server;
    asio::ip::tcp::socket m_socket;
    std::string m_caller;
    std::string m_readBuffer;
    std::string m_writeBuffer;
    std::size_t m_sendingBytes = 0; // Of the write under way.
    std::size_t m_discardedBytes = 0; // After the final request.
    std::optional<buffer_budget::share> m_held; // While this connection holds any bytes.
    http::request_parser m_parser;
    http::request_message m_partialMessage; // The request being parsed.
    std::deque<std::shared_ptr<pending_request>> m_pipeline;
    steady_clock::time_point m_lastActivity;
    steady_clock::time_point m_requestStartedAt {}; // First byte of an incomplete request.
    bool m_isReading = true;
    bool m_hasFinalRequest = false; // Later bytes are read only to notice a disconnect.
    bool m_isWriting = false;
    bool m_isPaused = false; // Reads no further requests until responses have been sent.
    bool m_isDraining = false;
    bool m_isClosing = false; // The last response is being written.
    bool m_isClosed = false;
};

// See the file comment.
class session_server {
public:
    session_server(asio::io_context& io, session_server_options options, serve_function serve);
    ~session_server();

    // Binds the endpoint and starts to accept. Returns what failed, if anything did; it can be called again
    // then. Nothing happens if it has started already.
    boost::system::error_code start();

    // Closes idle connections now and others after their last response. New connections are accepted
    // until stopAccepting(), and also close after their last response.
    void beginDrain(idle_connections idle = idle_connections::close);

    // Responds with 503 to all requests of which only a part has arrived.
    void refuseUnfinished();

    // Stops accepting.
    void stopAccepting();

    // Enforces the timeouts on slow and idle callers. Call a few times a second.
    void sweep();

    // Returns whether any request is arriving or in flight, or any response is being written.
    bool isBusy() const;

    std::size_t connections() const { return m_sessions.size(); }

private:
    friend class caller_session;

    asio::awaitable<void> acceptLoop();

    asio::io_context& m_io;
    const session_server_options m_options;
    const serve_function m_serve;
    asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<caller_session>> m_sessions;
    bool m_isDraining = false;
};

}
