#pragma once

// Parsing of "ip:port" addresses.

#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <optional>
#include <string_view>

namespace marlsill::gateway {

// Parses an IPv4 address and port such as "10.0.0.7:8080" into a TCP endpoint. Returns std::nullopt for host
// names, a missing or zero port, and malformed numbers.
inline std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto digits = text.substr(colon + 1);
    unsigned short port = 0;
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size() || port == 0) {
        return std::nullopt;
    }
    boost::system::error_code failed;
    auto address = boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), failed);
    if (failed) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

}
