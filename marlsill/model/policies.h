#pragma once

// The policies that the simulation compares: the product's decision code, and a first-come, first-served
// baseline.

#include "marlsill/placement/admission_queue.h"
#include "marlsill/placement/attempt_policy.h"
#include "marlsill/placement/load_balancer.h"
#include "marlsill/placement/retry_after_gate.h"
#include "marlsill/placement/return_schedule.h"
#include "marlsill/placement/windowed_retry_budget.h"

#include <concepts>
#include <random>
#include <vector>

namespace marlsill::model {

// Parameters of a simulated fleet, its load and its faults.
struct model_options {
    int vms = 12;
    int upstreams = 12;
    int slots = 3; // Per upstream; requests that it executes at once.
    std::size_t upstreamQueueLimit = 12; // Requests that an upstream queues before it refuses more.
    double load = 1.0; // Offered load, relative to all upstreams' capacity, including those down.
    bool isAtMostOnce = true;
    int maxUpstreams = 2; // Attempts per request that may have been executed.
    std::chrono::milliseconds meanServiceTime { 260 };
    std::chrono::milliseconds latencyObjective { 1'000 };
    std::chrono::milliseconds requestTimeout { 2'000 };
    double downFraction = 0; // Fraction of the upstreams that are down but still registered.
    double grayTimeFraction = 0; // Fraction of time that each upstream spends in gray failure.
    std::chrono::milliseconds meanGrayPeriod { 7'000 };
    double grayFailureRate = 0.85; // Fraction of requests that fail immediately in gray failure.
    double turnAwayFraction = 0; // Fraction of the upstreams that turn requests away again and again.
    std::chrono::milliseconds turnAwayTime { 0 }; // How long each time, and how long they serve in between.
    bool heedsTurnAways = true; // Used by fleet_policy only; otherwise they are refusals like any other.
    int compliantCallers = 120;
    double repeatingFraction = 0; // Fraction of requests from callers that ignore Retry-After.
    int repeatingCallers = 4;
    int maxRepeats = 6; // Of a refused request by such a caller; other callers repeat it once.
    std::chrono::milliseconds repeatDelay { 10 }; // Before such a caller repeats a refused request.
    std::chrono::milliseconds duration { 30'000 };
    std::chrono::milliseconds networkDelay { 3 }; // One way.
    std::chrono::milliseconds loadReportInterval { 100 };
    std::chrono::milliseconds queueRecheckInterval { 100 };
    std::chrono::milliseconds maxWaitForHealthy { 150 }; // Same as in the forwarder.
    double retryRatio = 0.2;
    double retrySlack = 56; // Retries beyond the ratio per budget window, for the whole fleet.
    placement::load_balancer_options loadBalancer {}; // Used by fleet_policy only.
};

// State of the admission queue of one VM.
struct queue_state {
    std::size_t waiting = 0; // Queued requests.
    bool isStanding = false; // See placement::admission_queue::isStanding().
};

// A policy makes the load balancing, admission and retry decisions of one VM for one service.
template <typename Policy>
concept placement_policy = std::constructible_from<Policy, const model_options&, std::uint64_t> && requires(
    Policy policy, const std::vector<std::string>& tried, const std::string& upstream,
    const placement::completed_attempt& attempt, const placement::upstream_evidence& evidence,
    const placement::upstream_load& load, const queue_state& queue, const placement::answer_deadlines& limits,
    steady_clock::time_point now)
{
    {
        policy.chooseUpstream(tried, now, now)
        } -> std::same_as<placement::choice>;
    {
        policy.finishAttempt(upstream, attempt, now, now)
        } -> std::same_as<std::optional<placement::upstream_evidence>>;
    {
        policy.recordTurnAway(upstream, std::chrono::milliseconds(1), now)
        } -> std::same_as<bool>;
    {
        policy.shouldRefuse(queue, limits, upstream, now)
        } -> std::same_as<bool>;
    {
        policy.queueKeyOf(upstream, now, now)
        } -> std::same_as<placement::queue_key>;
    {
        policy.retryAfter(queue, upstream, now)
        } -> std::same_as<std::chrono::milliseconds>;
    {
        policy.tryTakeRetry(now)
        } -> std::same_as<bool>;
    {
        policy.takeChangedLoads()
        } -> std::same_as<std::vector<placement::upstream_load>>;
    policy.startAttempt(upstream, true, now);
    policy.countRequest(now);
    policy.recordOutcome(true, now);
    policy.applyEvidence(evidence, now);
    policy.applyPeerLoad(upstream, load, now);
};

// Uses the product's decision code.
class fleet_policy {
public:
    fleet_policy(const model_options& options, std::uint64_t seed);

    placement::choice chooseUpstream(
        std::span<const std::string> tried, steady_clock::time_point arrivedAt, steady_clock::time_point now);
    void startAttempt(const std::string& upstream, bool isProbe, steady_clock::time_point now);
    std::optional<placement::upstream_evidence> finishAttempt(const std::string& upstream,
        const placement::completed_attempt& attempt, steady_clock::time_point startedAt,
        steady_clock::time_point now);
    // Takes over for how long an upstream turns requests away. Returns whether it is heeded.
    bool recordTurnAway(
        const std::string& upstream, std::chrono::milliseconds delay, steady_clock::time_point now);
    bool shouldRefuse(const queue_state& queue, const placement::answer_deadlines& limits,
        const std::string& caller, steady_clock::time_point now) const;
    placement::queue_key queueKeyOf(
        const std::string& caller, steady_clock::time_point arrivedAt, deadline limit) const;
    std::chrono::milliseconds retryAfter(
        const queue_state& queue, const std::string& caller, steady_clock::time_point now);
    bool tryTakeRetry(steady_clock::time_point now) { return m_retryBudget.tryAcquire(now); }
    void countRequest(steady_clock::time_point now) { m_retryBudget.countRequest(now); }
    void recordOutcome(bool isServed, steady_clock::time_point now);
    void applyEvidence(const placement::upstream_evidence& evidence, steady_clock::time_point now);
    void applyPeerLoad(
        const std::string& peer, const placement::upstream_load& load, steady_clock::time_point now);
    std::vector<placement::upstream_load> takeChangedLoads() { return m_loadBalancer.takeChangedLoads(); }

private:
    placement::queue_load queueLoadOf(const queue_state& queue, steady_clock::time_point now) const;

    const model_options m_options;
    placement::load_balancer m_loadBalancer;
    placement::windowed_retry_budget m_retryBudget;
    placement::retry_after_gate m_retryAfterGate;
    placement::return_schedule m_returnSchedule;
    std::mt19937_64 m_random;
};

// First come, first served: selects the upstream with the fewest requests in flight from this VM, tracks no
// upstream health, never sheds load, and sends a fixed Retry-After.
class baseline_policy {
public:
    baseline_policy(const model_options& options, std::uint64_t seed);

    placement::choice chooseUpstream(
        std::span<const std::string> tried, steady_clock::time_point arrivedAt, steady_clock::time_point now);
    void startAttempt(const std::string& upstream, bool isProbe, steady_clock::time_point now);
    std::optional<placement::upstream_evidence> finishAttempt(const std::string& upstream,
        const placement::completed_attempt& attempt, steady_clock::time_point startedAt,
        steady_clock::time_point now);
    bool recordTurnAway(const std::string&, std::chrono::milliseconds, steady_clock::time_point)
    {
        return false;
    }
    bool shouldRefuse(const queue_state&, const placement::answer_deadlines&, const std::string&,
        steady_clock::time_point) const
    {
        return false;
    }
    placement::queue_key queueKeyOf(
        const std::string& caller, steady_clock::time_point arrivedAt, deadline limit) const;
    std::chrono::milliseconds retryAfter(
        const queue_state&, const std::string&, steady_clock::time_point) const;
    bool tryTakeRetry(steady_clock::time_point now) { return m_retryBudget.tryAcquire(now); }
    void countRequest(steady_clock::time_point now) { m_retryBudget.countRequest(now); }
    void recordOutcome(bool, steady_clock::time_point) { }
    void applyEvidence(const placement::upstream_evidence&, steady_clock::time_point) { }
    void applyPeerLoad(const std::string&, const placement::upstream_load&, steady_clock::time_point) { }
    std::vector<placement::upstream_load> takeChangedLoads() { return {}; }

private:
    const model_options m_options;
    std::vector<placement::upstream_entry> m_upstreams;
    std::vector<int> m_inFlight;
    placement::windowed_retry_budget m_retryBudget;
    std::mt19937_64 m_random;
};

}
