#pragma once

// Excludes upstreams after failures, and readmits them by probes.
//
//     circuit_breaker breaker(options); // One for each service.
//     breaker.recordFailure(health, { .isOwn = true, .startedAt = startedAt }, fraction, now);
//     if (breaker.isProbeDue(health, now))
//         sendProbe();
//
// A failure excludes the upstream (open) for an exclusion time, after which single requests probe it
// (half-open) until it is readmitted (closed). VMs that share an upstream tell each other its failures and
// probes, but with a delay: the VM that saw the failure probes first, the others later. Failures that begin
// with the exclusion, or before it, are of the same onset and do not prolong it. Performs no I/O. Not thread
// safe.

#include "marlsill/base/time.h"
#include "marlsill/placement/health_evidence.h"
#include "marlsill/placement/learned_exclusion.h"

#include <chrono>
#include <optional>

namespace marlsill::placement {

// Settings of the circuit breakers.
struct exclusion_options {
    // Exclusion after a failure where requests that can be retried may probe: a failed probe costs only a
    // retry, so that every third first one may fail.
    learned_exclusion_options repeatable {
        .initial = std::chrono::milliseconds(1'500),
        .min = std::chrono::milliseconds(1'500),
        .increase = std::chrono::milliseconds(200),
        .decrease = std::chrono::milliseconds(100),
    };
    // The same where only at-most-once requests can, which their callers lose: one first probe of 13 fails.
    learned_exclusion_options atMostOnce {};
    // Two errors after processing within this time count as a failure of the upstream.
    std::chrono::milliseconds errorWindow { 1'000 };
    std::chrono::milliseconds unreachable { 1'000 }; // A crashed upstream restarts within seconds.
    std::chrono::milliseconds refused { 200 }; // About the service time of one request.
    std::chrono::milliseconds probeTimeout { 1'500 }; // A pending probe blocks further ones this long.
    // VMs that heard of the failure probe later than the one that saw it, by this and a part of
    // `probeJitter`, so that they hear of a probe before they start one.
    std::chrono::milliseconds peerProbeDelay { 100 };
    std::chrono::milliseconds probeJitter { 300 };
    // Failures this soon after the first one are of the same onset; VMs hear of it within about 35 ms.
    std::chrono::milliseconds onsetTime { 150 };
    // A failure this long after a readmission is the first of another episode, also on a VM that has sent no
    // request to the upstream since.
    std::chrono::milliseconds relapseTime { 2'000 };
    // Successful probes until readmission. One is not enough: a partially failed upstream still answers about
    // one request in six.
    int probesToReadmit = 2;
    int rampUpSuccesses = 3; // Successes, probes included, before an upstream gets its full load.
    // An excluded upstream counts as unused after this time without a request from any VM. Together with
    // the delay of a probe it must stay below the two-second window of the capacity floor.
    std::chrono::milliseconds unusedAfter { 1'500 };
};

// The state of one upstream.
struct upstream_health {
    bool isExcluded = false;
    bool probesAtMostOnce = false; // Of the last failure.
    bool hasFailed = false; // It is excluded for a failure, not for a refusal or a lost connection alone.
    int consecutiveFailures = 0; // Failed probes included, up to a maximum.
    int probesLeft = 0; // Successful probes until readmission.
    int rampUpLeft = 0; // Successes until it gets more than one request at a time by preference.
    std::chrono::milliseconds probeDelay {}; // By which this VM delays a probe, in case a peer starts it.
    deadline excludedUntil {}; // Probes are due from then on.
    deadline probeUntil {}; // Another VM or this one is probing until then.
    steady_clock::time_point excludedSince {};
    steady_clock::time_point readmittedAt {};
    steady_clock::time_point lastUsedAt {}; // Last known request of any VM.
    steady_clock::time_point lastErrorAfterProcessing {};
};

// A failure at an upstream.
struct observed_failure {
    bool isOwn = false; // Of an attempt of this VM; otherwise a peer reported it.
    bool probesAtMostOnce = false; // Only at-most-once requests can probe.
    steady_clock::time_point startedAt {}; // Of the attempt; unknown for a peer's.
};

// Decides on the upstreams of one service; see the file comment. Random fractions are 0 to 1.
class circuit_breaker {
public:
    explicit circuit_breaker(const exclusion_options& options)
        : m_options(options)
        , m_repeatable(options.repeatable)
        , m_atMostOnce(options.atMostOnce)
    {
    }

    bool isProbeDue(const upstream_health& each, steady_clock::time_point now) const
    {
        return each.isExcluded && hasPassed(each.excludedUntil + each.probeDelay, now)
            && hasPassed(each.probeUntil, now);
    }

    // Returns whether an upstream is excluded and no VM has sent a request to it for so long, `delay`
    // included, that it may count against the capacity floor.
    bool isUnused(
        const upstream_health& each, std::chrono::milliseconds delay, steady_clock::time_point now) const
    {
        return each.isExcluded && each.lastUsedAt + m_options.unusedAfter + each.probeDelay + delay < now
            && hasPassed(each.probeUntil, now);
    }

    // Records that this VM or a peer starts a probe.
    void recordProbe(upstream_health& each, steady_clock::time_point now) const
    {
        each.probeUntil = now + m_options.probeTimeout;
    }

    // Excludes an upstream for a time without a failure, e.g. after a refusal. All VMs probe it at random
    // times within `probeJitter`.
    void exclude(upstream_health& each, std::chrono::milliseconds exclusion, double fraction,
        steady_clock::time_point now) const;

    // Records a failure, which excludes the upstream.
    void recordFailure(upstream_health& each, const observed_failure& failure, double fraction,
        steady_clock::time_point now);

    // Records an error after processing. The second one within `errorWindow` counts as a failure.
    void recordErrorAfterProcessing(upstream_health& each, const observed_failure& failure, double fraction,
        steady_clock::time_point now);

    // Records a success of this VM's attempt that began at `startedAt`. Returns what to tell the peers.
    std::optional<evidence_kind> recordSuccess(
        upstream_health& each, steady_clock::time_point startedAt, steady_clock::time_point now);

    // Readmits an upstream.
    void readmit(upstream_health& each, steady_clock::time_point now);

    const exclusion_options& options() const { return m_options; }

private:
    void excludeFailed(upstream_health& each, std::chrono::milliseconds exclusion, bool isOwn,
        double fraction, steady_clock::time_point now) const;
    std::chrono::milliseconds exclusionOf(const upstream_health& each) const;
    learned_exclusion& learnedFor(const upstream_health& each)
    {
        return each.probesAtMostOnce ? m_atMostOnce : m_repeatable;
    }

    exclusion_options m_options;
    learned_exclusion m_repeatable; // Lengths where such requests probe.
    learned_exclusion m_atMostOnce;
};

}
