#pragma once

// Reads HTTP/1.1 messages from a channel and detects truncated ones.
//
// POCO's client session reports a truncated response as a complete but shorter one, so bodies are framed
// by this library. Responses and bodies are decoded by the parsers of message_parser.h, so that event-driven
// connections and blocking ones agree on every message.
//
//     response_message response;
//     auto status = readResponse(connection, response, "GET", { .maxBodyBytes = 1 << 20 }, limit);
//     if (status != read_status::complete)
//         return badGateway(status);

#include "marlsill/base/time.h"
#include "marlsill/http/channel.h"
#include "marlsill/http/message.h"
#include "marlsill/http/message_parser.h"

#include <optional>
#include <string>
#include <string_view>

namespace marlsill::http {

// The result of reading one message.
enum class read_status {
    complete,
    closedBeforeStart, // The connection was closed or reset before the first byte of the message.
    truncated, // The connection was closed in the middle of the message.
    timedOut,
    cancelled, // The watched socket was closed by its peer.
    malformed,
    bodyTooLarge, // The body exceeds the limit; the part read so far is in the message.
    failed, // The connection was reset in the middle of the message.
};

// Reads and decodes one message body in parts. The channel must outlive it.
class body_reader {
public:
    body_reader(channel& connection, body_decoder decoder);

    // Appends decoded bytes to `out`. Returns `complete` after the last byte, `bodyTooLarge` if `out` has
    // reached `maxBytes` and the body continues, and any other status if the read failed or the body is
    // malformed.
    read_status readInto(std::string& out, std::size_t maxBytes, deadline limit, watched_socket watched);

private:
    channel& m_connection;
    body_decoder m_decoder;
};

// Reads a complete request. After `malformed` the connection must be closed, following a 400 response. If the
// request expects 100-continue, that response is written before the body is read.
read_status readRequest(
    channel& connection, request_message& message, const read_limits& limits, deadline limit);

// Reads the header block of a response and skips 1xx responses. On `complete`, `body` is set up to read the
// body. A response whose body is delimited by the closing of the connection is `malformed`, because its
// truncation could not be detected.
read_status readResponseHead(channel& connection, Poco::Net::HTTPResponse& head,
    std::string_view requestMethod, const read_limits& limits, deadline limit, watched_socket watched,
    std::optional<body_reader>& body);

// Reads a complete response of at most limits.maxBodyBytes.
read_status readResponse(channel& connection, response_message& message, std::string_view requestMethod,
    const read_limits& limits, deadline limit, watched_socket watched = {});

}
