#pragma once

// Decides under which client account a request runs, or why it may not be sent.
//
//     access_control access(fields, counters);
//     if (auto decision = access.admit(request, configuration); decision != access_decision::granted)
//         return refuse(decision);
//     ...
//     if (access.recheck(request, configurationInForce) == access_decision::granted)
//         send(request);
//
// The caller's key is taken off the request before anything else sees it; its digest stays. Where the
// configuration in force has no accounts, requests are not changed and all are granted. Not thread safe; used
// from a single event loop.

#include "marlsill/gateway/active_request.h"
#include "marlsill/gateway/traffic_counters.h"
#include "marlsill/gateway/wire_fields.h"

#include <functional>
#include <string_view>

namespace marlsill::gateway {

enum class access_decision {
    granted,
    missingKey,
    malformedKey, // Not "Bearer KEY", or more than one such field.
    unknownKey,
    withdrawnKey, // Held by an account when the request was accepted, and by none now.
    staleKeys, // This VM may have missed that a key was withdrawn, see setFreshnessCheck().
};

// Returns a decision as text, for logs and responses.
std::string_view toText(access_decision decision);

// See the file comment.
class access_control {
public:
    // `fields` and `counters` must outlive it.
    access_control(const wire_fields& fields, traffic_counters& counters)
        : m_fields(fields)
        , m_counters(counters)
    {
    }

    // Sets what tells whether the keys of the configuration in force may still be acted on. It is called for
    // each request with a key when the request is accepted and again before each send, and must be cheap.
    void setFreshnessCheck(std::function<bool()> areKeysFresh) { m_areKeysFresh = std::move(areKeysFresh); }

    bool areKeysFresh() const { return m_areKeysFresh(); }

    // Decides about a request that has arrived for `matched`, a route of `inForce`. Removes the fields of the
    // caller that hold a key or name an account, and sets the name of the account that holds the key. The key
    // of a request that a peer relays is `current.keyDigest`, if that is set.
    access_decision admit(active_request& current, const configuration& inForce, const route& matched) const;

    // Decides again by the configuration in force now. Call right before each send.
    access_decision recheck(active_request& current, const configuration& inForce) const;

    // Counts and logs a request that is not granted by `inForce`.
    void recordDenial(
        const active_request& current, access_decision decision, const configuration& inForce) const;

private:
    access_decision takeKey(active_request& current) const;
    access_decision findAccount(active_request& current, const configuration& inForce) const;

    const wire_fields& m_fields;
    traffic_counters& m_counters;
    std::function<bool()> m_areKeysFresh = [] { return true; };
};

}
