#pragma once

// Reads a field of a header block as it was sent, for tests.
//
//     auto id = headerField(head, "X-Request-Id");

#include <string>

namespace marlsill::testing {

// Returns the value of the first field of this name, spelled alike, or an empty string.
inline std::string headerField(const std::string& head, const std::string& name)
{
    auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return {};
    }
    start += name.size() + 4;
    return head.substr(start, head.find("\r\n", start) - start);
}

}
