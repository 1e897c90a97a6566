#include "testing/raw_upstream.h"

#include "testing/header_field.h"

#include <Poco/Exception.h>
#include <chrono>
#include <sys/socket.h>

namespace marlsill::testing {

namespace {

    constexpr int receiveBufferBytes = 32 * 1024; // A long request body does not fit.
    constexpr int backlog = 512; // A connection beyond it is established a second late.
    // For the other side to read the response and to run into a full receive buffer.
    constexpr std::chrono::milliseconds pauseBeforeEnd { 100 };

    // Returns whether all bytes were sent.
    bool sendAll(Poco::Net::StreamSocket& socket, std::string_view bytes)
    {
        auto sent = ::send(socket.impl()->sockfd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return sent == static_cast<ssize_t>(bytes.size());
    }

}

raw_upstream::raw_upstream(
    raw_response response, const Poco::Net::SocketAddress& address, gateway::wire_fields fields)
    : m_response(std::move(response))
    , m_fields(std::move(fields))
{
    m_socket.bind(address, true);
    m_socket.setReceiveBufferSize(receiveBufferBytes); // Inherited by the connections.
    m_socket.listen(backlog);
    m_acceptor = std::thread([this] { acceptLoop(); });
}

raw_upstream::~raw_upstream()
{
    ::shutdown(m_socket.impl()->sockfd(), SHUT_RDWR);
    m_acceptor.join();
    m_connections.shutdownAll();
    m_connections.joinAll();
}

void raw_upstream::acceptLoop()
{
    try {
        while (true) {
            m_connections.start(m_socket.acceptConnection(), [this](auto& accepted) { serve(accepted); });
        }
    } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): the socket was shut down.
    }
}

void raw_upstream::serve(Poco::Net::StreamSocket& socket)
{
    std::string buffer;
    char chunk[16 * 1024];
    try {
        while (true) {
            auto end = buffer.find("\r\n\r\n");
            bool isReady = end != std::string::npos;
            if (isReady && m_response.readsBody) {
                auto length = headerField(buffer.substr(0, end + 2), "Content-Length");
                isReady = buffer.size() >= end + 4 + (length.empty() ? 0 : std::stoul(length));
            }
            if (isReady) {
                auto head = buffer.substr(0, end + 2);
                buffer.clear();
                if (!respond(socket, head)) {
                    return;
                }
            }
            int count = socket.receiveBytes(chunk, sizeof chunk);
            if (count <= 0) {
                return;
            }
            buffer.append(chunk, static_cast<std::size_t>(count));
        }
    } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): the other side has closed.
    }
}

// Returns whether the connection is still open for reading.
bool raw_upstream::respond(Poco::Net::StreamSocket& socket, const std::string& requestHead)
{
    constexpr std::string_view placeholder = "{id}";
    std::string_view bytes = m_response.bytes;
    ++m_requests;
    if (auto at = bytes.find(placeholder); at != std::string_view::npos) {
        sendAll(socket, bytes.substr(0, at));
        sendAll(socket, headerField(requestHead, m_fields.requestId));
        bytes.remove_prefix(at + placeholder.size());
    }
    bool isOpen = sendAll(socket, bytes);
    while (isOpen && !m_response.repeated.empty()) {
        isOpen = sendAll(socket, m_response.repeated);
    }
    if (m_response.end == connection_end::keepOpen) {
        return isOpen;
    }
    std::this_thread::sleep_for(pauseBeforeEnd);
    if (m_response.end != connection_end::reset) {
        socket.shutdownSend();
    }
    if (m_response.end == connection_end::finish) {
        return true;
    }
    socket.setLinger(true, 0);
    socket.close();
    return false;
}

}
