#pragma once

// Forwards requests to upstreams, with retries, request hedging and load shedding, and returns one final
// response to each.
//
//     forwarder requests(io, options, wire);
//     requests.setConfiguration(configuration);
//     auto request = std::make_shared<active_request>(io, std::move(message));
//     auto response = co_await requests.forwardRequest(request);
//
// Not thread safe; used from a single event loop.

#include "marlsill/base/absence_detector.h"
#include "marlsill/gateway/configuration.h"
#include "marlsill/gateway/connection_pool.h"
#include "marlsill/gateway/crash_monitor.h"
#include "marlsill/gateway/leaving_monitor.h"
#include "marlsill/gateway/rate_limiter.h"
#include "marlsill/gateway/traffic_counters.h"
#include "marlsill/gateway/turn_away_monitor.h"
#include "marlsill/gateway/upstream_reachability.h"
#include "marlsill/gateway/wire_fields.h"
#include "marlsill/placement/admission_queue.h"
#include "marlsill/placement/attempt_policy.h"
#include "marlsill/placement/idle_limits.h"
#include "marlsill/placement/load_balancer.h"
#include "marlsill/placement/retry_after_gate.h"
#include "marlsill/placement/retry_slack_share.h"
#include "marlsill/placement/stop_admission.h"
#include "marlsill/placement/windowed_retry_budget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::gateway {

