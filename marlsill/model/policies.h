#pragma once

// What is compared by the model: the product's decisions, and plain first come, first served.

#include "marlsill/placement/admission_queue.h"
#include "marlsill/placement/attempt_policy.h"
#include "marlsill/placement/load_balancer.h"
#include "marlsill/placement/retry_after_gate.h"
#include "marlsill/placement/windowed_retry_budget.h"

#include <concepts>
#include <random>
#include <vector>

namespace marlsill::model {

// A load and the troubles beside it.
struct model_options {
    int vms = 12;
    int upstreams = 12;
    int slots = 3;
    std::size_t upstreamQueue = 12;
    double load = 1.0; // Of the slots of all upstreams.
    bool isAtMostOnce = true;
    int maxUpstreams = 2;
    std::chrono::milliseconds workMean { 260 };
    std::chrono::milliseconds objective { 1'000 };
    std::chrono::milliseconds timeLimit { 2'000 };
    double goneShare = 0; // Upstreams that are gone without notice.
    double grayShare = 0; // Of the time of each upstream.
    std::chrono::milliseconds grayMean { 7'000 };
    double grayFailShare = 0.85; // Of the requests in a gray phase, which fail at once.
    int callers = 120;
    double repeatingShare = 0; // Of the requests, from callers that repeat refused ones at once.
    int repeatingCallers = 4;
    int repeats = 6;
    std::chrono::milliseconds repeatPause { 10 };
    std::chrono::milliseconds length { 30'000 };
    std::chrono::milliseconds messageDelay { 3 };
    std::chrono::milliseconds loadPause { 100 };
    std::chrono::milliseconds queueCheck { 100 };
    std::chrono::milliseconds patience { 150 }; // As the forwarder's.
    double retryRatio = 0.2;
    double retrySlack = 56; // Fleet-wide.
    placement::load_balancer_options board {}; // Of the product's policy.
};

// The line on one VM.
struct line_state {
    std::size_t waiting = 0;
    bool isStanding = false;
};

// A VM's decisions for one service.
template <typename Policy>
concept placement_policy = std::constructible_from<Policy, const model_options&, std::uint64_t> && requires(
    Policy policy, const std::vector<std::string>& tried, const std::string& upstream,
    const placement::completed_attempt& ended, const placement::upstream_evidence& evidence,
    const placement::upstream_load& load, const line_state& line, const placement::answer_deadlines& limits,
    steady_clock::time_point now)
{
    {
        policy.choose(tried, now, now)
        } -> std::same_as<placement::choice>;
    {
        policy.end(upstream, ended, now, now)
        } -> std::same_as<std::optional<placement::upstream_evidence>>;
    {
        policy.refuses(line, limits, upstream, now)
        } -> std::same_as<bool>;
    {
        policy.placeOf(upstream, now, now)
        } -> std::same_as<placement::queue_key>;
    {
        policy.retryAfter(line, upstream, now)
        } -> std::same_as<std::chrono::milliseconds>;
    {
        policy.takeRetry(now)
        } -> std::same_as<bool>;
    {
        policy.takeChangedLoads()
        } -> std::same_as<std::vector<placement::upstream_load>>;
    policy.begin(upstream, true, now);
    policy.countRequest(now);
    policy.noteOutcome(true, now);
    policy.learn(evidence, now);
    policy.learnLoad(upstream, load, now);
};

// The product's decisions.
class fleet_policy {
public:
    fleet_policy(const model_options& options, std::uint64_t seed);

    placement::choice choose(
        std::span<const std::string> tried, steady_clock::time_point arrivedAt, steady_clock::time_point now);
    void begin(const std::string& upstream, bool isTrial, steady_clock::time_point now);
    std::optional<placement::upstream_evidence> end(const std::string& upstream,
        const placement::completed_attempt& ended, steady_clock::time_point startedAt,
        steady_clock::time_point now);
    bool refuses(const line_state& line, const placement::answer_deadlines& limits, const std::string& caller,
        steady_clock::time_point now) const;
    placement::queue_key placeOf(
        const std::string& caller, steady_clock::time_point arrivedAt, deadline limit) const;
    std::chrono::milliseconds retryAfter(
        const line_state& line, const std::string& caller, steady_clock::time_point now);
    bool takeRetry(steady_clock::time_point now) { return m_budget.tryAcquire(now); }
    void countRequest(steady_clock::time_point now) { m_budget.countRequest(now); }
    void noteOutcome(bool isServed, steady_clock::time_point now);
    void learn(const placement::upstream_evidence& evidence, steady_clock::time_point now);
    void learnLoad(
        const std::string& peer, const placement::upstream_load& load, steady_clock::time_point now);
    std::vector<placement::upstream_load> takeChangedLoads() { return m_board.takeChangedLoads(); }

private:
    placement::queue_load outlook(const line_state& line, steady_clock::time_point now) const;

    const model_options m_options;
    placement::load_balancer m_board;
    placement::windowed_retry_budget m_budget;
    placement::retry_after_gate m_gate;
    std::mt19937_64 m_random;
};

// First come, first served: the upstream with the least own work, no judgement, nothing refused that may
// still be answered, callers told to come back after a fixed time.
class plain_policy {
public:
    plain_policy(const model_options& options, std::uint64_t seed);

    placement::choice choose(
        std::span<const std::string> tried, steady_clock::time_point arrivedAt, steady_clock::time_point now);
    void begin(const std::string& upstream, bool isTrial, steady_clock::time_point now);
    std::optional<placement::upstream_evidence> end(const std::string& upstream,
        const placement::completed_attempt& ended, steady_clock::time_point startedAt,
        steady_clock::time_point now);
    bool refuses(const line_state&, const placement::answer_deadlines&, const std::string&,
        steady_clock::time_point) const
    {
        return false;
    }
    placement::queue_key placeOf(
        const std::string& caller, steady_clock::time_point arrivedAt, deadline limit) const;
    std::chrono::milliseconds retryAfter(
        const line_state&, const std::string&, steady_clock::time_point) const;
    bool takeRetry(steady_clock::time_point now) { return m_budget.tryAcquire(now); }
    void countRequest(steady_clock::time_point now) { m_budget.countRequest(now); }
    void noteOutcome(bool, steady_clock::time_point) { }
    void learn(const placement::upstream_evidence&, steady_clock::time_point) { }
    void learnLoad(const std::string&, const placement::upstream_load&, steady_clock::time_point) { }
    std::vector<placement::upstream_load> takeChangedLoads() { return {}; }

private:
    const model_options m_options;
    std::vector<placement::upstream_entry> m_upstreams;
    std::vector<int> m_inFlight;
    placement::windowed_retry_budget m_budget;
    std::mt19937_64 m_random;
};

}
