#include "marlsill/http/message_reader.h"

#include "marlsill/http/internal/header_check.h"

#include <Poco/String.h>
#include <algorithm>

namespace marlsill::http {

namespace {

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

    read_status toReadStatus(parse_status status)
    {
        switch (status) {
        case parse_status::complete:
            return read_status::complete;
        case parse_status::bodyTooLarge:
            return read_status::bodyTooLarge;
        default:
            return read_status::malformed;
        }
    }

}

body_reader::body_reader(channel& connection, body_decoder decoder)
    : m_connection(connection)
    , m_decoder(decoder)
{
}

read_status body_reader::readInto(
    std::string& out, std::size_t maxBytes, deadline limit, watched_socket watched)
{
    while (true) {
        std::size_t consumed = 0;
        auto parsed = m_decoder.decodeUpTo(m_connection.buffered(), consumed, out, maxBytes);
        m_connection.consume(consumed);
        if (parsed != parse_status::needMore) {
            return toReadStatus(parsed);
        }
        auto status = m_connection.fill(limit, watched);
        if (status != io_status::ok) {
            return toReadStatus(status, true);
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
    body_reader body(connection, body_decoder::forFraming(*framing));
    return body.readInto(message.body, limits.maxBodyBytes, limit, {});
}

read_status readResponseHead(channel& connection, Poco::Net::HTTPResponse& head,
    std::string_view requestMethod, const read_limits& limits, deadline limit, watched_socket watched,
    std::optional<body_reader>& body)
{
    response_parser parser(requestMethod == "HEAD");
    bool hasStarted = false;
    while (true) {
        hasStarted = hasStarted || !connection.buffered().empty();
        std::size_t consumed = 0;
        auto parsed = parser.parseHead(connection.buffered(), consumed, head, limits);
        connection.consume(consumed);
        if (parsed == parse_status::complete && !parser.isCloseDelimited()) {
            body.emplace(connection, parser.body());
            return read_status::complete;
        }
        if (parsed != parse_status::needMore) {
            return read_status::malformed;
        }
        auto status = connection.fill(limit, watched);
        if (status != io_status::ok) {
            return toReadStatus(status, hasStarted);
        }
    }
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
