#pragma once

// The target of a request: its path and query parameters.
//
//     auto target = http::parseTarget(request.head.getURI());
//     if (!target)
//         return http::makeResponse(400, "text/plain", "malformed request target\n");
//     auto zone = target->parameter("zone");

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marlsill::http {

// A parsed request target, percent-decoded.
struct request_target {
    std::string path;
    std::vector<std::pair<std::string, std::string>> parameters;

    // Returns the value of the first query parameter with this name; empty if there is none.
    std::string parameter(std::string_view name) const;
};

// Parses a request target. Returns std::nullopt if it is malformed, such as "/a?b=%zz".
std::optional<request_target> parseTarget(const std::string& uri);

// Percent-encodes all characters of `text` that are not unreserved in RFC 3986, for use in a path segment or
// a query parameter.
std::string percentEncode(std::string_view text);

}
