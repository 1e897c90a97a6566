#include "marlsill/placement/circuit_breaker.h"

#include <algorithm>
#include <cstdint>

namespace marlsill::placement {

namespace {

    constexpr double exclusionGrowth = 0.5; // Added share of the exclusion time per further failure.
    constexpr int maxCountedFailures = 3;

    std::chrono::milliseconds times(std::chrono::milliseconds length, double factor)
    {
        return std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(length.count()) * factor));
    }

}

void circuit_breaker::exclude(upstream_health& each, std::chrono::milliseconds exclusion, double fraction,
    steady_clock::time_point now) const
{
    if (!each.isExcluded) {
        each.excludedSince = now;
    }
    each.isExcluded = true;
    each.excludedUntil = std::max(each.excludedUntil, now + exclusion);
    each.probeUntil = now;
    each.probeDelay = times(m_options.probeJitter, fraction);
}

// Excludes an upstream after a failure. The VM that saw it probes first.
void circuit_breaker::excludeFailed(upstream_health& each, std::chrono::milliseconds exclusion, bool isOwn,
    double fraction, steady_clock::time_point now) const
{
    exclude(each, exclusion, fraction, now);
    each.hasFailed = true;
    each.probeDelay = isOwn ? std::chrono::milliseconds(0) : each.probeDelay + m_options.peerProbeDelay;
}

// Returns the exclusion after the failure that was just counted. After a failed probe it need not be longer
// than what failures of the service usually last.
std::chrono::milliseconds circuit_breaker::exclusionOf(const upstream_health& each) const
{
    auto learned = (each.probesAtMostOnce ? m_atMostOnce : m_repeatable).length();
    if (each.consecutiveFailures == 1) {
        return learned;
    }
    auto base = each.probesAtMostOnce ? m_options.atMostOnce.initial : m_options.repeatable.initial;
    auto growth = 1 + exclusionGrowth * (each.consecutiveFailures - 1);
    return each.consecutiveFailures == 2 ? std::min(learned, times(base, growth)) : times(base, growth);
}

void circuit_breaker::recordFailure(
    upstream_health& each, const observed_failure& failure, double fraction, steady_clock::time_point now)
{
    each.probesLeft = m_options.probesToReadmit;
    each.rampUpLeft = m_options.rampUpSuccesses;
    bool wasExcluded = each.isExcluded && each.hasFailed;
    bool isOnset = wasExcluded
        && (now < each.excludedSince + m_options.onsetTime
            || (failure.isOwn && failure.startedAt <= each.excludedSince));
    if (isOnset) {
        return;
    }
    bool isEarly = wasExcluded && now < each.excludedUntil;
    if (isEarly) {
        // A request that was sent nevertheless: the exclusion was right, and is over no sooner.
        excludeFailed(each, m_options.repeatable.initial, failure.isOwn, fraction, now);
        return;
    }
    // An upstream of another VM's part may stay excluded long after a probe was due.
    auto relapseUntil
        = (wasExcluded ? each.excludedUntil + each.probeDelay : each.readmittedAt) + m_options.relapseTime;
    if (now >= relapseUntil) {
        each.consecutiveFailures = 0;
        each.excludedSince = now;
    } else if (wasExcluded && each.consecutiveFailures == 1) {
        learnedFor(each).recordFirstProbe(false);
    }
    each.probesAtMostOnce = failure.probesAtMostOnce;
    each.consecutiveFailures = std::min(each.consecutiveFailures + 1, maxCountedFailures);
    excludeFailed(each, exclusionOf(each), failure.isOwn, fraction, now);
}

void circuit_breaker::recordErrorAfterProcessing(
    upstream_health& each, const observed_failure& failure, double fraction, steady_clock::time_point now)
{
    bool isSecond = each.lastErrorAfterProcessing + m_options.errorWindow > now;
    each.lastErrorAfterProcessing = now;
    if (isSecond) {
        recordFailure(each, failure, fraction, now);
    }
}

std::optional<evidence_kind> circuit_breaker::recordSuccess(
    upstream_health& each, steady_clock::time_point startedAt, steady_clock::time_point now)
{
    if (each.isExcluded && startedAt < each.excludedSince) {
        return std::nullopt; // The attempt started before the upstream was excluded.
    }
    each.rampUpLeft = std::max(0, each.rampUpLeft - 1);
    if (!each.isExcluded) {
        each.consecutiveFailures = each.rampUpLeft == 0 ? 0 : each.consecutiveFailures;
        return std::nullopt;
    }
    if (--each.probesLeft > 0) {
        // The next probe is due on this VM at once. The evidence keeps the peers from probing.
        each.excludedUntil = now;
        each.probeUntil = now;
        each.probeDelay = {};
        return evidence_kind::probe;
    }
    readmit(each, now);
    each.consecutiveFailures = each.rampUpLeft == 0 ? 0 : each.consecutiveFailures;
    return evidence_kind::recovered;
}

void circuit_breaker::readmit(upstream_health& each, steady_clock::time_point now)
{
    if (each.isExcluded && each.hasFailed && each.consecutiveFailures == 1) {
        learnedFor(each).recordFirstProbe(true);
    }
    each.readmittedAt = now;
    each.isExcluded = false;
    each.hasFailed = false;
    each.excludedUntil = {};
    each.probeUntil = {};
}

}
