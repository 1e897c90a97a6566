#include "marlsill/dedup/idempotency_key.h"
#include "marlsill/entry/request_handler.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marlsill::entry {

std::string directoryJson(const routing::routed_service& service, std::string_view nearDomain,
    wall_deadline now, std::chrono::milliseconds ttl)
{
    auto members = service.members;
    std::stable_partition(members.begin(), members.end(),
        [&](const auto& member) { return member->failureDomain == nearDomain; });
    auto addresses = nlohmann::json::array();
    for (const auto& member : members) {
        addresses.push_back(
            { { "address", member->callerAddress }, { "failure_domain", member->failureDomain },
                { "key_prefix", dedup::keyPrefix(member->incarnation, dedup::windowOf(now)) } });
    }
    nlohmann::json value { { "service", service.name }, { "addresses", std::move(addresses) },
        { "ttl_ms", ttl.count() }, { "expires_at_ms", toUnixMilliseconds(now + ttl) } };
    return value.dump() + "\n";
}

}
