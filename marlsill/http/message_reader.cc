#include "marlsill/http/message_reader.h"

#include "marlsill/http/internal/header_check.h"

#include <Poco/String.h>
#include <charconv>

namespace marlsill::http {

namespace {

    constexpr std::size_t maxLineBytes = 256; // Per chunk-size or trailer line.
    constexpr std::size_t maxInformationalResponses = 8; // 1xx responses before the final one.
    constexpr int maxFields = 100;

    read_status toReadStatus(io_status status, bool hasStarted)
    {
        switch (status) {
        case io_status::ok:
            return read_status::complete;
        case io_status::closed:
            return hasStarted ? read_status::truncated : read_status::closedBeforeStart;
        case io_status::timedOut:
            return read_status::timedOut;
        case io_status::cancelled:
            return read_status::cancelled;
        case io_status::failed:
            break;
        }
        return hasStarted ? read_status::failed : read_status::closedBeforeStart;
    }

    // Reads until the buffer holds a complete header block and sets `length` to its size in bytes.
    read_status fillHeaderBlock(channel& connection, std::size_t& length, const read_limits& limits,
        deadline limit, watched_socket watched)
    {
        while (true) {
            auto bytes = connection.buffered();
            auto end = bytes.find("\r\n\r\n");
            if (end != std::string_view::npos) {
                length = end + 4;
                return length > limits.maxHeaderBytes ? read_status::malformed : read_status::complete;
            }
            bool hasBareLineFeeds = bytes.find("\n\n") != std::string_view::npos
                || bytes.find("\n\r\n") != std::string_view::npos;
            if (bytes.size() > limits.maxHeaderBytes || hasBareLineFeeds) {
                return read_status::malformed;
            }
            bool hasStarted = !bytes.empty();
            auto status = connection.fill(limit, watched);
            if (status != io_status::ok) {
                return toReadStatus(status, hasStarted);
            }
        }
    }

    // Reads a header block into `head` and consumes it.
    template <typename Head>
    read_status readHead(
        channel& connection, Head& head, const read_limits& limits, deadline limit, watched_socket watched)
    {
        std::size_t length = 0;
        auto status = fillHeaderBlock(connection, length, limits, limit, watched);
        if (status != read_status::complete) {
            return status;
        }
        if (!internal::parseHead(connection.buffered().substr(0, length), head, maxFields)) {
            return read_status::malformed;
        }
        connection.consume(length);
        return read_status::complete;
    }

    bool hasValidHost(const Poco::Net::HTTPRequest& head)
    {
        auto count = std::count_if(head.begin(), head.end(),
            [](const auto& field) { return Poco::icompare(field.first, "Host") == 0; });
        return count == 1 || (count == 0 && head.getVersion() == "HTTP/1.0");
    }

    bool isSupported(const Poco::Net::HTTPRequest& head, const internal::body_framing& framing)
    {
        bool isKnownVersion = head.getVersion() == "HTTP/1.1" || head.getVersion() == "HTTP/1.0";
        bool isChunkedHttp10 = head.getVersion() == "HTTP/1.0" && framing.kind == internal::framing::chunked;
        return isKnownVersion && !isChunkedHttp10 && hasValidHost(head);
    }

    body_reader::kind toKind(internal::framing framing)
    {
        switch (framing) {
        case internal::framing::fixedLength:
            return body_reader::kind::fixedLength;
        case internal::framing::chunked:
            return body_reader::kind::chunked;
        default:
            return body_reader::kind::none;
        }
    }

    bool hasNoBody(int status, std::string_view requestMethod)
    {
        return requestMethod == "HEAD" || status == 204 || status == 304;
    }

}

body_reader::body_reader(channel& connection, kind framing, std::uint64_t length)
    : m_connection(connection)
    , m_kind(framing)
    , m_bytesLeft(length)
{
}

read_status body_reader::readInto(
    std::string& out, std::size_t maxBytes, deadline limit, watched_socket watched)
{
    switch (m_kind) {
    case kind::fixedLength:
        return readFixed(out, maxBytes, limit, watched);
    case kind::chunked:
        return readChunked(out, maxBytes, limit, watched);
    case kind::none:
        break;
    }
    return read_status::complete;
}

read_status body_reader::takeBytes(
    std::string& out, std::size_t maxBytes, deadline limit, watched_socket watched)
{
    while (m_bytesLeft > 0) {
        if (out.size() >= maxBytes) {
            return read_status::bodyTooLarge;
        }
        auto bytes = m_connection.buffered();
        if (bytes.empty()) {
            auto status = m_connection.fill(limit, watched);
            if (status != io_status::ok) {
                return toReadStatus(status, true);
            }
            continue;
        }
        auto room = std::min<std::uint64_t>(m_bytesLeft, maxBytes - out.size());
        auto count = static_cast<std::size_t>(std::min<std::uint64_t>(room, bytes.size()));
        out.append(bytes.substr(0, count));
        m_connection.consume(count);
        m_bytesLeft -= count;
    }
    return read_status::complete;
}

read_status body_reader::readFixed(
    std::string& out, std::size_t maxBytes, deadline limit, watched_socket watched)
{
    return takeBytes(out, maxBytes, limit, watched);
}

read_status body_reader::readLine(std::string& line, deadline limit, watched_socket watched)
{
    while (true) {
        auto bytes = m_connection.buffered();
        auto end = bytes.find('\n');
        if (end != std::string_view::npos) {
            if (end == 0 || bytes[end - 1] != '\r' || end > maxLineBytes) {
                return read_status::malformed;
            }
            line.assign(bytes.substr(0, end - 1));
            m_connection.consume(end + 1);
            return read_status::complete;
        }
        if (bytes.size() > maxLineBytes) {
            return read_status::malformed;
        }
        auto status = m_connection.fill(limit, watched);
        if (status != io_status::ok) {
            return toReadStatus(status, true);
        }
    }
}

read_status body_reader::readChunkSize(deadline limit, watched_socket watched)
{
    std::string line;
    auto status = readLine(line, limit, watched);
    if (status != read_status::complete) {
        return status;
    }
    std::string_view digits = std::string_view(line).substr(0, line.find(';'));
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), m_bytesLeft, 16);
    if (digits.empty() || error != std::errc() || end != digits.data() + digits.size()) {
        return read_status::malformed;
    }
    return read_status::complete;
}

