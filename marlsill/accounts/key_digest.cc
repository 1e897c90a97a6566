#include "marlsill/accounts/key_digest.h"

#include <algorithm>
#include <openssl/evp.h>

namespace marlsill::accounts {

namespace {

    constexpr std::string_view hexDigits = "0123456789abcdef";
    constexpr std::size_t shortHexDigits = 8;

}

key_digest digestOf(std::string_view key)
{
    unsigned char whole[EVP_MAX_MD_SIZE];
    EVP_Digest(key.data(), key.size(), whole, nullptr, EVP_sha256(), nullptr);
    key_digest digest;
    std::copy_n(std::begin(whole), digest.size(), digest.begin());
    return digest;
}

std::string toHex(const key_digest& digest)
{
    std::string text;
    text.reserve(2 * digest.size());
    for (auto byte : digest) {
        text.push_back(hexDigits[byte >> 4]);
        text.push_back(hexDigits[byte & 0xF]);
    }
    return text;
}

std::string toShortHex(const key_digest& digest) { return toHex(digest).substr(0, shortHexDigits); }

std::optional<key_digest> parseDigest(std::string_view hex)
{
    key_digest digest;
    if (hex.size() != 2 * digest.size()) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < digest.size(); ++index) {
        auto high = hexDigits.find(hex[2 * index]);
        auto low = hexDigits.find(hex[2 * index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        digest[index] = static_cast<std::uint8_t>(high << 4 | low);
    }
    return digest;
}

}
