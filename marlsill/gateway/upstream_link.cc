#include "marlsill/gateway/upstream_link.h"

#include "marlsill/base/socket_options.h"

#include <Poco/String.h>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <sys/socket.h>

namespace marlsill::gateway {

namespace {

    constexpr std::size_t readSize = 16 * 1024; // bytes
    constexpr std::chrono::milliseconds deadPeerLimit { 1'500 }; // Several round trips with a lost packet.
    constexpr std::chrono::milliseconds keptByDefault {
        4'000
    }; // Below the usual idle limit of servers, 5 s.
    constexpr std::chrono::milliseconds keptMargin {
        1'000
    }; // A whole second, as Keep-Alive counts in seconds.

    // Returns the seconds of a Keep-Alive field such as "timeout=5, max=100", or 0.
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

upstream_link::upstream_link(asio::io_context& io, const asio::ip::tcp::endpoint& upstream)
    : m_io(io)
    , m_upstream(upstream)
    , m_socket(io)
    , m_timer(io)
{
}

void upstream_link::armTimer(deadline limit)
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

asio::awaitable<bool> upstream_link::open(deadline limit)
{
    auto self = shared_from_this();
    boost::system::error_code error;
    m_socket.open(m_upstream.protocol(), error);
    if (error) {
        co_return false;
    }
    armTimer(limit);
    co_await m_socket.async_connect(m_upstream, asio::redirect_error(asio::use_awaitable, error));
    m_timer.cancel();
    if (error || m_isTimedOut || m_isAborted) {
        abort();
        co_return false;
    }
    m_socket.non_blocking(true, error);
    setNoDelay(m_socket.native_handle());
    detectDeadPeer(m_socket.native_handle(), deadPeerLimit);
    co_return !error;
}

asio::awaitable<void> upstream_link::writeRest()
{
    auto self = shared_from_this();
    boost::system::error_code error;
    co_await asio::async_write(
        m_socket, asio::buffer(m_out), asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        m_isWriting = false;
        m_out.clear();
    }
}

// Waits for more bytes and appends them to the buffer. Returns false when the connection has ended.
asio::awaitable<bool> upstream_link::receive()
{
    static thread_local std::array<char, readSize> chunk;
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
    m_isEnd = error == asio::error::eof;
    if (error) {
        co_return false;
    }
    m_in.append(chunk.data(), count);
    co_return true;
}

asio::awaitable<exchange_result> upstream_link::exchange(
    std::string bytes, exchange_options options, deadline limit)
{
    auto self = shared_from_this();
    exchange_result result;
    m_isReusable = false;
    ++m_exchanges;
    m_out = std::move(bytes);
    boost::system::error_code error;
    auto sent = m_socket.write_some(asio::buffer(m_out), error);
    if (error && error != asio::error::would_block) {
        result.status = m_isAborted ? exchange_status::aborted : exchange_status::closed;
        abort();
        co_return result;
    }
    m_out.erase(0, sent);
    m_isWriting = !m_out.empty();
    armTimer(limit);
    if (m_isWriting) {
        asio::co_spawn(
            m_io, [self = shared_from_this()] { return self->writeRest(); }, asio::detached);
    }
    http::response_parser parser(options.isHead);
    auto parsed = http::parse_status::needMore;
    bool hasBytes = false;
    while (true) {
        parsed = parser.parse(m_in, result.answer, options.limits);
        if (parsed == http::parse_status::complete) {
            if (options.isOwn(result.answer)) {
                break;
            }
            ++result.skippedAnswers;
            parser = http::response_parser(options.isHead);
            result.answer = {};
            continue;
        }
        if (parsed != http::parse_status::needMore) {
            break;
        }
        bool isOpen = co_await receive();
        hasBytes = hasBytes || !m_in.empty();
        if (!isOpen) {
            break;
        }
    }
    m_timer.cancel();
    bool isWholeByEnd = m_isEnd && parsed == http::parse_status::needMore && parser.isCompleteAtClose()
        && options.isOwn(result.answer);
    if (parsed == http::parse_status::complete || isWholeByEnd) {
        result.status = exchange_status::answered;
    } else if (m_isTimedOut) {
        result.status = exchange_status::timedOut;
    } else if (m_isAborted) {
        result.status = exchange_status::aborted;
    } else {
        result.status = hasBytes ? exchange_status::broken : exchange_status::closed;
    }
    m_isReusable = parsed == http::parse_status::complete && !m_isWriting && m_in.empty()
        && result.answer.head.getKeepAlive() && m_socket.is_open();
    m_idleSince = steady_clock::now();
    readKeepAlive(result.answer);
    if (!m_isReusable) {
        abort();
    }
    co_return result;
}

void upstream_link::readKeepAlive(const http::response_message& answer)
{
    int seconds = keepAliveSeconds(answer.head.get("Keep-Alive", ""));
    m_keptUntil = m_idleSince + (seconds > 0 ? std::chrono::seconds(seconds) - keptMargin : keptByDefault);
}

void upstream_link::abort()
{
    m_isAborted = true;
    boost::system::error_code ignored;
    m_timer.cancel();
    m_socket.close(ignored);
}

bool upstream_link::isQuiet()
{
    char byte = 0;
    auto count = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && errno == EAGAIN;
}

void upstream_link::watchIdle(std::function<void(upstream_link&)> onEnd)
{
    auto watch = ++m_watch;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(), watch, onEnd = std::move(onEnd)](const boost::system::error_code& error) {
            if (!error && watch == self->m_watch) {
                onEnd(*self);
            }
        });
}

void upstream_link::stopWatching()
{
    ++m_watch;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

}
