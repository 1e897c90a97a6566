#include "marlsill/gateway/session_server.h"

#include "marlsill/base/socket_options.h"
#include "marlsill/events/events.h"
#include "marlsill/http/message_writer.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace marlsill::gateway {

namespace {

    constexpr std::size_t readSize = 16 * 1024; // bytes
    constexpr std::size_t maxReadAhead = 64; // requests of one connection
    constexpr std::size_t maxUnparsedBytes = 64 * 1024; // behind a caller's last request
    constexpr int listenBacklog = 1024;
    constexpr std::chrono::milliseconds lingerLimit { 1'000 }; // For a caller to read the last answer.
    constexpr std::chrono::milliseconds deadPeerLimit {
        4'000
    }; // Above a caller's round trip with some losses.

}

caller_session::caller_session(session_server& server, asio::ip::tcp::socket socket)
    : m_server(server)
    , m_socket(std::move(socket))
    , m_lastUse(steady_clock::now())
    , m_isDraining(server.m_isDraining)
{
    boost::system::error_code error;
    m_caller = m_socket.remote_endpoint(error).address().to_string();
    m_socket.non_blocking(true, error);
    setNoDelay(m_socket.native_handle());
    detectDeadPeer(m_socket.native_handle(), deadPeerLimit);
}

asio::awaitable<bool> caller_session::receive()
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
    if (error) {
        co_return false;
    }
    m_in.append(chunk.data(), count);
    co_return true;
}

asio::awaitable<void> caller_session::run()
{
    auto self = shared_from_this();
    while (m_isReading) {
        if (!m_hasLastRequest && parseNext()) {
            continue;
        }
        if (!m_isReading || m_in.size() > maxUnparsedBytes) {
            co_return;
        }
        if (!co_await receive()) {
            if (!m_isEnding) {
                close();
            }
            co_return;
        }
        m_lastUse = steady_clock::now();
    }
}

// Parses one request from the buffer. Returns whether there may be another one.
bool caller_session::parseNext()
{
    auto limits = m_server.m_options.limits();
    auto status = m_parser.parse(m_in, m_message, { limits.maxHeaderBytes, limits.maxBodyBytes });
    if (m_parser.takeExpectContinue() && m_slots.empty() && !m_isWriting) {
        m_out += "HTTP/1.1 100 Continue\r\n\r\n";
        startWriting();
    }
    switch (status) {
    case http::parse_status::complete:
        m_requestStartedAt = {};
        accept(std::exchange(m_message, {}));
        return true;
    case http::parse_status::needMore:
        break;
    case http::parse_status::malformed:
        answerOwn(400, "malformed request");
        return false;
    case http::parse_status::headTooLarge:
        answerOwn(431, "header too large");
        return false;
    case http::parse_status::bodyTooLarge:
        answerOwn(413, "body too large");
        return false;
    }
    bool isInside = !m_in.empty() || m_parser.isReadingBody();
    if (isInside && m_requestStartedAt == steady_clock::time_point {}) {
        m_requestStartedAt = steady_clock::now();
    }
    return false;
}

void caller_session::accept(http::request_message message)
{
    auto current = std::make_shared<slot>();
    current->request = std::make_shared<served_request>();
    current->request->message = std::move(message);
    current->request->caller = m_caller;
    current->request->arrivedAt = steady_clock::now();
    current->isEnd = !current->request->message.head.getKeepAlive();
    m_hasLastRequest = current->isEnd;
    m_lastUse = current->request->arrivedAt;
    m_slots.push_back(current);
    m_isReading = m_slots.size() < maxReadAhead;
    asio::co_spawn(
        m_server.m_io, [self = shared_from_this(), current] { return self->serve(current); }, asio::detached);
}

void caller_session::answerOwn(int status, std::string_view why)
{
    logEvent(event::callerRequestMalformed, { { "caller", m_caller }, { "why", std::string(why) } });
    auto current = std::make_shared<slot>();
    current->answer = http::makeResponse(status, "text/plain", std::string(why) + "\n");
    current->isEnd = true;
    m_slots.push_back(current);
    m_hasLastRequest = true;
    flush();
}

asio::awaitable<void> caller_session::serve(std::shared_ptr<slot> current)
{
    auto self = shared_from_this();
    auto answer = co_await m_server.m_serve(current->request);
    if (m_isClosed) {
        co_return;
    }
    if (!answer) {
        close();
        co_return;
    }
    current->answer = std::move(answer);
    flush();
}

