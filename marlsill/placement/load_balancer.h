#pragma once

// Selects the upstream for each request from the load and the failures that this VM and its peers observed.
//
//     load_balancer balancer(options);
//     balancer.replaceUpstreams(registered, now);
//     auto chosen = balancer.choose({ .service = "bookings", .isAtMostOnce = true }, now);
//     balancer.startAttempt(chosen.upstream->id, chosen.isProbe, now);
//     balancer.finishAttempt(
//         chosen.upstream->id, health_signal::succeeded, elapsed, startedAt, isAtMostOnce, now);
//
// Each upstream has a circuit breaker, see circuit_breaker. The share of a service's upstreams that are
// excluded and receive no requests at all is limited, see capacity_floor, so that exclusions, justified or
// not, cannot concentrate the load on too few upstreams. In a large fleet a VM uses a part of the upstreams
// only; those of other VMs are a last resort for its overload, as it does not know their load. Performs no
// I/O. Not thread safe.

#include "marlsill/placement/capacity_floor.h"
#include "marlsill/placement/circuit_breaker.h"
#include "marlsill/placement/health_evidence.h"
#include "marlsill/placement/leaving_notices.h"
#include "marlsill/placement/rate_limits.h"
#include "marlsill/placement/retry_after_holds.h"
#include "marlsill/placement/return_schedule.h"
#include "marlsill/placement/upstream_entry.h"
#include "marlsill/placement/upstream_partition.h"
#include "marlsill/placement/upstream_ranking.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::placement {

// One VM's requests in flight at one upstream, as reported to its peers.
struct upstream_load {
    std::string upstream;
    int inFlight = 0;
    int latencyMs = 0; // Exponentially weighted moving average; 0 if unknown.

    bool operator==(const upstream_load&) const = default;
};

// Settings of a load balancer.
struct load_balancer_options {
    std::string failureDomain; // This VM's; its upstreams are preferred.
    exclusion_options exclusion {};
    capacity_floor_options floor {};
    double stallFactor = 3.0; // Multiple of the service's average latency that counts as a stall.
    std::chrono::milliseconds minStallTime { 700 };
    // If a larger share of a service's upstreams refuses requests, the service is overloaded, and a refusal
    // excludes no upstream.
    double commonRefusalShare = 0.34;
    // A peer's load is ignored this long after its last report.
    std::chrono::milliseconds peerLoadLifetime { 1'500 };
};

// The properties of a request that decide which upstreams are eligible.
struct choice_request {
    std::string_view service;
    std::span<const std::string> tried; // Upstreams that this request was already sent to.
    bool isAtMostOnce = false;
    bool mayUseExcluded = false; // Prefer an excluded upstream to further waiting.
    bool canBeRetried = true; // After a failure, another attempt and the retry budget are available.
    const rate_limits* limits = nullptr; // An upstream with a limit is chosen only with a permit.
    std::size_t requestsAhead = 0; // Queued requests with an earlier claim on the permits that are held.
};

// The result of a selection.
enum class choice_status {
    chosen,
    allBusy, // Every eligible upstream is at its concurrency limit or excluded.
    allHeld, // Every upstream that the request has not tried turns requests away for a time.
    noneUsable, // The service has no upstream that the request has not tried.
};

// A selected upstream and the load that the selection saw.
struct choice {
    choice_status status = choice_status::noneUsable;
    const upstream_entry* upstream = nullptr; // Valid until the next replaceUpstreams().
    bool isProbe = false;
    int inFlight = 0; // Requests at the upstream from all VMs, as far as known.
    // A limited upstream that would be preferred to the selected one, or to waiting, if a permit for it was
    // held; empty if there is none, or if one was asked for already.
    std::string permitWanted;
    // Set if no upstream was chosen because all that are not excluded have limits: when a permit begins that
    // is reserved, or when one may be asked for again.
    std::optional<deadline> nextPermitAt;
    int expectedPermits = 0; // Permits that this VM holds, has reserved or asked for, with `permitWanted`.
};

// Aggregated state of a service's upstreams.
struct service_stats {
    int upstreams = 0; // Registered and not leaving.
    int excluded = 0; // Those of `upstreams` that are excluded.
    bool hasHeld = false; // Some of `upstreams` turn requests away for a time.
    int slots = 0; // Sum over the upstreams that are neither excluded nor held and have no limit.
    int inFlight = 0; // From all VMs, as far as known.
    int latencyMs = 0; // Moving average; 0 if unknown.
};

// Selects upstreams and tracks their health; see the file comment.
class load_balancer {
public:
    explicit load_balancer(load_balancer_options options, std::uint64_t seed = std::random_device {}());
    ~load_balancer();
    load_balancer(load_balancer&& other) noexcept;

    // Replaces the registered upstreams. Keeps the state of those whose service and start time are unchanged.
    void replaceUpstreams(std::span<const upstream_entry> upstreams, steady_clock::time_point now);

    // Likewise, by what differs from before: upstreams that were added or changed, and the ids of those that
    // were removed. Those that are as before, or unknown, are ignored. The cost grows with the changes and
    // with the upstreams of services that got other ones.
    void changeUpstreams(std::span<const upstream_entry> changed, std::span<const std::string> removed,
        steady_clock::time_point now);

    // Takes requests from the process of an upstream that has said that it leaves, until another process is
    // registered under its identifier. Returns whether that is news.
    bool noteLeaving(const leaving_notice& notice, steady_clock::time_point now);

    // Returns the notices of leaving processes that other processes have replaced since the last call.
    std::vector<leaving_notice> takeEndedLeavingNotices() { return m_leavingNotices.takeEnded(); }

