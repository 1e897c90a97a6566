#pragma once

// Accepts connections of callers, reads their requests, and writes each answer in its turn.
//
//     session_server server(io, { .endpoint = address, .limits = [&] { return currentLimits(); } }, serve);
//     server.start();
//     ...
//     server.beginDrain(); // Idle connections end; others end with their last answer.
//
// Requests of one connection are read ahead and served at the same time. Used by one event loop.

#include "marlsill/base/time.h"
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

// A request that was read from a caller.
struct served_request {
    http::request_message message;
    std::string caller; // IP number.
    steady_clock::time_point arrivedAt;
    std::function<void()> cancel; // Set by the one who serves it; called when the caller has gone.
};

// Serves one request. An empty result ends the caller's connection without an answer.
using serve_function
    = std::function<asio::awaitable<std::optional<http::response_message>>(std::shared_ptr<served_request>)>;

// Settings of a server.
struct session_server_options {
    asio::ip::tcp::endpoint endpoint;
    std::function<caller_limits()> limits; // In force for new requests.
    std::size_t maxConnections = 3'000;
};

class session_server;

// One caller's connection.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(session_server& server, asio::ip::tcp::socket socket);

    // Reads requests until the connection ends.
    asio::awaitable<void> run();

    // Ends a connection whose caller is idle or slow for too long.
    void enforceLimits(steady_clock::time_point now);

    // Asks the caller to close: at once if nothing is in work, else with the last answer.
    void beginDrain();

    bool isBusy() const { return !m_slots.empty() || m_isWriting; }

private:
    struct slot {
        std::shared_ptr<served_request> request;
        std::optional<http::response_message> answer;
        bool isEnd = false; // The connection ends with this answer.
    };

    asio::awaitable<void> serve(std::shared_ptr<slot> current);
    bool parseNext();
    asio::awaitable<bool> receive();
    asio::awaitable<void> writeOut();
    asio::awaitable<void> linger();
    void accept(http::request_message message);
    void answerOwn(int status, std::string_view why);
    void flush();
    void startWriting();
    void close();

    session_server& m_server;
    asio::ip::tcp::socket m_socket;
    std::string m_caller;
    std::string m_in;
    std::string m_out;
    http::request_parser m_parser;
    http::request_message m_message; // In work in the parser.
    std::deque<std::shared_ptr<slot>> m_slots;
    steady_clock::time_point m_lastUse;
    steady_clock::time_point m_requestStartedAt {}; // First byte of a request that is not whole yet.
    bool m_isReading = true;
    bool m_hasLastRequest = false; // What follows is read only to see the caller leave.
    bool m_isWriting = false;
    bool m_isDraining = false;
    bool m_isEnding = false; // The last answer is being written.
    bool m_isClosed = false;
};

class session_server {
public:
    session_server(asio::io_context& io, session_server_options options, serve_function serve);

    // Binds and starts to accept. Returns what is wrong, or an empty text.
    std::string start();

    // Ends idle connections and lets the others end with their answers; new ones are still served.
    void beginDrain();

    // Stops accepting.
    void stopAccepting();

    // Enforces the limits on slow and idle callers. Call a few times a second.
    void sweep();

    // Returns whether some request is in work or some answer is being written.
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
