#pragma once

// A blocking HTTP client for control traffic. Each call opens its own connection, is bounded by one deadline
// and is never retried.
//
//     reason why;
//     auto response = exchange(address, makeRequest("GET", "/vms"), limit, why);

#include "marlsill/base/reason.h"
#include "marlsill/base/time.h"
#include "marlsill/http/message_reader.h"

#include <Poco/Net/SocketAddress.h>
#include <optional>
#include <string>
#include <string_view>

namespace marlsill::http {

// Builds an HTTP/1.1 request. A non-empty body is labelled as JSON.
request_message makeRequest(std::string_view method, const std::string& target, std::string body = {});

// Sends one request on a new connection and returns the complete response. On failure, `why.code` is
// `unavailable` if no connection was established, so that the request cannot have been executed, and
// `uncertain` if it may have been. Thread safe.
std::optional<response_message> exchange(const Poco::Net::SocketAddress& address, request_message request,
    deadline limit, reason& why, watched_socket watched = {});

// Parses "ip:port". Returns std::nullopt for host names, missing ports and malformed numbers, as names are
// not resolved.
std::optional<Poco::Net::SocketAddress> parseAddress(std::string_view text);

}
