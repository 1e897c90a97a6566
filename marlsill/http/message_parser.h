#pragma once

// Incremental HTTP/1.1 parsers for event-driven connections.
//
//     request_parser parser(limits);
//     buffer.append(received);
//     if (parser.parse(buffer, request) == parse_status::complete)
//         serve(std::move(request));
//
// The blocking readers of message_reader.h use the same parsers. A parser removes the bytes that it has
// parsed from the front of the buffer, or returns how many they are.

#include "marlsill/http/message.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marlsill::http {

namespace internal {

    struct body_framing;

}

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

    // Decodes a body with the framing that its head declares; without any it is empty.
    static body_decoder forFraming(const internal::body_framing& framing);

    // Decodes a body that extends until the connection is closed.
    static body_decoder untilClose();

    // Decodes `bytes`, appends the result to `out` and sets `consumed` to the number of bytes that are done
    // with. Returns `bodyTooLarge` as soon as it is known that `out` would exceed `maxBytes`, and `malformed`
    // if chunk sizes, extensions and trailers are malformed or take up far more than the data.
    parse_status decode(
        std::string_view bytes, std::size_t& consumed, std::string& out, std::size_t maxBytes);

    // Does the same, but returns `bodyTooLarge` only once `out` has reached `maxBytes` and the body goes on.
    // Decoding can continue after it.
    parse_status decodeUpTo(
        std::string_view bytes, std::size_t& consumed, std::string& out, std::size_t maxBytes);

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

    parse_status decodeLine(std::string_view bytes, std::size_t& consumed);
    parse_status takeBytes(
        std::string_view bytes, std::size_t& consumed, std::string& out, std::size_t maxBytes);

    state m_state = state::done;
    std::uint64_t m_bytesLeft = 0; // Of a body with a length, or of a chunk.
    std::size_t m_decodedBytes = 0; // In all.
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

    // Continues parsing with `bytes`, the ones that follow those consumed so far, as far as the end of the
    // final header block. Sets `consumed`; `head` is valid and body() is known after `complete`.
    parse_status parseHead(std::string_view bytes, std::size_t& consumed, Poco::Net::HTTPResponse& head,
        const read_limits& limits);

    // Returns the decoder of the body.
    const body_decoder& body() const { return m_body; }

    // Returns whether the header block of the final response has been parsed.
    bool hasHead() const { return m_hasHead; }

    // Returns whether an orderly close of the connection at this point completes the response.
    bool isCompleteAtClose() const { return m_hasHead && m_body.isCloseDelimited(); }

    // Returns whether the body is delimited by the closing of the connection, which therefore cannot be
    // reused.
    bool isCloseDelimited() const { return m_hasHead && m_body.isCloseDelimited(); }

private:
    bool m_isHead;
    bool m_hasHead = false;
    int m_informationalResponses = 0;
    body_decoder m_body;
};

}
