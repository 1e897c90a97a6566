#include "marlsill/http/request_target.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

namespace marlsill::http {

std::string request_target::parameter(std::string_view name) const
{
    for (const auto& [key, value] : parameters) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

std::optional<request_target> parseTarget(const std::string& uri)
{
    try {
        Poco::URI parsed(uri);
        return request_target { parsed.getPath(), parsed.getQueryParameters() };
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view hexDigits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-._~";
    std::string encoded;
    for (char character : text) {
        auto byte = static_cast<unsigned char>(character);
        bool isAlphanumeric
            = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z');
        if (isAlphanumeric || unreserved.find(character) != std::string_view::npos) {
            encoded += character;
        } else {
            encoded += { '%', hexDigits[byte >> 4U], hexDigits[byte & 0xFU] };
        }
    }
    return encoded;
}

}
