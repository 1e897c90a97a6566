#pragma once

// Hash functions: a fast one for placement and lookup, and SHA-256 for content and proof.
//
//     std::uint64_t score = fastHash("node-1", fastHash("service"));
//     std::string digest = sha256Hex("content");

#include <cstdint>
#include <string>
#include <string_view>

namespace marlsill {

// Returns the 64-bit XXH3 hash of `data` under `seed`. It is stable across processes and releases.
std::uint64_t fastHash(std::string_view data, std::uint64_t seed = 0);

// Returns the SHA-256 digest of `data` as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

// Returns the HMAC-SHA-256 of `data` under `key` as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view key, std::string_view data);

// Compares two strings in a time that depends on their lengths only.
bool equalInConstantTime(std::string_view left, std::string_view right);

}
