#include "marlsill/dedup/idempotency_key.h"

#include <charconv>

namespace marlsill::dedup {

namespace {

    constexpr std::size_t incarnationLength = 16;

}

key_window windowOf(wall_deadline now, std::chrono::milliseconds windowLength)
{
    return static_cast<key_window>(now.time_since_epoch() / windowLength);
}

std::string keyPrefix(std::string_view incarnation, key_window window)
{
    return std::string(incarnation) + "." + std::to_string(window) + ".";
}

std::optional<parsed_key> parseKey(std::string_view key)
{
    bool hasIncarnation = key.size() > incarnationLength && key[incarnationLength] == '.'
        && key.find_first_not_of("0123456789abcdef") == incarnationLength;
    if (!hasIncarnation || key.size() > maxKeyLength) {
        return std::nullopt;
    }
    parsed_key parsed { key.substr(0, incarnationLength) };
    auto rest = key.substr(incarnationLength + 1);
    auto dot = rest.find('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == rest.size()) {
        return std::nullopt;
    }
    auto [end, error] = std::from_chars(rest.data(), rest.data() + dot, parsed.window);
    if (error != std::errc() || end != rest.data() + dot) {
        return std::nullopt;
    }
    parsed.unique = rest.substr(dot + 1);
    return parsed;
}

}
