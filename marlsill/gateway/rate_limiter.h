#pragma once

// Keeps this VM to the limits that upstreams name in their responses; see placement/rate_limits.h.
//
//     rate_limiter limiter(balancer, counters, wakeQueue);
//     limiter.setCallbacks({ .report = ..., .requestPermit = ... });
//     limiter.recordResponse("u1", response.head, "X-Rate-Limit", startedAt, now);
//     ...
//     limiter.requestPermit("u1", maxDelay, now);
//     limiter.applyPermit("u1", answer); // As the answer arrives.
//
// Not thread safe; used from a single event loop.

#include "marlsill/base/absence_detector.h"
#include "marlsill/gateway/traffic_counters.h"
#include "marlsill/placement/load_balancer.h"
#include "marlsill/placement/rate_limits.h"

#include <Poco/Net/MessageHeader.h>
#include <functional>
#include <string>

namespace marlsill::gateway {

// How a limiter reaches the other VMs. Without them this VM issues its own permits.
struct rate_limit_callbacks {
    std::function<void(const placement::rate_limit_notice&)> report; // Tells peers of a changed limit.
    // Asks the VM that issues the permits for an upstream for one that begins within `maxDelay`;
    // rate_limiter::applyPermit() takes the answer, which may come within the call.
    std::function<void(const placement::upstream_entry&, std::chrono::milliseconds maxDelay)> requestPermit;
};

class rate_limiter {
public:
    // `onAnswer` is called with the service of an upstream when a permit was granted or refused. `balancer`
    // and `counters` must outlive the limiter.
    rate_limiter(const placement::load_balancer& balancer, traffic_counters& counters,
        std::function<void(const std::string& service)> onAnswer);

    void setCallbacks(rate_limit_callbacks callbacks) { m_callbacks = std::move(callbacks); }

    // What load_balancer::choose() takes into account.
    const placement::rate_limits& limits() const { return m_limits; }

    // Takes over the limit in the field `name` of a response, or that the response names none. A malformed
    // value is ignored. `startedAt` is when the attempt began.
    void recordResponse(const std::string& upstream, const Poco::Net::MessageHeader& response,
        const std::string& name, steady_clock::time_point startedAt, steady_clock::time_point now);

    // Applies what a peer knows of a limit.
    void applyPeerLimit(const placement::rate_limit_notice& notice) { m_limits.merge(notice); }

    // Asks for a permit for one request to an upstream.
    void requestPermit(
        const std::string& upstream, std::chrono::milliseconds maxDelay, steady_clock::time_point now);

    // Applies the answer to a request for a permit.
    void applyPermit(const std::string& upstream, const placement::permit_answer& answer);

    // Issues a permit, or refuses one, if this VM was elected to do so.
    placement::permit_answer issuePermit(const std::string& upstream, std::chrono::milliseconds maxDelay);

    // Uses up the permit for a request that is sent.
    void consume(const std::string& upstream, steady_clock::time_point now)
    {
        m_limits.consume(upstream, now);
    }

    // Forgets upstreams that are not registered any more.
    void forgetUnregistered();

    // Finds out whether this VM has been absent. Call several times within `shortestAbsence`.
    void noteRunning();

private:
    // The lifetime of a permit: an answer that waits for less time allows little more than it says.
    static constexpr std::chrono::milliseconds shortestAbsence { 700 };

    const placement::load_balancer& m_loadBalancer;
    traffic_counters& m_counters;
    const std::function<void(const std::string& service)> m_onAnswer;
    rate_limit_callbacks m_callbacks;
    placement::rate_limits m_limits;
    placement::permit_issuer m_issuer;
    absence_detector m_absenceDetector { shortestAbsence };
};

}
