#pragma once

// One connection to an upstream, which carries one request at a time.
//
//     auto link = std::make_shared<upstream_connection>(io, endpoint);
//     if (co_await link->open(limit)) {
//         auto result = co_await link->exchange(bytes, { .isHead = false, .matchesRequest = matchesRequest },
//         limit);
//     }
//
// Every wait ends at its deadline or with abort(). Used by one event loop.

#include "marlsill/base/time.h"
#include "marlsill/http/message_parser.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace marlsill::gateway {

namespace asio = boost::asio;

// How an exchange ended.
enum class exchange_status {
    completed, // A whole answer.
    closed, // The connection ended before the first byte of an answer.
    broken, // The answer was cut or malformed.
    timedOut,
    aborted,
};

// What is to be read.
struct exchange_options {
    bool isHead = false; // The answer has no body.
    // Returns whether an answer belongs to the request in work; others are passed over.
    std::function<bool(const http::response_message&)> matchesRequest;
    http::read_limits limits;
};

// The result of an exchange.
struct exchange_result {
    exchange_status status = exchange_status::broken;
    http::response_message response;
    int skippedAnswers = 0; // Late answers to earlier requests.
};

// See the file comment.
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
public:
    upstream_connection(asio::io_context& io, const asio::ip::tcp::endpoint& upstream);

    // Connects. Returns false on refusal, at the deadline, or after abort().
    asio::awaitable<bool> open(deadline limit);

    // Sends `bytes` and reads the answer.
    asio::awaitable<exchange_result> exchange(std::string bytes, exchange_options options, deadline limit);

    // Ends the connection and whatever waits on it.
    void abort();

    // Returns whether the connection can carry another request.
    bool isReusable() const { return m_isReusable && m_socket.is_open(); }

    // Returns whether nothing has arrived and the other side has not closed.
    bool hasNoPendingInput();

    // Calls `onEnd` when the idle connection is closed by the other side or receives bytes.
    void watchIdle(std::function<void(upstream_connection&)> onEnd);

    // Ends watchIdle() without a call.
    void stopWatching();

    bool hasCarriedRequest() const { return m_exchanges > 0; }
    steady_clock::time_point idleSince() const { return m_idleSince; }

    // Until when the upstream says that it keeps the idle connection.
    deadline keepAliveUntil() const { return m_keptUntil; }

private:
    void armTimer(deadline limit);
    void readKeepAlive(const http::response_message& answer);
    asio::awaitable<void> writeRest();
    asio::awaitable<bool> receive();

    asio::io_context& m_io;
    asio::ip::tcp::endpoint m_upstream;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::string m_out;
    std::string m_in;
    bool m_isTimedOut = false;
    bool m_isAborted = false;
    bool m_isEnd = false; // The other side has closed in an orderly way.
    bool m_isReusable = false;
    bool m_isWriting = false;
    int m_exchanges = 0;
    std::uint64_t m_watch = 0;
    steady_clock::time_point m_idleSince {};
    deadline m_keptUntil {};
};

}
