#include "marlsill/gateway/response_match.h"

#include <Poco/String.h>
#include <algorithm>

namespace marlsill::gateway {

namespace {

    // Returns whether all fields of this name have the value.
    bool hasOnly(const Poco::Net::HTTPResponse& head, const std::string& name, std::string_view value)
    {
        return std::all_of(head.begin(), head.end(), [&](const auto& field) {
            return Poco::icompare(field.first, name) != 0 || field.second == value;
        });
    }

}

bool isResponseTo(const http::response_message& response, const wire_fields& wire,
    const std::string& requestId, bool wasReused)
{
    if (response.head.has(wire.requestId)) {
        return hasOnly(response.head, wire.requestId, requestId);
    }
    if (requestId.empty()) {
        return true;
    }
    // On a kept connection, a refusal that names no request may be the repetition of an earlier one.
    bool isRefusal = response.head.has(wire.notRun)
        || response.head.getStatus() == Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST;
    return isRefusal && !wasReused;
}

bool mayReuseConnection(
    const std::string& requestId, std::span<const std::string> triedUpstreams, std::string_view upstream)
{
    return !requestId.empty() && std::count(triedUpstreams.begin(), triedUpstreams.end(), upstream) <= 1;
}

bool isRelayedResponseTo(const http::response_message& response, const wire_fields& wire,
    const std::string& requestId, std::string_view sending, bool wasReused)
{
    bool isNamed = response.head.has(relaySendingField);
    if (isNamed ? response.head.get(relaySendingField) != sending : wasReused) {
        return false;
    }
    return hasOnly(response.head, wire.requestId, requestId);
}

}
