#pragma once

// Tells the response to a request from other responses on the same connection, such as second copies of
// earlier ones.
//
//     exchange_options options { .matchesRequest = [&](const auto& response) {
//         return isResponseTo(response, fields, request.id, wasReused);
//     } };
//
// Pure functions; safe to call from any thread.

#include "marlsill/gateway/wire_fields.h"
#include "marlsill/http/message_reader.h"

#include <span>
#include <string>
#include <string_view>

namespace marlsill::gateway {

// Returns whether a response belongs to the request with this id, which may be empty. `wasReused`: the
// connection has carried other requests.
bool isResponseTo(const http::response_message& response, const wire_fields& wire,
    const std::string& requestId, bool wasReused);

// Returns whether the response to a request can be told apart, on a connection that has carried others, from
// an earlier response that the upstream repeats. Its id does, unless the request has none or has been at this
// upstream before. `triedUpstreams` has one entry for each attempt, including the present one.
bool mayReuseConnection(
    const std::string& requestId, std::span<const std::string> triedUpstreams, std::string_view upstream);

// Returns whether a peer's response belongs to one sending of a relayed request. `namedSending` is what the
// response names; builds that do not know the field name none, and a new connection carries no other
// response.
bool isRelayedResponseTo(const http::response_message& response, const wire_fields& wire,
    const std::string& requestId, std::string_view sending, bool wasReused);

// Header field with which a VM names each sending of a relayed request, and the peer each response.
constexpr const char* relaySendingField = "Marlsill-Relay-Sending";

}
