#include "marlsill/gateway/upstream_connection.h"

#include "marlsill/base/socket_options.h"

#include <Poco/String.h>
#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <limits>
#include <sys/socket.h>
#include <utility>

namespace marlsill::gateway {

namespace {

    constexpr std::size_t readChunkSize = 16 * 1024; // Bytes.
    constexpr std::chrono::milliseconds deadPeerTimeout { 1'500 }; // Several round trips and one lost packet.
    constexpr std::chrono::milliseconds defaultKeepAlive { 4'000 }; // Below the common server default of 5 s.
    constexpr std::size_t maxRecentRequests = 64; // Copies of responses come within a few requests.
    constexpr std::chrono::milliseconds keepAliveMargin { 1'000 }; // Keep-Alive has a resolution of 1 s.

    // Returns the timeout of a Keep-Alive field such as "timeout=5, max=100" in seconds, or 0 if there is
    // none.
    int keepAliveSeconds(const std::string& field)
    {
        auto start = field.find("timeout=");
        int seconds = 0;
        if (start != std::string::npos) {
            auto digits = std::string_view(field).substr(start + 8);
            std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        }
        return seconds;
    }

}

upstream_connection::upstream_connection(
    asio::io_context& io, const asio::ip::tcp::endpoint& upstream, const asio::ip::address_v4& source)
    : m_io(io)
    , m_upstream(upstream)
    , m_source(source)
    , m_socket(io)
    , m_timer(io)
{
}

void upstream_connection::armTimer(deadline limit)
{
    m_timer.expires_at(limit);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && self->m_timer.expiry() <= steady_clock::now()) {
            self->m_isTimedOut = true;
            boost::system::error_code ignored;
            self->m_socket.close(ignored);
        }
    });
}

asio::awaitable<bool> upstream_connection::open(deadline limit)
{
    auto self = shared_from_this();
    boost::system::error_code error;
    m_socket.open(m_upstream.protocol(), error);
    if (error) {
        co_return false;
    }
    if (!m_source.is_unspecified()) {
        bindToAnyPort(m_socket.native_handle()); // A port is chosen with the connect.
        m_socket.set_option(asio::socket_base::reuse_address(true), error);
        m_socket.bind({ m_source, 0 }, error);
        if (error) {
            abort();
            co_return false;
        }
    }
    armTimer(limit);
    co_await m_socket.async_connect(m_upstream, asio::redirect_error(asio::use_awaitable, error));
    m_timer.cancel();
    // A process that was stopped may see that the connect has succeeded before it sees that the time is over.
    if (error || m_isTimedOut || m_isAborted || hasPassed(limit, steady_clock::now())) {
        abort();
        co_return false;
    }
    m_socket.non_blocking(true, error);
    setNoDelay(m_socket.native_handle());
    detectDeadPeer(m_socket.native_handle(), deadPeerTimeout);
    co_return !error;
}

// The system reports the reset of a connection only once, to whichever call comes first; a later read then
// sees the end of the stream. What a write is told is therefore kept, before any other call on the socket.
asio::awaitable<void> upstream_connection::writeRemaining()
{
    auto self = shared_from_this();
    std::size_t sent = 0;
    while (sent < m_writeBuffer.size()) {
        boost::system::error_code error;
        co_await m_socket.async_wait(
            asio::ip::tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        sent += m_socket.write_some(asio::buffer(m_writeBuffer) + sent, error);
        if (error && error != asio::error::would_block) {
            // Only a reset that follows the end of the upstream's stream is reported as a broken pipe.
            m_isReset = error != asio::error::broken_pipe;
            co_return;
        }
    }
    m_isWriting = false;
    std::exchange(m_writeBuffer, {}); // Idle connections keep no memory of a large request.
}

// Waits for bytes and appends them to the read buffer. Returns false on an error or the end of the stream.
asio::awaitable<bool> upstream_connection::receive()
{
    static thread_local std::array<char, readChunkSize> chunk;
    boost::system::error_code error;
    co_await m_socket.async_wait(
        asio::ip::tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return false;
    }
    auto count = m_socket.read_some(asio::buffer(chunk), error);
    if (error == asio::error::would_block) {
        co_return true;
    }
    m_isEof = error == asio::error::eof;
    if (error) {
        co_return false;
    }
    m_readBuffer.append(chunk.data(), count);
    co_return true;
}

asio::awaitable<exchange_result> upstream_connection::exchange(
    std::string bytes, exchange_options options, deadline limit)
{
    auto self = shared_from_this();
    exchange_result result;
    if (hasPassed(limit, steady_clock::now())) {
        result.status = exchange_status::timedOut;
        abort();
        co_return result;
    }
    m_isReusable = false;
    m_isForHead = m_exchangeCount == 0 ? options.isHead : m_isForHead;
    if (m_recentRequests.size() < maxRecentRequests) {
        m_recentRequests.push_back(options.requestHash);
    } else {
        m_recentRequests[static_cast<std::size_t>(m_exchangeCount) % maxRecentRequests] = options.requestHash;
    }
    ++m_exchangeCount;
    m_writeBuffer = std::move(bytes);
    boost::system::error_code error;
    auto sent = m_socket.write_some(asio::buffer(m_writeBuffer), error);
    if (error && error != asio::error::would_block) {
        result.status = m_isAborted ? exchange_status::aborted : exchange_status::closed;
        abort();
        co_return result;
    }
    m_writeBuffer.erase(0, sent);
    m_isWriting = !m_writeBuffer.empty();
    if (!m_isWriting) {
        m_writeBuffer.shrink_to_fit();
    }
    armTimer(limit);
    if (m_isWriting) {
        asio::co_spawn(
            m_io, [self = shared_from_this()] { return self->writeRemaining(); }, asio::detached);
    }
    http::response_parser parser(options.isHead);
    auto parsed = http::parse_status::needMore;
    bool hasResponseBytes = false;
    bool isHeadReported = false;
    buffer_budget unlimited(std::numeric_limits<std::size_t>::max());
    buffer_budget::share held(options.buffers ? *options.buffers : unlimited);
    while (true) {
        parsed = parser.parse(m_readBuffer, result.response, options.limits);
        if (parser.hasHead() && !std::exchange(isHeadReported, true) && options.onHead) {
            options.onHead(result.response.head);
        }
        if (parsed == http::parse_status::complete) {
            if (options.matchesRequest(result.response)) {
                break;
            }
            if (++result.skippedResponses > options.maxSkippedResponses) {
                parsed = http::parse_status::malformed;
                result.failure = "too many answers to other requests";
                break;
            }
            parser = http::response_parser(options.isHead);
            isHeadReported = false;
            result.response = {};
            continue;
        }
        if (parsed != http::parse_status::needMore) {
            result.failure = http::toText(parsed);
            break;
        }
        if (!held.resize(m_readBuffer.capacity() + result.response.body.capacity())) {
            parsed = http::parse_status::bodyTooLarge;
            result.failure = "no memory left for responses";
            break;
        }
        bool isOpen = co_await receive();
        hasResponseBytes = hasResponseBytes || !m_readBuffer.empty();
        if (!isOpen) {
            break;
        }
    }
    m_timer.cancel();
    bool isCompleteAtEof = m_isEof && !m_isReset && parsed == http::parse_status::needMore
        && parser.isCompleteAtClose() && options.matchesRequest(result.response);
    if (parsed == http::parse_status::complete || isCompleteAtEof) {
        result.status = exchange_status::completed;
    } else if (m_isTimedOut) {
        result.status = exchange_status::timedOut;
    } else if (m_isAborted) {
        result.status = exchange_status::aborted;
    } else {
        result.status = hasResponseBytes ? exchange_status::broken : exchange_status::closed;
    }
    if (!parser.hasHead()) {
        result.response = {}; // Fields of a head that is malformed or informational say nothing.
    } else if (result.status != exchange_status::completed) {
        std::exchange(result.response.body, {}); // `held` ends here, but callers keep the result.
    }
    m_isReusable = parsed == http::parse_status::complete && !m_isWriting && m_readBuffer.empty()
        && result.response.head.getKeepAlive() && m_socket.is_open();
    m_idleSince = steady_clock::now();
    updateKeepAlive(result.response);
    if (!m_isReusable) {
        abort();
    }
    co_return result;
}

void upstream_connection::updateKeepAlive(const http::response_message& response)
{
    int seconds = keepAliveSeconds(response.head.get("Keep-Alive", ""));
    m_keepAliveUntil
        = m_idleSince + (seconds > 0 ? std::chrono::seconds(seconds) - keepAliveMargin : defaultKeepAlive);
}

void upstream_connection::abort()
{
    m_isAborted = true;
    boost::system::error_code ignored;
    m_timer.cancel();
    m_socket.close(ignored);
}

bool upstream_connection::hasCarried(std::uint64_t requestHash) const
{
    return requestHash != 0
        && std::find(m_recentRequests.begin(), m_recentRequests.end(), requestHash) != m_recentRequests.end();
}

bool upstream_connection::hasNoPendingInput()
{
    char byte = 0;
    auto count = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && errno == EAGAIN;
}

void upstream_connection::watchIdle(std::function<void(upstream_connection&)> onEnd)
{
    auto generation = ++m_watchGeneration;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(), generation, onEnd = std::move(onEnd)](
            const boost::system::error_code& error) {
            if (!error && generation == self->m_watchGeneration) {
                onEnd(*self);
            }
        });
}

void upstream_connection::stopWatching()
{
    ++m_watchGeneration;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

}
