#pragma once

// Parses HTTP/1.1 messages from bytes as they arrive, for event-driven connections.
//
//     request_parser parser(limits);
//     buffer.append(received);
//     if (parser.parse(buffer, request) == parse_status::complete)
//         serve(std::move(request));
//
// Framing is checked as strictly as in message_reader.h. Parsers consume what they used from the buffer.

#include "marlsill/http/message_reader.h"

#include <cstdint>
#include <string>

namespace marlsill::http {

// How far a message has been parsed.
enum class parse_status {
    needMore,
    complete,
    malformed,
    headTooLarge,
    bodyTooLarge,
};

// Decodes one body from a buffer.
class body_decoder {
public:
    // Starts a body that is empty.
    body_decoder() = default;

    // Starts a body of `length` bytes.
    static body_decoder ofLength(std::uint64_t length);

    // Starts a chunked body.
    static body_decoder ofChunks();

    // Starts a body that ends with its connection.
    static body_decoder untilEnd();

    // Moves decoded bytes from `buffer` to `out`, which may grow to `maxBytes`.
    parse_status decode(std::string& buffer, std::string& out, std::size_t maxBytes);

    // Returns whether an orderly end of the connection completes the body.
    bool endsWithConnection() const { return m_part == part::untilEnd; }

private:
    enum class part {
        none,
        fixed,
        chunkSize,
        chunkData,
        chunkEnd,
        trailer,
        untilEnd,
    };

    parse_status decodeLine(std::string& buffer);
    parse_status take(std::string& buffer, std::string& out, std::size_t maxBytes);

    part m_part = part::none;
    std::uint64_t m_left = 0;
};

// Parses the requests of one connection, one after the other.
class request_parser {
public:
    // Continues with the bytes in `buffer`. On `complete` the parser is ready for the next request. After
    // any other status but `needMore` the connection cannot be used any more.
    parse_status parse(std::string& buffer, request_message& message, const read_limits& limits);

    // Returns whether a head was read whose sender waits for 100-continue; asking resets it.
    bool takeContinueWish();

    // Returns whether a part of a message has been read.
    bool isInside() const { return m_hasHead; }

private:
    bool m_hasHead = false;
    bool m_wantsContinue = false;
    body_decoder m_body;
};

// Parses one answer to a request of a given method.
class response_parser {
public:
    explicit response_parser(bool isHead)
        : m_isHead(isHead)
    {
    }

    // Continues with the bytes in `buffer`, passing over 1xx answers.
    parse_status parse(std::string& buffer, response_message& message, const read_limits& limits);

    // Tells that the connection has ended in an orderly way. Returns whether that completes the answer.
    bool finish() const { return m_hasHead && m_body.endsWithConnection(); }

    // Returns whether the answer has no stated length, so that its connection cannot be used again.
    bool endsWithConnection() const { return m_hasHead && m_body.endsWithConnection(); }

private:
    parse_status parseHead(std::string& buffer, response_message& message, const read_limits& limits);

    bool m_isHead;
    bool m_hasHead = false;
    body_decoder m_body;
};

}
