#include "marlsill/detection/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace marlsill::detection {

namespace {

    constexpr double minThreshold = 10; // At sensitivity 1.
    constexpr double maxThreshold = 22; // At sensitivity 0.
    // Bounds the score of one domain, as a multiple of the threshold, so that a long outage does not delay
    // recovery.
    constexpr double scoreCapFactor = 1.5;
    // The same bound while at least two domains have traffic; below 1, so that no domain alone can reach the
    // threshold.
    constexpr double singleDomainCapFactor = 0.6;
    constexpr double minBaselineFailureRate = 0.002;
    constexpr double maxBaselineFailureRate = 0.5;
    constexpr double minSuspectFailureRate = 0.05; // The failure rate that the test looks for, at least.
    constexpr double suspectRateFactor = 4; // The same, relative to the baseline.
    constexpr double suspectSlowdown = 1.8; // The latency that the test looks for, relative to the baseline.
    constexpr double minLogDeviation = 0.2; // Smallest standard deviation of log-latencies in a baseline.
    constexpr double maxScorePerLatency = 2; // Bounds what one latency adds to a score.
    constexpr double minBaselineLatencies = 10; // An upstream with fewer is left out of the latency baseline.
    constexpr double baselineHalfLifeSeconds = 10;
    constexpr double scoreHalfLifeSeconds = 15; // Doubled with each recent ejection.
    constexpr std::chrono::seconds trafficWindow { 5 }; // A domain has traffic this long after a request.
    constexpr int maxDoublings = 4; // Of the ejection time and the scores' half-life.

    double median(std::vector<double> values)
    {
        auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

}

double thresholdFor(double sensitivity)
{
    return maxThreshold + (minThreshold - maxThreshold) * std::clamp(sensitivity, 0.0, 1.0);
}

void outlier_detector::setUpstreams(const std::vector<std::string>& names, steady_clock::time_point now)
{
    for (auto each = m_upstreams.begin(); each != m_upstreams.end();) {
        bool isKnown = std::find(names.begin(), names.end(), each->first) != names.end();
        each = isKnown ? std::next(each) : m_upstreams.erase(each);
    }
    for (const auto& name : names) {
        auto [found, isNew] = m_upstreams.try_emplace(name);
        if (isNew) {
            found->second.latencyWarmupUntil = now + m_options.latencyWarmup;
        }
    }
}

void outlier_detector::add(
    std::string_view upstream, const std::string& reporterDomain, const upstream_evidence& evidence)
{
    auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end()) {
        found->second.pending[reporterDomain].add(evidence);
    }
}

outlier_detector::peer_baseline outlier_detector::baselineFor(const std::string& upstream) const
{
    peer_baseline baseline;
    double runs = 0;
    double failures = 0;
    std::vector<double> means;
    std::vector<double> deviations;
    std::vector<double> failureRates;
    for (const auto& [name, stats] : m_upstreams) {
        if (name == upstream) {
            continue;
        }
        runs += stats.recentRuns;
        failures += stats.recentFailures;
        if (stats.recentRuns >= 1) {
            failureRates.push_back(stats.recentFailures / stats.recentRuns);
        }
        if (stats.recentLatencies >= minBaselineLatencies) {
            double mean = stats.recentLogSum / stats.recentLatencies;
            double square = stats.recentLogSquareSum / stats.recentLatencies;
            means.push_back(mean);
            deviations.push_back(std::sqrt(std::max(0.0, square - mean * mean)));
        }
    }
    // The median keeps another failing upstream from raising the baseline and so hiding this one. The pooled
    // rate is more precise when all upstreams are healthy.
    double pooled = runs > 0 ? failures / runs : 0;
    double typical
        = failureRates.empty() ? 0 : std::min(pooled, median(failureRates) + minBaselineFailureRate);
    baseline.failureRate = std::clamp(typical, minBaselineFailureRate, maxBaselineFailureRate);
    baseline.hasLatency = !means.empty();
    if (baseline.hasLatency) {
        baseline.logLatency = median(means);
        baseline.deviation = std::max(minLogDeviation, median(deviations));
    }
    return baseline;
}

void outlier_detector::scoreFailures(
    domain_scores& scores, const upstream_evidence& pending, const peer_baseline& baseline) const
{
    double baselineRate = baseline.failureRate;
    double suspectRate = std::min(0.95, std::max(minSuspectFailureRate, suspectRateFactor * baselineRate));
    double perFailure = std::log(suspectRate / baselineRate);
    double perSuccess = std::log((1 - suspectRate) / (1 - baselineRate));
    int successes = pending.runs - pending.failures;
    scores.failures = std::max(0.0, scores.failures + pending.failures * perFailure + successes * perSuccess);
}

void outlier_detector::scoreLatency(
    domain_scores& scores, const upstream_evidence& pending, const peer_baseline& baseline) const
{
    if (pending.latencies == 0 || !baseline.hasLatency) {
        return;
    }
    double shift = std::log(suspectSlowdown);
    double excess = pending.logLatencySum / pending.latencies - baseline.logLatency;
    double variance = baseline.deviation * baseline.deviation;
    double scorePerLatency = std::min(maxScorePerLatency, shift / variance * (excess - shift / 2));
    scores.latency = std::max(0.0, scores.latency + pending.latencies * scorePerLatency);
}

