#pragma once

// Strict validation of a raw header block before POCO parses it, and of the fields that frame the body.
//
// POCO accepts bare line feeds, folded lines and repeated Content-Length fields. Each of them lets two
// parsers disagree about where a message ends, which enables request smuggling.

#include <Poco/Net/HTTPMessage.h>
#include <optional>
#include <string_view>

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

// Returns the framing that Content-Length and Transfer-Encoding declare, or std::nullopt if they are
// malformed, repeated or both present. Without either field the kind is `none`.
std::optional<body_framing> parseFraming(const Poco::Net::HTTPMessage& message);

}
