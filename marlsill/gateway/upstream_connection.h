#pragma once

// An HTTP/1.1 client connection to an upstream that carries one request at a time.
//
//     auto connection = std::make_shared<upstream_connection>(io, endpoint);
//     if (co_await connection->open(limit)) {
//         auto result = co_await connection->exchange(bytes, { .matchesRequest = matches }, limit);
//     }
//
// Every operation ends at its deadline or with abort(). Not thread safe; used from a single event loop.

#include "marlsill/base/time.h"
#include "marlsill/gateway/buffer_budget.h"
#include "marlsill/http/message_parser.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::gateway {

namespace asio = boost::asio;

// How an exchange ended.
enum class exchange_status {
    completed, // A complete response was read.
    closed, // The connection closed before the first byte of a response.
    broken, // The response was truncated or malformed.
    timedOut,
    aborted,
};

// How to read the response of an exchange.
struct exchange_options {
    bool isHead = false; // The request is a HEAD request, so the response has no body.
    // Returns whether a response belongs to the current request. Others are skipped.
    std::function<bool(const http::response_message&)> matchesRequest;
    // Called when the head of a response has been read, also of those that are skipped. May be empty.
    std::function<void(const Poco::Net::HTTPResponse&)> onHead;
    http::read_limits limits;
    std::uint64_t requestHash = 0; // Of the request's id; 0: it has none.
    int maxSkippedResponses = 4; // An upstream that sends more is not answering this request.
    buffer_budget* buffers = nullptr; // Of all responses that are being read; may be null.
};

// The result of an exchange. `response` is complete only if `status` is `completed`; otherwise it has no
// body, and a head only as far as that was read.
struct exchange_result {
    exchange_status status = exchange_status::broken;
    http::response_message response;
    int skippedResponses = 0; // Late responses to earlier requests.
    std::string_view failure; // Why the response was given up; empty if it was not.
};

// See the file comment.
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
public:
    // The system chooses the source address unless `source` names one.
    upstream_connection(asio::io_context& io, const asio::ip::tcp::endpoint& upstream,
        const asio::ip::address_v4& source = {});

    // Connects. Returns false on refusal, at the deadline, or after abort().
    asio::awaitable<bool> open(deadline limit);

    // Sends `bytes`, a serialized request, and reads the response. Sends nothing once `limit` has passed.
    // Closes the connection unless it can be reused.
    asio::awaitable<exchange_result> exchange(std::string bytes, exchange_options options, deadline limit);

    // Closes the connection and ends its pending operations.
    void abort();

    // Returns whether the connection can carry another request.
    bool isReusable() const { return m_isReusable && m_socket.is_open(); }

    // Returns whether the connection is open in both directions and no unread bytes have arrived.
    bool hasNoPendingInput();

    // Calls `onEnd` when the upstream closes the idle connection or sends bytes on it.
    void watchIdle(std::function<void(upstream_connection&)> onEnd);

    // Cancels watchIdle() without calling `onEnd`.
    void stopWatching();

    bool hasCarriedRequest() const { return m_exchangeCount > 0; }

    // Returns whether one of the last requests on this connection had an id with this hash. A second copy of
    // its response would be taken for the response to a request with the same id.
    bool hasCarried(std::uint64_t requestHash) const;

    // Returns whether the first request on this connection was a HEAD request. A second copy of a response to
    // one is framed unlike a response to any other method, so that a connection carries only one kind.
    bool isForHead() const { return m_isForHead; }

    steady_clock::time_point idleSince() const { return m_idleSince; }

    // Returns when to stop reusing the idle connection, which is shortly before the upstream closes it.
    deadline keepAliveUntil() const { return m_keepAliveUntil; }

private:
    void armTimer(deadline limit);
    void updateKeepAlive(const http::response_message& response);
    asio::awaitable<void> writeRemaining();
    asio::awaitable<bool> receive();

    asio::io_context& m_io;
    asio::ip::tcp::endpoint m_upstream;
    asio::ip::address_v4 m_source; // Unspecified: the system chooses.
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::string m_writeBuffer;
    std::string m_readBuffer;
    bool m_isTimedOut = false;
    bool m_isAborted = false;
    bool m_isEof = false; // A read has seen the end of the stream.
    bool m_isReset = false; // A write has failed before the upstream had closed its sending side.
    bool m_isReusable = false;
    bool m_isWriting = false;
    int m_exchangeCount = 0;
    bool m_isForHead = false;
    std::vector<std::uint64_t> m_recentRequests; // Hashes of their ids; a ring of limited size.
    std::uint64_t m_watchGeneration = 0;
    steady_clock::time_point m_idleSince {};
    deadline m_keepAliveUntil {};
};

}
