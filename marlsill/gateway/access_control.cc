#include "marlsill/gateway/access_control.h"

#include "marlsill/events/events.h"
#include "marlsill/http/message_writer.h"

#include <Poco/String.h>

namespace marlsill::gateway {

namespace {

    constexpr std::string_view bearerScheme = "Bearer";

    // Returns the key of an Authorization field, or an empty text if it has another form.
    std::string_view bearerKey(std::string_view value)
    {
        bool hasScheme = value.size() > bearerScheme.size()
            && Poco::icompare(std::string(value.substr(0, bearerScheme.size())), std::string(bearerScheme))
                == 0
            && value[bearerScheme.size()] == ' ';
        if (!hasScheme) {
            return {};
        }
        auto start = value.find_first_not_of(' ', bearerScheme.size());
        return start == std::string_view::npos ? std::string_view() : value.substr(start);
    }

}

std::string_view toText(access_decision decision)
{
    constexpr std::string_view texts[] = { "the key is valid", "a key is required", "the key is malformed",
        "the key is not known", "the key was withdrawn", "keys cannot be checked now" };
    return texts[static_cast<int>(decision)];
}

// Takes the caller's key and what it says of its account off the request. Leaves a digest that a peer has
// stated.
access_decision access_control::takeKey(active_request& current) const
{
    auto& head = current.request.head;
    int fields = 0;
    std::string value;
    for (const auto& [name, each] : head) {
        if (Poco::icompare(name, m_fields.authorization) == 0) {
            ++fields;
            value = each;
        }
    }
    // The Connection field names fields that are removed when the request is sent. It could name the one that
    // is set here.
    http::removeHopByHopFields(head);
    head.erase(m_fields.authorization);
    head.erase(m_fields.clientAccount);
    head.erase(m_fields.statedAccount);
    current.isUnderAccounts = true;
    if (current.keyDigest) {
        return access_decision::granted;
    }
    if (fields == 0) {
        return access_decision::missingKey;
    }
    auto key = bearerKey(value);
    if (fields > 1 || key.empty()) {
        return access_decision::malformedKey;
    }
    current.keyDigest = accounts::digestOf(key);
    return access_decision::granted;
}

// Looks up who holds the request's key, and names that account in the request.
access_decision access_control::findAccount(active_request& current, const configuration& inForce) const
{
    const auto* found = inForce.accounts()->findByDigest(*current.keyDigest);
    if (!found) {
        return access_decision::unknownKey;
    }
    if (!current.account || current.account->name != found->name) {
        current.request.head.set(m_fields.clientAccount, found->name);
    }
    current.account = std::shared_ptr<const accounts::client_account>(inForce.accounts(), found);
    return m_areKeysFresh() ? access_decision::granted : access_decision::staleKeys;
}

access_decision access_control::admit(
    active_request& current, const configuration& inForce, const route& matched) const
{
    if (!inForce.accounts()) {
        return access_decision::granted;
    }
    auto decision = takeKey(current);
    if (matched.isPublic) {
        current.keyDigest.reset();
        return access_decision::granted;
    }
    return decision == access_decision::granted ? findAccount(current, inForce) : decision;
}

access_decision access_control::recheck(active_request& current, const configuration& inForce) const
{
    if (!inForce.accounts()) {
        return access_decision::granted;
    }
    if (!current.isUnderAccounts) { // Accounts came into force while it waited.
        const auto& head = current.request.head;
        const auto* matched = inForce.routes().find(head.getHost(), head.getURI());
        return admit(current, inForce, matched ? *matched : *current.matchedRoute);
    }
    if (!current.keyDigest) {
        return access_decision::granted; // Its route was public when it was accepted.
    }
    auto decision = findAccount(current, inForce);
    return decision == access_decision::unknownKey ? access_decision::withdrawnKey : decision;
}

void access_control::recordDenial(
    const active_request& current, access_decision decision, const configuration& inForce) const
{
    m_counters.keysMissing += decision == access_decision::missingKey ? 1 : 0;
    m_counters.keysMalformed += decision == access_decision::malformedKey ? 1 : 0;
    m_counters.keysUnknown += decision == access_decision::unknownKey ? 1 : 0;
    m_counters.keysWithdrawn += decision == access_decision::withdrawnKey ? 1 : 0;
    m_counters.keysStale += decision == access_decision::staleKeys ? 1 : 0;
    logEvent(event::accessDenied,
        { { "request", current.id }, { "status", decision == access_decision::staleKeys ? "503" : "401" },
            { "why", std::string(toText(decision)) },
            { "account", current.account ? current.account->name : "" },
            { "digest", current.keyDigest ? accounts::toShortHex(*current.keyDigest) : "" },
            { "route", current.matchedRoute->name }, { "config", std::to_string(inForce.version()) } });
}

}
