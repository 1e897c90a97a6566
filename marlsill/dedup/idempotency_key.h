#pragma once

// Idempotency keys. A key names the daemon incarnation that alone may dispatch its request.
//
//     std::string prefix = keyPrefix(incarnation, window); // Handed out to callers by the directory.
//     auto parsed = parseKey(prefix + "booking-17");
//     if (parsed && parsed->incarnation == ownIncarnation)
//         run(*parsed);

#include "marlsill/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marlsill::dedup {

// Number of a window: a period of wall-clock time in which the directory hands out the same prefix.
using key_window = std::uint32_t;

constexpr std::chrono::milliseconds defaultWindowLength = std::chrono::minutes(10);

// Returns the window that contains `now`. Depends on the wall clock only, so that a VM can compute the prefix
// of another VM's incarnation.
key_window windowOf(wall_deadline now, std::chrono::milliseconds windowLength = defaultWindowLength);

// The parts of a key of the form INCARNATION.WINDOW.UNIQUE. The string views refer to the parsed text.
struct parsed_key {
    std::string_view incarnation;
    key_window window = 0;
    std::string_view unique;
};

// Maximum length of a key in bytes.
constexpr std::size_t maxKeyLength = 200;

// Returns the prefix of an incarnation's keys in a window.
std::string keyPrefix(std::string_view incarnation, key_window window);

// Parses a key. Returns std::nullopt if it is longer than maxKeyLength or not of the form of parsed_key.
std::optional<parsed_key> parseKey(std::string_view key);

}
