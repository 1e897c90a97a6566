#include "marlsill/base/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <span>
#include <xxhash.h>

namespace marlsill {

namespace {

    std::string toHex(std::span<const unsigned char> bytes)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        text.reserve(bytes.size() * 2);
        for (unsigned char byte : bytes) {
            text.push_back(digits[byte >> 4]);
            text.push_back(digits[byte & 0xF]);
        }
        return text;
    }

}

std::uint64_t fastHash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string sha256Hex(std::string_view data)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    EVP_Digest(data.data(), data.size(), digest, &length, EVP_sha256(), nullptr);
    return toHex({ digest, length });
}

std::string hmacSha256Hex(std::string_view key, std::string_view data)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
        reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest, &length);
    return toHex({ digest, length });
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}
