#include "marlsill/gateway/response_match.h"

#include <algorithm>

namespace marlsill::gateway {

bool isResponseTo(const http::response_message& response, const wire_fields& wire,
    const std::string& requestId, bool wasReused)
{
    if (response.head.has(wire.requestId)) {
        return response.head.get(wire.requestId) == requestId;
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
    return response.head.get(wire.requestId, requestId) == requestId;
}

}