// Settings of a forwarder.
struct forwarder_options {
    std::string failureDomain; // Of this VM; upstreams in it are preferred.
    asio::ip::address_v4 upstreamSource; // Of connections to upstreams; unspecified: the system chooses.
    std::uint64_t maxResponseBytes = 8 * 1024 * 1024;
    // Of all responses that are being read; they may take twice as much, see buffer_budget. A fifth of the
    // memory of a small VM.
    std::size_t maxResponseBuffers = 32 * 1024 * 1024;
    std::chrono::milliseconds connectTimeout { 400 }; // Far above a round trip between failure domains.
    std::chrono::milliseconds responseTransitTime { 10 }; // Deducted from the timeout sent to upstreams.
    std::chrono::milliseconds maxWaitForHealthy { 150 }; // Then a suspect upstream may be used.
    std::chrono::milliseconds catchUpPollInterval { 5 }; // While peers are asked for their crash records.
    std::chrono::milliseconds maxPermitDelay {
        1'000
    }; // Permits reserved further ahead are lost if the issuer is.
    std::chrono::milliseconds queuePollInterval { 100 }; // Peers' loads expire without a wake-up.
    std::chrono::milliseconds maxIdleAtMostOnce { 1'500 }; // Upstreams may drop older ones unnoticed.
    std::chrono::milliseconds maxIdleRepeatable { 8'000 };
    double hedgeLatencyFactor = 2.0; // Multiple of the usual latency after which a request is hedged.
    std::chrono::milliseconds minHedgeDelay { 300 }; // Also between tries of a hedge that cannot start.
    placement::crash_quarantine_options quarantine;
    // A VM that did not run for longer may have lost its place in serving sets to others.
    std::chrono::milliseconds shortestAbsence { 1'000 };
    double retryBudgetReserve = 0.5; // Share of the budget kept for retries, which gain more than hedges.
    double retryRatio = 0.2; // Retries and hedges per request, fleet-wide.
    double fleetRetrySlack = 10; // Retries and hedges per window beyond the ratio, fleet-wide.
    std::chrono::milliseconds retryWindow { 10'000 }; // The sliding window of the retry budget.
};

// Returns a hash of what makes two requests copies of one another: method, host, target, body and the client
// account in the header field `accountField`, if there is one. Upstreams do not see the caller's address.
std::uint64_t fingerprintOf(const http::request_message& request, const std::string& accountField);

// Returns what tells callers apart that compete for room: the client account in the header field
// `accountField`, or the IP address if the request names none. Its length is bounded.
std::string callerOf(
    const http::request_message& request, const std::string& accountField, const std::string& address);

// A request in flight. The gateway fills in the members above cancel(); the forwarder manages those below it.
struct active_request {
    active_request(asio::io_context& io, http::request_message message)
        : request(std::move(message))
        , wakeTimer(io)
    {
    }

    http::request_message request;
    std::string id;
    std::string caller; // See callerOf().
    steady_clock::time_point arrivedAt;
    deadline callerDeadline; // When the caller stops waiting.
    std::shared_ptr<const configuration> config; // The configuration in force when the request arrived.
    const route* matchedRoute = nullptr; // Points into `config`.

    // Aborts all attempts. Called when the caller has disconnected.
    void cancel();

    bool isCancelled = false;
    bool isRelayed = false; // Sent by a peer for one of its callers; not relayed again.
    std::shared_ptr<upstream_connection> relayConnection; // To the peer that works on it; may be null.

    // One attempt to send the request to an upstream.
    struct attempt {
        std::string upstream;
        std::string address;
        std::int64_t upstreamStartedUnixMs = 0; // As registered when the attempt began; 0 if unknown.
        bool isProbe = false; // Tests whether a suspect upstream has recovered.
        steady_clock::time_point startedAt;
        std::shared_ptr<upstream_connection> connection;
        bool isSent = false; // Some bytes may have reached the upstream.
        bool isRecorded = false; // recordAttemptResult() has been called.
        bool isFinished = false;
        bool isEvaluated = false; // evaluateAttempt() has processed its outcome.
        placement::completed_attempt outcome;
        std::string_view failure; // Why the response was given up; empty if it was not.
        http::response_message response;
    };

    asio::steady_timer wakeTimer; // Cancelled to resume processRequest() on an event.

    // Returns whether some upstream may have executed the request or may still execute it.
    bool mayHaveRun() const;

    // Returns whether some upstream has completed the request.
    bool hasSucceeded() const;

    std::string service;
    deadline effectiveDeadline; // The earlier of the caller's deadline and the route's timeout.
    std::vector<std::string> triedUpstreams;
    std::vector<std::shared_ptr<attempt>> attempts;
    placement::retry_state state;
    std::uint64_t fingerprint = 0; // See fingerprintOf().
    bool isCounted = false; // In the retry budget, by this VM or the one that relayed it.
    bool isQueued = false; // Waits in the service's admission queue.
    bool isStopDecisionLogged = false;
    bool isCrashProbe = false; // Quarantined, but sent once to find out whether it crashes upstreams.
};

// The response that the caller receives.
struct final_response {
    http::response_message message;
    bool isFromUpstream = false; // Otherwise generated by this VM.
    bool mustRelay = false; // No response: this VM is cut off, and a peer may serve the request.
};

// This VM's share of a service's traffic.
struct service_share {
    int sharingVms = 1; // VMs that send requests to the same upstreams as this one, itself included.
    placement::serving_view serving; // Decides this VM's share of `fleetRetrySlack`.
    std::shared_ptr<const placement::upstream_partition> partition; // May be null: all upstreams.
};

// Called to tell peers what this VM has observed. May be empty.
using evidence_reporter = std::function<void(const placement::upstream_evidence&)>;

// See the file comment.
class forwarder {
public:
    forwarder(asio::io_context& io, forwarder_options options, wire_fields wire);

    // Returns the final response to a request, or std::nullopt if it was cancelled.
    asio::awaitable<std::optional<final_response>> forwardRequest(std::shared_ptr<active_request> current);

    // Applies a configuration to later requests. Returns false and ignores it unless its version is newer.
    bool setConfiguration(std::shared_ptr<const configuration> next);

    // Applies changes of the registered upstreams: added or changed ones, and the ids of removed ones.
    void changeUpstreams(
        std::span<const placement::upstream_entry> changed, std::span<const std::string> removed);

    // Sets what sends this VM's observations to its peers.
    void setEvidenceReporter(evidence_reporter report) { m_reportEvidence = std::move(report); }

    // Sets the function that returns this VM's share of a service's traffic.
    void setServiceShareProvider(std::function<service_share(const std::string&)> provider)
    {
        m_serviceShareOf = std::move(provider);
    }

    // Apply a peer's health evidence or load.
    void applyPeerEvidence(const placement::upstream_evidence& evidence);
    void applyPeerLoad(std::string_view peer, const placement::upstream_load& load);

    // Detects stalled upstreams and closes expired idle connections. Call a few times a second.
    void sweep();

    placement::load_balancer& loadBalancer() { return m_loadBalancer; }
    crash_monitor& crashMonitor() { return m_crashMonitor; }
    rate_limiter& rateLimiter() { return m_rateLimiter; }
    leaving_monitor& leavingMonitor() { return m_leavingMonitor; }
    upstream_reachability& reachability() { return m_reachability; }
    const std::shared_ptr<const configuration>& currentConfiguration() const { return m_configuration; }
    const wire_fields& wire() const { return m_wire; }
    traffic_counters& counters() { return m_counters; }
    std::size_t inFlightRequests() const { return m_inFlight.size(); }

    // From now on, starts requests only as `admission` allows and refuses the others.
    void beginStop(placement::stop_admission admission) { m_stop = admission; }

    // Returns whether the request may still be started, which during a planned stop depends on the time left.
    bool mayStartDuringStop(active_request& current, steady_clock::time_point now);

    // Gives up all requests in flight: each gets its final response as if its deadline had passed.
    void expireRequests();

    // Finishes a request that was to be relayed and that no peer has answered.
    final_response finishUnrelayed(active_request& current, bool mayHaveRun);

    // Makes a plain-text response of this VM.
    http::response_message makeLocalReply(int status, std::string_view why) const;

    // Makes a 503 response whose Retry-After field is `expectedWait` with random jitter.
    http::response_message makeServiceUnavailable(
        std::string_view why, std::chrono::milliseconds expectedWait);

private:
    using attempt = active_request::attempt;

    asio::awaitable<void> runAttempt(
        std::shared_ptr<active_request> current, std::shared_ptr<attempt> thisAttempt);
    asio::awaitable<std::optional<final_response>> processRequest(std::shared_ptr<active_request> current);
    placement::choice chooseUpstream(const active_request& current, steady_clock::time_point now);
    bool startAttempt(const std::shared_ptr<active_request>& current, steady_clock::time_point now,
        placement::choice& chosen);
    std::optional<final_response> evaluateAttempt(
        active_request& current, attempt& thisAttempt, bool& needsAttempt);
    final_response finishWithLocalReply(
        active_request& current, placement::next_step step, std::string_view why);
    final_response shedRequest(active_request& current, std::string_view why,
        std::chrono::milliseconds expectedWait, steady_clock::time_point now);
    std::optional<final_response> shedOrEnqueue(const std::shared_ptr<active_request>& current,
        const placement::choice& chosen, steady_clock::time_point now);
    std::chrono::milliseconds maxPermitDelay(
        const active_request& current, steady_clock::time_point now) const;
    final_response rejectQuarantined(active_request& current, steady_clock::time_point now);
    final_response finishTimedOut(active_request& current);
    std::chrono::milliseconds jitteredRetryAfter(std::chrono::milliseconds expectedWait);
    std::chrono::milliseconds refusalDelay(
        const active_request& current, std::chrono::milliseconds expectedWait, steady_clock::time_point now);
    final_response rejectHeld(active_request& current, steady_clock::time_point now);
    bool recordTurnAway(
        const active_request& current, const attempt& thisAttempt, steady_clock::time_point now);
    http::response_message makeServiceUnavailableAfter(
        std::string_view why, std::chrono::milliseconds delay) const;
    void abortAttempts(active_request& current);
    void recordAttemptResult(active_request& current, attempt& thisAttempt, steady_clock::time_point now);
    void endFailedAttempt(active_request& current, attempt& thisAttempt, const std::exception_ptr& failure);
    bool tryTakeRetry(active_request& current, bool countsAsRetry, steady_clock::time_point now);
    bool shouldRelay(active_request& current, bool needsAttempt, steady_clock::time_point now);
    void reportEvidence(std::string_view service, const placement::upstream_evidence& evidence);
    void recordReachability(
        const active_request& current, const attempt& thisAttempt, steady_clock::time_point now);
    bool tryTakeHedge(active_request& current, steady_clock::time_point now);
    static placement::answer_deadlines queueDeadlinesOf(const active_request& current);
    deadline hedgeTime(const active_request& current) const;
    placement::queue_load queueLoadOf(const std::string& service, steady_clock::time_point now) const;
    std::string serializeFor(
        const active_request& current, const attempt& thisAttempt, steady_clock::time_point now) const;
    void handleLeaving(const placement::upstream_entry& upstream);
    bool isRegisteredAs(const attempt& thisAttempt) const;
    placement::windowed_retry_budget& retryBudgetOf(const std::string& service);
    void observeServices();
    void wakeNextQueued(const std::string& service);
    std::size_t requestsAhead(const active_request& current);
    void enqueue(const std::shared_ptr<active_request>& current);
    void dequeue(active_request& current);
    void recordCompletion(
        const active_request& current, const final_response& response, std::string_view why);

    asio::io_context& m_io;
    const forwarder_options m_options;
    const wire_fields m_wire;
    placement::load_balancer m_loadBalancer;
    placement::idle_limits m_idleLimits;
    placement::retry_after_gate m_retryAfterGate;
    buffer_budget m_responseBuffers;
    connection_pool m_pool;
    traffic_counters m_counters;
    crash_monitor m_crashMonitor;
    rate_limiter m_rateLimiter;
    leaving_monitor m_leavingMonitor;
    turn_away_monitor m_turnAways;
    upstream_reachability m_reachability;
    evidence_reporter m_reportEvidence;
    std::shared_ptr<const configuration> m_configuration;
    // What limits the retries to one service.
    struct service_retries {
        placement::retry_slack_share share;
        placement::windowed_retry_budget budget;
    };
    std::map<std::string, service_retries, std::less<>> m_retries;
    const steady_clock::time_point m_startedAt = steady_clock::now();
    absence_detector m_absenceDetector;
    std::size_t m_nextObservedService = 0;
    std::map<std::string, placement::admission_queue<active_request>, std::less<>> m_queues;
    std::mt19937_64 m_random { std::random_device {}() };
    std::function<service_share(const std::string&)> m_serviceShareOf
        = [](const auto&) { return service_share(); };
    std::set<active_request*> m_inFlight;
    std::optional<placement::stop_admission> m_stop; // Set once a planned stop has begun.
};

}
