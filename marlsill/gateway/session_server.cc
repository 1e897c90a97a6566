#include "marlsill/gateway/session_server.h"

#include "marlsill/base/socket_options.h"
#include "marlsill/events/events.h"
#include "marlsill/http/message_writer.h"
#include "marlsill/supervisor/loop_guard.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

namespace marlsill::gateway {

namespace {

    constexpr std::size_t readChunkSize = 16 * 1024; // Bytes.
    constexpr std::size_t maxPipelinedRequests = 64; // Unanswered requests of one connection.
    constexpr std::size_t maxUnparsedBytes = 64 * 1024; // Bytes after a caller's final request.
    constexpr int listenBacklog = 1024;
    constexpr std::size_t maxUnsentBytes = 64 * 1024; // Of responses, while further requests are read.
    constexpr std::size_t requestCost = 6'000; // Bytes of a request in flight beside its header and body.
    constexpr std::size_t fieldCost = 160; // Bytes of a header field beside its name and value.
    constexpr std::size_t minReplacedBytes = 4 * 1024; // Smaller responses are not replaced by an error.
    constexpr std::size_t maxIdleCapacity = 2 * 1024; // Bytes that an idle connection keeps allocated.
    constexpr const char* refusalDelaySeconds = "1"; // Retry-After without memory.
    constexpr const char* stopDelaySeconds = "0.05"; // The caller only has to choose another VM.
    constexpr std::chrono::milliseconds lingerTimeout { 1'000 }; // For the caller to read the last response.
    constexpr std::chrono::milliseconds acceptPause { 50 };
    constexpr std::chrono::milliseconds deadPeerTimeout { 4'000 }; // Above a round trip with some losses.

    // Returns the bytes of a request and of the copy that is sent to an upstream.
    std::size_t bytesOf(const http::request_message& message)
    {
        std::size_t bytes = message.body.capacity() + message.body.size() + requestCost;
        for (const auto& [name, value] : message.head) {
            bytes += 2 * (name.size() + value.size()) + fieldCost;
        }
        return bytes;
    }

    http::response_message makeRefusal()
    {
        auto message = http::makeResponse(
            Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain", "no memory left for requests\n");
        message.head.set("Retry-After", refusalDelaySeconds);
        return message;
    }

}

caller_session::caller_session(session_server& server, asio::ip::tcp::socket socket)
    : m_server(server)
    , m_socket(std::move(socket))
    , m_lastActivity(steady_clock::now())
    , m_isDraining(server.m_isDraining)
{
    boost::system::error_code error;
    m_caller = m_socket.remote_endpoint(error).address().to_string();
    m_socket.non_blocking(true, error);
    setNoDelay(m_socket.native_handle());
    detectDeadPeer(m_socket.native_handle(), deadPeerTimeout);
}

void caller_session::start()
{
    spawn([this] { return run(); });
}

void caller_session::spawn(std::function<asio::awaitable<void>()> start)
{
    asio::co_spawn(
        m_server.m_io, std::move(start), [self = shared_from_this()](const std::exception_ptr& failure) {
            if (failure) {
                logEvent(event::handlerFailed,
                    { { "caller", self->m_caller }, { "cause", describeException(failure) } });
                self->close();
            }
        });
}

asio::awaitable<bool> caller_session::receive()
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
    if (error) {
        co_return false;
    }
    m_readBuffer.append(chunk.data(), count);
    co_return true;
}

asio::awaitable<void> caller_session::run()
{
    auto self = shared_from_this();
    while (m_isReading) {
        m_isPaused = !m_hasFinalRequest && unsentBytes() > maxUnsentBytes;
        if (m_isPaused) {
            co_return;
        }
        if (!m_hasFinalRequest && parseNext()) {
            continue;
        }
        if (!updateHeldBytes() && m_isReading && !m_hasFinalRequest) {
            refusePartialRequest();
        }
        discardUnparsed();
        if (!m_isReading || m_discardedBytes > maxUnparsedBytes) {
            co_return;
        }
        if (!co_await receive()) {
            if (!m_isClosing) {
                close();
            }
            co_return;
        }
        m_lastActivity = steady_clock::now();
    }
}

// Sets how many bytes are held for this caller. Returns false if some of them must be given up.
bool caller_session::updateHeldBytes()
{
    auto bytes = m_readBuffer.size() + unsentBytes();
    if (m_parser.isReadingBody()) {
        bytes += m_partialMessage.body.capacity();
    }
    for (const auto& each : m_pipeline) {
        bytes += each->bytes;
    }
    if (bytes == 0 || m_isClosed || !m_server.m_options.buffers) {
        m_held.reset();
        return true;
    }
    if (!m_held) {
        m_held.emplace(*m_server.m_options.buffers);
    }
    return m_held->resize(bytes);
}

void caller_session::refusePartialRequest()
{
    if (m_readBuffer.empty() && !m_parser.isReadingBody()) {
        return; // What is held are earlier requests and their responses.
    }
    sendLocalReply(makeRefusal(), "no memory left");
    std::exchange(m_partialMessage, {});
    m_requestStartedAt = {};
    discardUnparsed();
    updateHeldBytes();
}

// Bytes after the final request are not kept, and neither is memory that an idle connection does not need.
void caller_session::discardUnparsed()
{
    if (m_hasFinalRequest) {
        m_discardedBytes += m_readBuffer.size();
        m_readBuffer.clear();
    }
    if (m_readBuffer.empty() && m_readBuffer.capacity() > maxIdleCapacity) {
        m_readBuffer.shrink_to_fit();
    }
}

void caller_session::resumeReading()
{
    if (!m_isPaused || m_isClosing || m_isClosed || unsentBytes() > maxUnsentBytes) {
        return;
    }
    m_isPaused = false;
    if (m_requestStartedAt != steady_clock::time_point {}) {
        m_requestStartedAt = steady_clock::now();
    }
    spawn([this] { return run(); });
}

// Parses one request from the buffer. Returns whether the buffer may hold another one.
bool caller_session::parseNext()
{
    auto limits = m_server.m_options.limits();
    auto status
        = m_parser.parse(m_readBuffer, m_partialMessage, { limits.maxHeaderBytes, limits.maxBodyBytes });
    if (m_parser.takeExpectContinue() && m_pipeline.empty() && !m_isWriting) {
        m_writeBuffer += "HTTP/1.1 100 Continue\r\n\r\n";
        startWriting();
    }
    switch (status) {
    case http::parse_status::complete:
        m_requestStartedAt = {};
        acceptRequest(std::exchange(m_partialMessage, {}));
        return true;
    case http::parse_status::needMore:
        break;
    case http::parse_status::malformed:
        sendLocalReply(400, "malformed request");
        return false;
    case http::parse_status::headTooLarge:
        sendLocalReply(431, "header too large");
        return false;
    case http::parse_status::bodyTooLarge:
        sendLocalReply(413, "body too large");
        return false;
    }
    bool hasPartialRequest = !m_readBuffer.empty() || m_parser.isReadingBody();
    if (hasPartialRequest && m_requestStartedAt == steady_clock::time_point {}) {
        m_requestStartedAt = steady_clock::now();
    }
    return false;
}

void caller_session::acceptRequest(http::request_message message)
{
    auto current = std::make_shared<pending_request>();
    current->request = std::make_shared<served_request>();
    current->repeatedValue = repeatedValueOf(message);
    current->request->message = std::move(message);
    current->request->caller = m_caller;
    // When its last bytes arrived, which may have waited while this process was stopped or busy.
    current->request->arrivedAt = steady_clock::now() - timeSinceLastData(m_socket.native_handle());
    current->closesConnection = !current->request->message.head.getKeepAlive();
    m_hasFinalRequest = current->closesConnection;
    m_lastActivity = steady_clock::now();
    current->bytes = bytesOf(current->request->message);
    m_pipeline.push_back(current);
    m_isReading = m_pipeline.size() < maxPipelinedRequests;
    if (!updateHeldBytes()) {
        current->isRefused = true;
        auto refused = std::exchange(current->request->message, {});
        current->request->message.head.setMethod(refused.head.getMethod());
        current->closesConnection = true;
        m_hasFinalRequest = true;
        current->bytes = requestCost;
        updateHeldBytes();
    }
    spawn([this, current] { return serve(current); });
}

std::string caller_session::repeatedValueOf(const http::request_message& message) const
{
    const auto& field = m_server.m_options.repeatedField;
    return field.empty() ? std::string() : message.head.get(field, "");
}

void caller_session::sendLocalReply(int status, std::string_view why)
{
    sendLocalReply(http::makeResponse(status, "text/plain", std::string(why) + "\n"), why);
}

void caller_session::sendLocalReply(http::response_message response, std::string_view why)
{
    logEvent(event::callerRequestMalformed, { { "caller", m_caller }, { "why", std::string(why) } });
    auto current = std::make_shared<pending_request>();
    current->response = std::move(response);
    current->repeatedValue = repeatedValueOf(m_partialMessage);
    current->closesConnection = true;
    m_pipeline.push_back(current);
    m_hasFinalRequest = true;
    flushReadyResponses();
}

asio::awaitable<void> caller_session::serve(std::shared_ptr<pending_request> current)
{
    auto self = shared_from_this();
    std::optional<http::response_message> response;
    if (current->isRefused) {
        response = makeRefusal();
    } else {
        response = co_await m_server.m_serve(current->request);
    }
    if (m_isClosed) {
        co_return;
    }
    if (!response) {
        close();
        co_return;
    }
    current->response = std::move(response);
    current->bytes = current->response->body.size();
    if (!updateHeldBytes() && current->bytes > minReplacedBytes) {
        current->response = http::makeResponse(
            Poco::Net::HTTPResponse::HTTP_BAD_GATEWAY, "text/plain", "no memory left for the response\n");
        current->bytes = current->response->body.size();
    }
    flushReadyResponses();
}

// Moves the responses that are next in request order to the write buffer.
void caller_session::flushReadyResponses()
{
    bool wasFull = m_pipeline.size() >= maxPipelinedRequests;
    while (!m_pipeline.empty() && m_pipeline.front()->response && !m_isClosing) {
        auto current = std::move(m_pipeline.front());
        m_pipeline.pop_front();
        bool isLast = m_pipeline.empty() && m_readBuffer.empty() && !m_parser.isReadingBody();
        m_isClosing = current->closesConnection || (m_isDraining && isLast && !hasUnreadInput());
        auto& head = current->response->head;
        head.erase("Connection");
        head.erase("Keep-Alive");
        head.setVersion("HTTP/1.1");
        if (!current->repeatedValue.empty()) {
            head.set(m_server.m_options.repeatedField, current->repeatedValue);
        }
        if (m_isClosing) {
            m_isReading = false;
            head.set("Connection", "close");
        }
        auto method = current->request ? current->request->message.head.getMethod() : std::string();
        m_writeBuffer += http::serialize(*current->response, method);
    }
    updateHeldBytes();
    m_lastActivity = steady_clock::now();
    if (wasFull && !m_isReading && !m_isClosing && m_pipeline.size() < maxPipelinedRequests) {
        m_isReading = true;
        spawn([this] { return run(); });
    }
    startWriting();
}

void caller_session::startWriting()
{
    if (!m_isWriting && !m_writeBuffer.empty()) {
        m_isWriting = true;
        spawn([this] { return writePending(); });
    }
}

asio::awaitable<void> caller_session::writePending()
{
    auto self = shared_from_this();
    while (!m_writeBuffer.empty() && !m_isClosed) {
        auto bytes = std::exchange(m_writeBuffer, {});
        m_sendingBytes = bytes.size();
        boost::system::error_code error;
        co_await asio::async_write(
            m_socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        m_sendingBytes = 0;
        if (error) {
            close();
            co_return;
        }
        updateHeldBytes();
        resumeReading();
    }
    m_isWriting = false;
    if (m_isClosing && !m_isClosed) {
        co_await lingerAndClose();
    }
}

// Shuts down the sending side and discards input for a while. Closing a socket with unread input would reset
// the connection, and the caller could lose the response.
asio::awaitable<void> caller_session::lingerAndClose()
{
    m_isReading = false;
    boost::system::error_code error;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    m_socket.cancel(error); // Ends the pending read of run().
    asio::steady_timer timer(m_server.m_io, lingerTimeout);
    timer.async_wait([self = shared_from_this()](const boost::system::error_code& failed) {
        if (!failed) {
            self->close();
        }
    });
    while (!m_isClosed && co_await receive()) {
        m_readBuffer.clear();
    }
    timer.cancel();
    close();
}

void caller_session::enforceTimeouts(steady_clock::time_point now)
{
    if (m_isClosing || m_isClosed) {
        return;
    }
    auto limits = m_server.m_options.limits();
    bool hasPartialRequest = !m_isPaused && m_requestStartedAt != steady_clock::time_point {};
    if (hasPartialRequest && now - m_requestStartedAt > limits.headerTimeout && !m_parser.isReadingBody()) {
        sendLocalReply(408, "the request did not arrive in time");
        return;
    }
    bool isIdle = !isBusy() && now - m_lastActivity > limits.idleTimeout;
    if (isIdle && !hasPartialRequest) {
        beginDrain();
    } else if (isIdle) {
        close();
    }
}

// Returns whether bytes have arrived that have not been read, such as a request that the VM has not come to.
bool caller_session::hasUnreadInput()
{
    char byte = 0;
    return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void caller_session::beginDrain(idle_connections idle)
{
    m_isDraining = true;
    if (isBusy() || m_isClosing || m_isClosed || !m_readBuffer.empty() || m_parser.isReadingBody()
        || idle == idle_connections::keep || hasUnreadInput()) {
        return;
    }
    m_isClosing = true;
    m_isReading = false;
    spawn([this] { return writePending(); });
}

void caller_session::refuseUnfinished()
{
    if (!isReceiving() || m_isClosed || m_hasFinalRequest) {
        return;
    }
    auto message = http::makeResponse(
        Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain", "this VM is stopping\n");
    message.head.set("Retry-After", stopDelaySeconds);
    sendLocalReply(std::move(message), "not complete at the end of a stop");
    m_requestStartedAt = {};
}

// Closes the connection and cancels its requests in flight.
void caller_session::close()
{
    if (std::exchange(m_isClosed, true)) {
        return;
    }
    m_isReading = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    for (auto& each : m_pipeline) {
        if (each->request && each->request->cancel) {
            each->request->cancel();
        }
    }
    m_pipeline.clear();
    m_held.reset();
    m_server.m_sessions.erase(shared_from_this());
}

session_server::session_server(asio::io_context& io, session_server_options options, serve_function serve)
    : m_io(io)
    , m_options(std::move(options))
    , m_serve(std::move(serve))
    , m_acceptor(io)
{
}

// Coroutines may keep sessions longer than the server and the budget exist.
session_server::~session_server()
{
    for (const auto& each : m_sessions) {
        each->m_held.reset();
    }
}

boost::system::error_code session_server::start()
{
    boost::system::error_code error;
    if (m_acceptor.is_open()) {
        return error;
    }
    m_acceptor.open(m_options.endpoint.protocol(), error);
    if (!error) {
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        m_acceptor.bind(m_options.endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(listenBacklog, error);
    }
    if (error) {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        return error;
    }
    spawnSupervised(m_io, "accept", [this] { return acceptLoop(); });
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
        if (error) {
            // Without free descriptors or memory the connection stays in the backlog, and the next attempt
            // would fail at once.
            asio::steady_timer pause(m_io, acceptPause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        if (m_sessions.size() >= m_options.maxConnections) {
            continue;
        }
        auto session = std::make_shared<caller_session>(*this, std::move(socket));
        m_sessions.insert(session);
        session->start();
    }
}

void session_server::beginDrain(idle_connections idle)
{
    m_isDraining = true;
    auto sessions = m_sessions;
    for (const auto& each : sessions) {
        each->beginDrain(idle);
    }
}

void session_server::refuseUnfinished()
{
    auto sessions = m_sessions;
    for (const auto& each : sessions) {
        each->refuseUnfinished();
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
        each->enforceTimeouts(now);
    }
}

bool session_server::isBusy() const
{
    for (const auto& each : m_sessions) {
        if (each->isBusy() || each->isReceiving()) {
            return true;
        }
    }
    return false;
}

}
