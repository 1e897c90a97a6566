#pragma once

// Chooses the upstream for each request from what this VM and its peers have seen of all upstreams.
//
//     load_balancer board(options);
//     board.replaceUpstreams(registered, now);
//     auto chosen = board.choose({ .service = "bookings", .isAtMostOnce = true }, now);
//     board.startAttempt(chosen.upstream, now);
//     board.finishAttempt(chosen.upstream, health_signal::succeeded, elapsed, now);
//
// An upstream that fails is excluded for a hold time, then one request tries it. The number of upstreams of a
// service that nobody has tried lately stays below a share, so that no judgement, right or wrong,
// concentrates the work on too few. Pure decisions; not thread safe.

#include "marlsill/placement/upstream_entry.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::placement {

// What one attempt says about its upstream.
enum class health_signal {
    succeeded,
    failed, // It gave a wrong or no answer.
    errorAfterProcessing, // It worked on the request and answered with an error, which may be the request's
                          // own.
    refused, // It said that it has no room.
    unreachable, // No connection; nothing was sent.
    inconclusive, // The attempt says nothing about the upstream.
};

// Returns whether the attempt failed by its upstream's fault, perhaps.
constexpr bool isFailure(health_signal verdict)
{
    return verdict == health_signal::failed || verdict == health_signal::errorAfterProcessing
        || verdict == health_signal::unreachable;
}

// What VMs tell each other about an upstream.
enum class evidence_kind {
    failed,
    stalled, // Work there takes far longer than usual.
    unreachable,
    probe, // A VM sends it one request to see whether it has recovered.
    recovered,
    errorAfterProcessing, // One error after work; two close together make a failure.
};
constexpr auto lastEvidenceKind = evidence_kind::errorAfterProcessing;

// A piece of evidence about one upstream.
struct upstream_evidence {
    std::string upstream;
    evidence_kind kind = evidence_kind::failed;
};

// Work of one VM at one upstream, as it tells its peers.
struct upstream_load {
    std::string upstream;
    int inFlight = 0;
    int latencyMs = 0; // Smoothed; 0 when unknown.
};

