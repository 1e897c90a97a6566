#pragma once

// Reads HTTP/1.1 messages from a channel and detects truncated ones.
//
// POCO's client session reports a truncated response as a complete but shorter one, so bodies are framed
// here. POCO only parses the header block, after a strict validation of its raw bytes.
//
//     response_message response;
//     auto status = readResponse(connection, response, "GET", { .maxBodyBytes = 1 << 20 }, limit);
//     if (status != read_status::complete)
//         return badGateway(status);

#include "marlsill/base/time.h"
#include "marlsill/http/channel.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace marlsill::http {

// A request with its complete body, after removal of any transfer coding.
struct request_message {
    Poco::Net::HTTPRequest head;
    std::string body;
};

// A response with its complete body, after removal of any transfer coding.
struct response_message {
    Poco::Net::HTTPResponse head;
    std::string body;
};

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

// Size limits of one message.
struct read_limits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
};

// Reads and decodes one message body in parts. The channel must outlive it.
class body_reader {
public:
    enum class kind {
        none,
        fixedLength,
        chunked,
    };

    // `length`, in bytes, is used for fixedLength only.
    body_reader(channel& connection, kind framing, std::uint64_t length);

    // Appends decoded bytes to `out`. Returns `complete` after the last byte, `bodyTooLarge` if `out` has
    // reached `maxBytes` and the body continues, and any other status if the read failed or the body is
    // malformed.
    read_status readInto(std::string& out, std::size_t maxBytes, deadline limit, watched_socket watched);

private:
    enum class chunk_state {
        size,
        data,
        dataEnd,
        trailer,
    };

    read_status readFixed(std::string& out, std::size_t maxBytes, deadline limit, watched_socket watched);
    read_status readChunked(std::string& out, std::size_t maxBytes, deadline limit, watched_socket watched);
    read_status readLine(std::string& line, deadline limit, watched_socket watched);
    read_status readChunkSize(deadline limit, watched_socket watched);
    read_status takeBytes(std::string& out, std::size_t maxBytes, deadline limit, watched_socket watched);

    channel& m_connection;
    kind m_kind;
    std::uint64_t m_bytesLeft;
    chunk_state m_chunkState = chunk_state::size;
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