void outlier_detector::decay(upstream_stats& stats, double seconds) const
{
    double recentFactor = std::exp2(-seconds / baselineHalfLifeSeconds);
    stats.recentRuns *= recentFactor;
    stats.recentFailures *= recentFactor;
    stats.recentLatencies *= recentFactor;
    stats.recentLogSum *= recentFactor;
    stats.recentLogSquareSum *= recentFactor;
    double halfLife = scoreHalfLifeSeconds * std::exp2(std::min(stats.ejectionCount, maxDoublings));
    double scoreFactor = std::exp2(-seconds / halfLife);
    double cap = thresholdFor(m_options.sensitivity) * scoreCapFactor;
    for (auto& [domain, scores] : stats.domains) {
        scores.failures = std::min(cap, scores.failures * scoreFactor);
        scores.latency = std::min(cap, scores.latency * scoreFactor);
    }
}

void outlier_detector::step(steady_clock::time_point now)
{
    double seconds = m_lastStep == steady_clock::time_point {}
        ? 0
        : std::chrono::duration<double>(now - m_lastStep).count();
    m_lastStep = now;
    for (auto& [name, stats] : m_upstreams) {
        auto baseline = baselineFor(name);
        bool isWarmingUp = !hasPassed(stats.latencyWarmupUntil, now);
        for (auto& [domain, pending] : stats.pending) {
            auto& scores = stats.domains[domain];
            if (pending.runs > 0) {
                scores.hasTrafficUntil = now + trafficWindow;
            }
            scoreFailures(scores, pending, baseline);
            if (!isWarmingUp) {
                scoreLatency(scores, pending, baseline);
            }
        }
    }
    for (auto& [name, stats] : m_upstreams) {
        for (auto& [domain, pending] : stats.pending) {
            stats.recentRuns += pending.runs;
            stats.recentFailures += pending.failures;
            stats.recentLatencies += pending.latencies;
            stats.recentLogSum += pending.logLatencySum;
            stats.recentLogSquareSum += pending.logLatencySquareSum;
        }
        stats.pending.clear();
        decay(stats, seconds);
        if (stats.ejectionCount > 0 && hasPassed(stats.flapWindowUntil, now)) {
            stats.ejectionCount = 0;
        }
    }
}

outlier_detector::combined_score outlier_detector::combine(
    const upstream_stats& stats, steady_clock::time_point now) const
{
    auto withTraffic = std::count_if(stats.domains.begin(), stats.domains.end(),
        [now](const auto& item) { return !hasPassed(item.second.hasTrafficUntil, now); });
    double cap
        = thresholdFor(m_options.sensitivity) * (withTraffic >= 2 ? singleDomainCapFactor : scoreCapFactor);
    double failures = 0;
    double latency = 0;
    for (const auto& [domain, scores] : stats.domains) {
        failures += std::min(cap, scores.failures);
        latency += std::min(cap, scores.latency);
    }
    return { std::max(failures, latency), latency > failures };
}

std::chrono::milliseconds outlier_detector::ejectionTimeFor(
    const upstream_stats& stats, steady_clock::time_point now) const
{
    bool isFlapping = stats.ejectionCount > 0 && !hasPassed(stats.flapWindowUntil, now);
    int doublings = isFlapping ? std::min(stats.ejectionCount, maxDoublings) : 0;
    return std::min(m_options.maxEjectionTime, m_options.baseEjectionTime * (1 << doublings));
}

std::vector<detection_verdict> outlier_detector::verdicts(steady_clock::time_point now) const
{
    std::vector<detection_verdict> all;
    double threshold = thresholdFor(m_options.sensitivity);
    for (const auto& [name, stats] : m_upstreams) {
        auto combined = combine(stats, now);
        detection_verdict verdict { name, combined.score, threshold };
        double excess = (combined.score - threshold / 2) / (threshold / 2);
        verdict.weight = std::clamp(1 - excess, minSuspectWeight, 1.0);
        verdict.shouldEject = combined.score >= threshold && hasPassed(stats.ejectedUntil, now);
        verdict.ejectionTime = ejectionTimeFor(stats, now);
        if (combined.score > threshold / 2) {
            verdict.cause = combined.isLatency ? "latency" : "failures";
        }
        all.push_back(std::move(verdict));
    }
    return all;
}

void outlier_detector::recordEjection(std::string_view upstream, steady_clock::time_point now, deadline until)
{
    auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    auto& stats = found->second;
    stats.ejectionCount = hasPassed(stats.flapWindowUntil, now) ? 1 : stats.ejectionCount + 1;
    stats.flapWindowUntil = now + m_options.flapWindow;
    stats.ejectedUntil = until;
    // Capping the scores at 0.8 of the threshold lets the upstream return with a reduced weight, which rises
    // to 1 as the scores decrease.
    double returnScore = thresholdFor(m_options.sensitivity) * 0.8;
    for (auto& [domain, scores] : stats.domains) {
        double share = returnScore / static_cast<double>(stats.domains.size());
        scores.failures = std::min(scores.failures, share);
        scores.latency = std::min(scores.latency, share);
    }
}

}