read_status body_reader::readChunked(
    std::string& out, std::size_t maxBytes, deadline limit, watched_socket watched)
{
    std::string line;
    while (true) {
        read_status status = read_status::complete;
        switch (m_chunkState) {
        case chunk_state::size:
            status = readChunkSize(limit, watched);
            if (status == read_status::complete) {
                m_chunkState = m_bytesLeft == 0 ? chunk_state::trailer : chunk_state::data;
            }
            break;
        case chunk_state::data:
            status = takeBytes(out, maxBytes, limit, watched);
            if (status == read_status::complete) {
                m_chunkState = chunk_state::dataEnd;
            }
            break;
        case chunk_state::dataEnd:
            status = readLine(line, limit, watched);
            if (status == read_status::complete) {
                status = line.empty() ? status : read_status::malformed;
                m_chunkState = chunk_state::size;
            }
            break;
        case chunk_state::trailer:
            status = readLine(line, limit, watched);
            if (status == read_status::complete && line.empty()) {
                return read_status::complete;
            }
            break;
        }
        if (status != read_status::complete) {
            return status;
        }
    }
}

read_status readRequest(
    channel& connection, request_message& message, const read_limits& limits, deadline limit)
{
    auto status = readHead(connection, message.head, limits, limit, {});
    if (status != read_status::complete) {
        return status;
    }
    auto framing = internal::parseFraming(message.head);
    if (!framing || !isSupported(message.head, *framing)) {
        return read_status::malformed;
    }
    if (framing->kind == internal::framing::fixedLength && framing->length > limits.maxBodyBytes) {
        return read_status::bodyTooLarge;
    }
    bool hasBody = framing->kind != internal::framing::none;
    if (hasBody && Poco::icompare(message.head.get("Expect", ""), "100-continue") == 0) {
        connection.write("HTTP/1.1 100 Continue\r\n\r\n", limit);
    }
    message.body.clear();
    body_reader body(connection, toKind(framing->kind), framing->length);
    return body.readInto(message.body, limits.maxBodyBytes, limit, {});
}

read_status readResponseHead(channel& connection, Poco::Net::HTTPResponse& head,
    std::string_view requestMethod, const read_limits& limits, deadline limit, watched_socket watched,
    std::optional<body_reader>& body)
{
    for (std::size_t skipped = 0; skipped < maxInformationalResponses; ++skipped) {
        auto status = readHead(connection, head, limits, limit, watched);
        if (status != read_status::complete) {
            return status == read_status::closedBeforeStart && skipped > 0 ? read_status::truncated : status;
        }
        int code = head.getStatus();
        if (code == 101 || code < 100) {
            return read_status::malformed;
        }
        if (code < 200) {
            continue;
        }
        auto framing = internal::parseFraming(head);
        if (!framing) {
            return read_status::malformed;
        }
        if (hasNoBody(code, requestMethod)) {
            body.emplace(connection, body_reader::kind::none, 0);
            return read_status::complete;
        }
        if (framing->kind == internal::framing::none) {
            return read_status::malformed;
        }
        body.emplace(connection, toKind(framing->kind), framing->length);
        return read_status::complete;
    }
    return read_status::malformed;
}

read_status readResponse(channel& connection, response_message& message, std::string_view requestMethod,
    const read_limits& limits, deadline limit, watched_socket watched)
{
    std::optional<body_reader> body;
    auto status = readResponseHead(connection, message.head, requestMethod, limits, limit, watched, body);
    if (status != read_status::complete) {
        return status;
    }
    message.body.clear();
    return body->readInto(message.body, limits.maxBodyBytes, limit, watched);
}

}
