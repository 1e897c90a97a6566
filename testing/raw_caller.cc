#include "testing/raw_caller.h"

#include "testing/header_field.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Timespan.h>

namespace marlsill::testing {

namespace {

    constexpr int receiveLimitSeconds = 5;

}

std::string raw_answer::field(const std::string& name) const { return headerField(head, name); }

raw_caller::raw_caller(const std::string& address, gateway::wire_fields fields)
    : m_fields(std::move(fields))
    , m_socket(Poco::Net::SocketAddress(address))
{
    m_socket.setReceiveTimeout(Poco::Timespan(receiveLimitSeconds, 0));
}

raw_caller::raw_caller(const std::string& address, const std::string& from, gateway::wire_fields fields)
    : m_fields(std::move(fields))
{
    if (!from.empty()) {
        m_socket.impl()->bind(Poco::Net::SocketAddress(from, 0));
    }
    m_socket.connect(Poco::Net::SocketAddress(address));
    m_socket.setReceiveTimeout(Poco::Timespan(receiveLimitSeconds, 0));
}

void raw_caller::send(const std::string& text)
{
    m_socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

void raw_caller::sendRequest(const std::string& method, const std::string& path, const std::string& id,
    int timeoutMs, const std::string& body, const std::string& extraFields)
{
    auto length = body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    send(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" + m_fields.requestId + ": " + id + "\r\n"
        + m_fields.timeoutMs + ": " + std::to_string(timeoutMs) + "\r\n" + extraFields + length + "\r\n"
        + body);
}

raw_answer raw_caller::receive()
{
    raw_answer result;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return result;
        }
    }
    result.head = m_buffer.substr(0, end + 4);
    m_buffer.erase(0, end + 4);
    result.status = std::stoi(result.head.substr(9, 3));
    auto announced = result.field("Content-Length");
    std::size_t length = announced.empty() ? 0 : std::stoul(announced);
    while (m_buffer.size() < length && fill()) { }
    result.isWhole = m_buffer.size() >= length;
    result.body = m_buffer.substr(0, length);
    m_buffer.erase(0, std::min(length, m_buffer.size()));
    return result;
}

bool raw_caller::fill()
{
    char chunk[4096];
    try {
        int count = m_socket.receiveBytes(chunk, sizeof chunk);
        m_buffer.append(chunk, static_cast<std::size_t>(std::max(0, count)));
        return count > 0;
    } catch (const Poco::Exception&) {
        return false;
    }
}

}