// Moves the answers whose turn has come to the output.
void caller_session::flush()
{
    bool wasFull = m_slots.size() >= maxReadAhead;
    while (!m_slots.empty() && m_slots.front()->answer && !m_isEnding) {
        auto current = std::move(m_slots.front());
        m_slots.pop_front();
        bool isLast = m_slots.empty() && m_in.empty() && !m_parser.isReadingBody();
        m_isEnding = current->isEnd || (m_isDraining && isLast);
        auto& head = current->answer->head;
        head.erase("Connection");
        head.erase("Keep-Alive");
        head.setVersion("HTTP/1.1");
        if (m_isEnding) {
            m_isReading = false;
            head.set("Connection", "close");
        }
        auto method = current->request ? current->request->message.head.getMethod() : std::string();
        m_out += http::serialize(*current->answer, method);
    }
    m_lastUse = steady_clock::now();
    if (wasFull && !m_isReading && !m_isEnding && m_slots.size() < maxReadAhead) {
        m_isReading = true;
        asio::co_spawn(
            m_server.m_io, [self = shared_from_this()] { return self->run(); }, asio::detached);
    }
    startWriting();
}

void caller_session::startWriting()
{
    if (!m_isWriting && !m_out.empty()) {
        m_isWriting = true;
        asio::co_spawn(
            m_server.m_io, [self = shared_from_this()] { return self->writeOut(); }, asio::detached);
    }
}

asio::awaitable<void> caller_session::writeOut()
{
    auto self = shared_from_this();
    while (!m_out.empty() && !m_isClosed) {
        auto bytes = std::exchange(m_out, {});
        boost::system::error_code error;
        co_await asio::async_write(
            m_socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            close();
            co_return;
        }
    }
    m_isWriting = false;
    if (m_isEnding && !m_isClosed) {
        co_await linger();
    }
}

// Closes the sending half and reads on for a while, as closing with unread bytes would reset the connection
// and could destroy the answer on its way.
asio::awaitable<void> caller_session::linger()
{
    m_isReading = false;
    boost::system::error_code error;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    m_socket.cancel(error); // Ends the wait of run().
    asio::steady_timer limit(m_server.m_io, lingerLimit);
    limit.async_wait([self = shared_from_this()](const boost::system::error_code& failed) {
        if (!failed) {
            self->close();
        }
    });
    while (!m_isClosed && co_await receive()) {
        m_in.clear();
    }
    limit.cancel();
    close();
}

void caller_session::enforceLimits(steady_clock::time_point now)
{
    if (m_isEnding || m_isClosed) {
        return;
    }
    auto limits = m_server.m_options.limits();
    bool isInside = m_requestStartedAt != steady_clock::time_point {};
    if (isInside && now - m_requestStartedAt > limits.headerTimeout && !m_parser.isReadingBody()) {
        answerOwn(408, "the request did not arrive in time");
        return;
    }
    bool isIdle = !isBusy() && now - m_lastUse > limits.idleTimeout;
    if (isIdle && !isInside) {
        beginDrain();
    } else if (isIdle) {
        close();
    }
}

void caller_session::beginDrain()
{
    m_isDraining = true;
    if (isBusy() || m_isEnding || m_isClosed || !m_in.empty() || m_parser.isReadingBody()) {
        return;
    }
    m_isEnding = true;
    asio::co_spawn(
        m_server.m_io, [self = shared_from_this()] { return self->writeOut(); }, asio::detached);
}

// Ends the connection and cancels its requests.
void caller_session::close()
{
    if (std::exchange(m_isClosed, true)) {
        return;
    }
    m_isReading = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    for (auto& each : m_slots) {
        if (each->request && each->request->cancel) {
            each->request->cancel();
        }
    }
    m_slots.clear();
    m_server.m_sessions.erase(shared_from_this());
}

session_server::session_server(asio::io_context& io, session_server_options options, serve_function serve)
    : m_io(io)
    , m_options(std::move(options))
    , m_serve(std::move(serve))
    , m_acceptor(io)
{
}

std::string session_server::start()
{
    boost::system::error_code error;
    m_acceptor.open(m_options.endpoint.protocol(), error);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    m_acceptor.bind(m_options.endpoint, error);
    if (!error) {
        m_acceptor.listen(listenBacklog, error);
    }
    if (error) {
        return error.message();
    }
    asio::co_spawn(m_io, acceptLoop(), asio::detached);
    return {};
}

asio::awaitable<void> session_server::acceptLoop()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error || m_sessions.size() >= m_options.maxConnections) {
            continue;
        }
        auto session = std::make_shared<caller_session>(*this, std::move(socket));
        m_sessions.insert(session);
        asio::co_spawn(
            m_io, [session] { return session->run(); }, asio::detached);
    }
}

void session_server::beginDrain()
{
    m_isDraining = true;
    auto sessions = m_sessions;
    for (const auto& each : sessions) {
        each->beginDrain();
    }
}

void session_server::stopAccepting()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void session_server::sweep()
{
    auto now = steady_clock::now();
    auto sessions = m_sessions;
    for (const auto& each : sessions) {
        each->enforceLimits(now);
    }
}

bool session_server::isBusy() const
{
    for (const auto& each : m_sessions) {
        if (each->isBusy()) {
            return true;
        }
    }
    return false;
}

}
