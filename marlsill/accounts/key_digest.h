#pragma once

// Digests of the keys with which callers authenticate. Keys are compared, kept and relayed as digests only.
//
//     auto digest = digestOf(key);
//     log(toShortHex(digest));

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marlsill::accounts {

// The first half of the SHA-256 of a key. Nobody can find another key with the same one.
using key_digest = std::array<std::uint8_t, 16>;

// Returns the digest of a key. The time depends on the length of the key only.
key_digest digestOf(std::string_view key);

// Returns a digest as 32 lower-case hexadecimal digits.
std::string toHex(const key_digest& digest);

// Returns the first 8 hexadecimal digits of a digest, which logs may name.
std::string toShortHex(const key_digest& digest);

// Parses what toHex() returns. Returns std::nullopt for anything else.
std::optional<key_digest> parseDigest(std::string_view hex);

}
