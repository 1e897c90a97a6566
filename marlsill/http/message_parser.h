#pragma once

// Incremental HTTP/1.1 parsers for event-driven connections.
//
//     request_parser parser(limits);
//     buffer.append(received);
//     if (parser.parse(buffer, request) == parse_status::complete)
//         serve(std::move(request));
//
// Message framing is validated as strictly as in message_reader.h. A parser removes the bytes that it has
// parsed from the front of the buffer.

#include "marlsill/http/message_reader.h"

#include <cstdint>
#include <string>

namespace marlsill::http {

// The result of one call of a parser.
enum class parse_status {
    needMore,
    complete,
    malformed,
    headTooLarge,
    bodyTooLarge,
};

// Returns a status as text, for logs.
std::string_view toText(parse_status status);

// Incrementally decodes one message body.
class body_decoder {
public:
    // Decodes an empty body.
    body_decoder() = default;

    // Decodes a body of `length` bytes.
    static body_decoder withLength(std::uint64_t length);

    // Decodes a body with the chunked transfer coding.
    static body_decoder withChunks();

    // Decodes a body that extends until the connection is closed.
    static body_decoder untilClose();

    // Removes encoded bytes from the front of `buffer` and appends the decoded ones to `out`. Returns
    // `bodyTooLarge` as soon as it is known that `out` would exceed `maxBytes`, and `malformed` if chunk
    // sizes, extensions and trailers take up far more than the data.
    parse_status decode(std::string& buffer, std::string& out, std::size_t maxBytes);

    // Returns whether the body ends only when the connection is closed.
    bool isCloseDelimited() const { return m_state == state::untilClose; }

private:
    enum class state {
        done,
        fixed,
        chunkSize,
        chunkData,
        chunkDataEnd,
        trailer,
        untilClose,
    };

    parse_status decodeLine(std::string& buffer, std::size_t decodedBytes);
    parse_status takeBytes(std::string& buffer, std::string& out, std::size_t maxBytes);

    state m_state = state::done;
    std::uint64_t m_bytesLeft = 0;
    std::size_t m_framingBytes = 0; // Of chunk sizes, extensions and trailers.
    int m_trailerFields = 0;
};

// Parses the requests of one connection in sequence.
class request_parser {
public:
    // Continues parsing with the bytes in `buffer`. After `complete` the parser is ready for the next
    // request. After an error (any status but `needMore` and `complete`) the connection must be closed, as
    // the start of the next request is unknown.
    parse_status parse(std::string& buffer, request_message& message, const read_limits& limits);

    // Returns whether a request with a body was read that expects 100-continue, and clears that state.
    bool takeExpectContinue();

    // Returns whether the header block of a request has been parsed and its body is incomplete.
    bool isReadingBody() const { return m_hasHead; }

private:
    bool m_hasHead = false;
    bool m_expectsContinue = false;
    body_decoder m_body;
};

// Parses one response.
class response_parser {
public:
    // `isHead` tells that the request method was HEAD, so that the response has no body.
    explicit response_parser(bool isHead)
        : m_isHead(isHead)
    {
    }

    // Continues parsing with the bytes in `buffer`. Skips a few 1xx responses, except that 101 is malformed.
    parse_status parse(std::string& buffer, response_message& message, const read_limits& limits);

    // Returns whether the header block of the final response has been parsed.
    bool hasHead() const { return m_hasHead; }

    // Returns whether an orderly close of the connection at this point completes the response.
    bool isCompleteAtClose() const { return m_hasHead && m_body.isCloseDelimited(); }

    // Returns whether the body is delimited by the closing of the connection, which therefore cannot be
    // reused.
    bool isCloseDelimited() const { return m_hasHead && m_body.isCloseDelimited(); }

private:
    parse_status parseHead(std::string& buffer, response_message& message, const read_limits& limits);

    bool m_isHead;
    bool m_hasHead = false;
    int m_informationalResponses = 0;
    body_decoder m_body;
};

}