    // Returns whether an upstream is registered and neither its registration nor itself says that it leaves.
    bool isAcceptingRequests(std::string_view upstream) const;

    // Returns whether any upstream of a service accepts requests.
    bool hasUpstreams(std::string_view service) const;

    // Selects an upstream. The caller must call startAttempt() and finishAttempt() for it.
    choice choose(const choice_request& request, steady_clock::time_point now);

    // Records the start of an attempt; unknown upstreams are ignored.
    void startAttempt(std::string_view upstream, bool isProbe, steady_clock::time_point now);

    // Records the end of the attempt that began at `started` and took `elapsed`. Returns the evidence to send
    // to the peers, if any.
    std::optional<upstream_evidence> finishAttempt(std::string_view upstream, health_signal signal,
        steady_clock::duration elapsed, steady_clock::time_point started, bool isAtMostOnce,
        steady_clock::time_point now);

    // Applies evidence received from a peer. Returns whether the upstream is excluded from now on, or no
    // longer; std::nullopt if that did not change.
    std::optional<bool> applyEvidence(
        const upstream_evidence& evidence, bool isAtMostOnce, steady_clock::time_point now);

    // Replaces a peer's load at an upstream.
    void applyPeerLoad(std::string_view peer, const upstream_load& load, steady_clock::time_point now);

    // Excludes upstreams at which a request of this VM stalls. Returns the evidence to send to the peers. The
    // cost grows with the upstreams in use by this VM, not with those registered.
    std::vector<upstream_evidence> excludeStalled(steady_clock::time_point now);

    // Returns this VM's load at each upstream where it changed since the last call, in the order of the
    // changes. The cost grows with the changes only.
    std::vector<upstream_load> takeChangedLoads();

    // Records that an answer of an upstream turned a request away. Until the end of the time that it stated
    // the upstream is not chosen, not even for a probe; see retry_after_holds. Returns the end if it is new
    // or noticeably later than the one known.
    std::optional<deadline> recordTurnAway(
        std::string_view upstream, const turn_away& stated, steady_clock::time_point now);

    // Returns whether a registered upstream turns requests away at present.
    bool isHeld(std::string_view upstream, steady_clock::time_point now) const;

    // Returns when the slots of a service can be used again, in the order of time, if all upstreams of this
    // VM's part turn requests away; otherwise nothing.
    std::vector<returning_capacity> heldCapacity(
        std::string_view service, steady_clock::time_point now) const;

    // Records whether a request of this VM succeeded; feeds the service's loss share.
    void recordOutcome(std::string_view service, bool isServed, steady_clock::time_point now);

    // Sets how many VMs send requests to this VM's part of a service's upstreams, to extrapolate the total
    // from its own, and that part. The other upstreams are used only if none of the part has room.
    void setServiceShare(
        std::string_view service, int sharingVms, const std::shared_ptr<const upstream_partition>& partition);

    // Returns the registered entry of an upstream, or nullptr.
    const upstream_entry* find(std::string_view upstream) const;

    // Returns the registered upstream at an address that started last, or nullptr. Searches all upstreams.
    const upstream_entry* findNewestAt(std::string_view address) const;

    // Returns the addresses of up to `count` distinct upstreams of a service, or of as many services as
    // possible if `only` is empty; excluded ones come last. The cost grows with the number of services.
    std::vector<std::string> sampleAddresses(std::string_view only, std::size_t count);

    // Returns the sum of slots of a service's upstreams, excluded ones included, those registered as leaving
    // not. As VMs must agree on it, it does not depend on what upstreams say in their responses.
    int slotsOf(std::string_view service) const;

    // Returns the aggregated state of this VM's part of a service's upstreams; all zeros for an unknown
    // service.
    service_stats statsOf(
        std::string_view service, steady_clock::time_point now, const rate_limits* limits = nullptr) const;

private:
    struct upstream_state;
    struct service_state;

    template <upstream_ranking Ranking>
    choice chooseBy(const Ranking& ranking, service_state& service, const choice_request& request,
        steady_clock::time_point now);
    ranked_upstream ranked(const upstream_state& each, const service_state& service, int inFlight,
        steady_clock::time_point now) const;
    static std::size_t heldPermits(
        const service_state& service, const rate_limits& limits, steady_clock::time_point now);
    int inFlightAt(const upstream_state& each, steady_clock::time_point now) const;
    upstream_state* chooseOutsidePart(
        const service_state& service, const choice_request& request, steady_clock::time_point now);
    service_state& serviceOf(const std::string& name);
    void updateService(service_state& service);
    void divideUpstreams(service_state& service);
    upstream_state* longestUnused(
        service_state& service, const choice_request& request, steady_clock::time_point now) const;
    static bool hasRepeatable(const service_state& service, steady_clock::time_point now);
    double randomFraction() { return std::uniform_real_distribution<>()(m_random); }
    void noteChangedLoad(upstream_state& each);
    bool isRefusalWidespread(const upstream_state& each, steady_clock::time_point now) const;
    upstream_state* findState(std::string_view upstream) const;

    const load_balancer_options m_options;
    std::mt19937_64 m_random;
    retry_after_holds m_holds;
    std::map<std::string, std::unique_ptr<upstream_state>, std::less<>> m_upstreams;
    std::map<std::string, std::unique_ptr<service_state>, std::less<>> m_services;
    leaving_notices m_leavingNotices;
    std::set<std::string, std::less<>> m_used; // Those with attempts of this VM in flight, and some that had.
    std::vector<std::string> m_changedLoads; // Since the last takeChangedLoads().
};

}
