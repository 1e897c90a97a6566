#pragma once

// Strict parsing of header blocks, and of the fields that frame the body.
//
//     Poco::Net::HTTPRequest head;
//     if (!internal::parseHead(block, head, maxFields))
//         return parse_status::malformed;
//
// POCO accepts bare line feeds, folded lines and repeated Content-Length fields, and replaces RFC 2047
// encoded words by what they encode, which may be a line break. Each of them lets two parsers disagree about
// where a message ends, which enables request smuggling. POCO therefore parses the start line only, and the
// field values are kept as they are.

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPResponse.h>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace marlsill::http::internal {

// How a body is delimited (RFC 9112, section 6).
enum class framing {
    none,
    fixedLength,
    chunked,
    untilClose,
};

// The framing of one message body.
struct body_framing {
    framing kind = framing::none;
    std::uint64_t length = 0; // Bytes; used for fixedLength only.
};

// Returns whether `block` is a start line, field lines and a final empty line, all of which end in CR LF and
// contain no control characters except tabs, and whether every field name is a token (RFC 9110,
// section 5.6.2).
bool isValidHeaderBlock(std::string_view block);

// Returns whether the first line of a header block is an HTTP/1.x status line with a status of three digits
// from 100 to 599 (RFC 9112, section 4).
bool hasValidStatusLine(std::string_view block);

// Returns whether `line`, without its line end, is a field line whose name is a token (RFC 9110,
// section 5.6.2) and that contains no control characters except tabs.
bool isFieldLine(std::string_view line);

// Returns whether a field with this value can be written without ending its line (RFC 9110, section 5.5).
bool isFieldValue(std::string_view value);

// Adds the fields of a valid header block to `head`, with the bytes of their values unchanged except for the
// white space around them. Returns false if there are more than `maxFields`.
bool addFields(std::string_view block, Poco::Net::HTTPMessage& head, int maxFields);

// Replaces `head` by the header block. Returns false if it is malformed or has more than `maxFields` fields.
template <typename Head> bool parseHead(std::string_view block, Head& head, int maxFields)
{
    if (!isValidHeaderBlock(block)) {
        return false;
    }
    if (std::is_same_v<Head, Poco::Net::HTTPResponse> && !hasValidStatusLine(block)) {
        return false;
    }
    auto startLine = std::string(block.substr(0, block.find("\r\n"))) + "\r\n\r\n";
    try {
        Poco::MemoryInputStream stream(startLine.data(), static_cast<std::streamsize>(startLine.size()));
        head.clear();
        head.read(stream);
    } catch (const Poco::Exception&) {
        return false;
    }
    return addFields(block, head, maxFields);
}

// Returns the framing that Content-Length and Transfer-Encoding declare, or std::nullopt if they are
// malformed, repeated or both present. Without either field the kind is `none`.
std::optional<body_framing> parseFraming(const Poco::Net::HTTPMessage& message);

}
