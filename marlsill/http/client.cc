#include "marlsill/http/client.h"

#include "marlsill/http/message_writer.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <charconv>

namespace marlsill::http {

request_message makeRequest(std::string_view method, const std::string& target, std::string body)
{
    request_message request;
    request.head.setMethod(std::string(method));
    request.head.setURI(target);
    request.head.setVersion("HTTP/1.1");
    if (!body.empty()) {
        request.head.setContentType("application/json");
    }
    request.body = std::move(body);
    return request;
}

std::optional<response_message> exchange(const Poco::Net::SocketAddress& address, request_message request,
    deadline limit, reason& why, watched_socket watched)
{
    constexpr read_limits limits { .maxBodyBytes = 64 * 1024 * 1024 };
    auto connection = channel::connect(address, limit);
    if (!connection) {
        return fail(why, reason_code::unavailable, "no connection to " + address.toString());
    }
    if (!request.head.has("Host")) {
        request.head.setHost(address.toString());
    }
    request.head.set("Connection", "close");
    if (connection->write(serialize(request), limit) != io_status::ok) {
        return fail(why, reason_code::uncertain,
            "connection to " + address.toString() + " failed while sending the request");
    }
    response_message response;
    auto status = readResponse(*connection, response, request.head.getMethod(), limits, limit, watched);
    if (status != read_status::complete) {
        return fail(why, reason_code::uncertain, "no complete response from " + address.toString());
    }
    return response;
}

std::optional<Poco::Net::SocketAddress> parseAddress(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    Poco::Net::IPAddress host;
    if (!Poco::Net::IPAddress::tryParse(std::string(text.substr(0, colon)), host)) {
        return std::nullopt;
    }
    auto digits = text.substr(colon + 1);
    Poco::UInt16 port = 0;
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits.empty() || error != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return Poco::Net::SocketAddress(host, port);
}

}