// Settings of a board.
struct load_balancer_options {
    std::string failureDomain; // Of this VM; upstreams there are preferred.
    // Gray phases last about seven seconds; a trial of a request that may be repeated costs little.
    std::chrono::milliseconds holdRepeatable { 1'500 };
    std::chrono::milliseconds exclusionAtMostOnce { 3'500 };
    std::chrono::milliseconds errorMemory {
        1'000
    }; // Two errors after work within it are the upstream's fault.
    std::chrono::milliseconds holdUnreachable { 1'000 }; // A crashed upstream is back after some seconds.
    std::chrono::milliseconds holdRefused { 200 }; // About one service time.
    std::chrono::milliseconds trialLength { 1'500 }; // How long the result of a trial is waited for.
    std::chrono::milliseconds trialSpread { 300 }; // VMs begin trials apart, to hear of each other's first.
    int proofs = 2; // Trials in a row that succeed; an upstream in a gray phase answers one in six or so.
    std::chrono::milliseconds untriedAfter {
        1'500
    }; // With trialSpread, below the two seconds of the capacity floor's window.
    // While requests are lost, the share of upstreams that nobody tries. The floor counts sound upstreams
    // only, of which there may be few; half of one minus the floor leaves room for that.
    double maxUntriedShare = 0.15;
    int minUntried = 2; // In small services, as long as the floor itself allows it.
    double floorShare = 0.7; // Of a service's upstreams; must stay in use.
    double maxUntriedShareCalm = 0.5; // While hardly a request fails, so that the judgements are right.
    double calmLossShare = 0.06; // Of a service's requests; the capacity floor counts from a tenth.
    int probation = 3; // Successes, trials included, before an upstream gets its full share again.
    double stallFactor = 3.0; // Of the service's usual latency.
    std::chrono::milliseconds minStall { 700 };
    double commonCauseShare = 0.34; // Of a service's upstreams that refuse; then the load is at fault.
    std::chrono::milliseconds loadLife { 1'500 }; // A peer's load counts this long after its last report.
};

// What a request asks of the board.
struct choice_request {
    std::string_view service;
    std::span<const std::string> tried; // Upstreams that this request has been sent to.
    bool isAtMostOnce = false;
    bool mayUseExcluded = false; // Waiting on costs more than an upstream that may fail.
    bool canBeRetried = true; // A failure can be made good at another upstream.
};

// How a choice ended.
enum class choice_status {
    chosen,
    allBusy, // Every usable upstream has as much work as it should have.
    noneUsable, // The service has no upstream left to try.
};

// A choice and what it was based on.
struct choice {
    choice_status status = choice_status::noneUsable;
    const upstream_entry* upstream = nullptr; // Valid until the next replaceUpstreams().
    bool isProbe = false;
    int inFlight = 0; // Known work at the upstream, fleet-wide.
};

// A service's condition, for admission and logs.
struct service_stats {
    int upstreams = 0; // Registered and not leaving.
    int excluded = 0;
    int slots = 0; // Of upstreams that are not excluded.
    int inFlight = 0;
    int latencyMs = 0;
};

// See the file comment.
class load_balancer {
public:
    explicit load_balancer(load_balancer_options options, std::uint64_t seed = std::random_device {}());
    ~load_balancer();
    load_balancer(load_balancer&& other) noexcept;

    // Takes the registered upstreams; what is known of those that stay is kept.
    void replaceUpstreams(std::span<const upstream_entry> upstreams, steady_clock::time_point now);

    // Chooses an upstream; the caller reports startAttempt() and finishAttempt() for it.
    choice choose(const choice_request& request, steady_clock::time_point now);

    // Reports the start of an attempt.
    void startAttempt(std::string_view upstream, bool isTrial, steady_clock::time_point now);

    // Reports the end of an attempt. Returns the evidence that the peers should hear, if any.
    std::optional<upstream_evidence> finishAttempt(std::string_view upstream, health_signal verdict,
        steady_clock::duration elapsed, steady_clock::time_point started, bool isAtMostOnce,
        steady_clock::time_point now);

    // Takes a peer's evidence.
    void applyEvidence(const upstream_evidence& evidence, bool isAtMostOnce, steady_clock::time_point now);

    // Takes a peer's work at an upstream.
    void applyPeerLoad(std::string_view peer, const upstream_load& load, steady_clock::time_point now);

    // Finds upstreams at which this VM's work stalls, excludes them, and returns the evidence.
    std::vector<upstream_evidence> excludeStalled(steady_clock::time_point now);

    // Returns this VM's work at each upstream where it changed since the last call.
    std::vector<upstream_load> takeChangedLoads();

    // Notes how a request of this VM ended, for the share of requests that are lost.
    void recordOutcome(std::string_view service, bool isServed, steady_clock::time_point now);

    // Sets how many VMs share the requests of a service.
    void setServingVms(int vms) { m_sharers = std::max(1, vms); }

    // Returns the registered entry of an upstream, or nullptr.
    const upstream_entry* find(std::string_view upstream) const;

    // Returns the slots of a service's upstreams that are not leaving.
    int slotsOf(std::string_view service) const;

    service_stats statsOf(std::string_view service, steady_clock::time_point now) const;

private:
    struct record;
    struct service_record;

    bool isExcluded(const record& each, steady_clock::time_point now) const;
    bool isTrialDue(const record& each, steady_clock::time_point now) const;
    std::chrono::milliseconds trialDelay(const record& each) const;
    int inFlightAt(const record& each, steady_clock::time_point now) const;
    record* longestUntried(
        service_record& service, std::span<const std::string> tried, steady_clock::time_point now) const;
    void exclude(record& each, std::chrono::milliseconds hold, steady_clock::time_point now);
    bool noteErrorAtWork(record& each, bool isAtMostOnce, steady_clock::time_point now);
    void notePeersLoss(const record& each, bool isAtMostOnce, steady_clock::time_point now);
    void strike(record& each, bool isAtMostOnce, steady_clock::time_point now);
    void continueTrial(record& each, steady_clock::time_point now);
    void readmit(record& each);
    bool isRefusingCommon(const record& each, steady_clock::time_point now) const;
    int allowedUntried(const service_record& service, steady_clock::time_point now) const;
    double lossShare(const service_record& service, steady_clock::time_point now) const;
    record* findRecord(std::string_view upstream) const;

    const load_balancer_options m_options;
    std::mt19937_64 m_random;
    int m_sharers = 1;
    std::map<std::string, std::unique_ptr<record>, std::less<>> m_records;
    std::map<std::string, std::unique_ptr<service_record>, std::less<>> m_services;
};

}
