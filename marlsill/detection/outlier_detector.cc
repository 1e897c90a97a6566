#include "marlsill/detection/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace marlsill::detection {

namespace {

    constexpr double lowestThreshold = 10; // At weight 1.
    constexpr double highestThreshold = 22; // At weight 0.
    constexpr double scoreCap = 1.5; // Of the threshold, so that a long failure does not delay the return.
    constexpr double singleDomainCap = 0.6; // Of the threshold, where two domains have traffic.
    constexpr double lowestFailureRate = 0.002;
    constexpr double highestFailureRate = 0.5;
    constexpr double suspectFailureRate = 0.05;
    constexpr double suspectRateFactor = 4;
    constexpr double suspectSlowdown = 1.8; // Latency that the test looks for, relative to the others.
    constexpr double lowestDeviation = 0.2; // Of log-latencies.
    constexpr double mostPerSample = 2; // Score that one latency may add.
    constexpr double leastSamples = 10; // Latencies of an upstream that others are compared with.
    constexpr double recentHalfLife = 10; // seconds
    constexpr double scoreHalfLife = 15; // seconds
    constexpr std::chrono::seconds trafficMemory { 5 };
    constexpr int mostDoublings = 4;

    double median(std::vector<double> values)
    {
        auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

}

double thresholdFor(double weight)
{
    return highestThreshold + (lowestThreshold - highestThreshold) * std::clamp(weight, 0.0, 1.0);
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
            found->second.coldUntil = now + m_options.coldLength;
        }
    }
}

void outlier_detector::add(
    std::string_view upstream, const std::string& reporterDomain, const upstream_evidence& evidence)
{
    auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end()) {
        found->second.fresh[reporterDomain].add(evidence);
    }
}

outlier_detector::reference outlier_detector::referenceFor(const std::string& upstream) const
{
    reference others;
    double runs = 0;
    double failures = 0;
    std::vector<double> means;
    std::vector<double> deviations;
    std::vector<double> failureRates;
    for (const auto& [name, entry] : m_upstreams) {
        if (name == upstream) {
            continue;
        }
        runs += entry.recentRuns;
        failures += entry.recentFailures;
        if (entry.recentRuns >= 1) {
            failureRates.push_back(entry.recentFailures / entry.recentRuns);
        }
        if (entry.recentLatencies >= leastSamples) {
            double mean = entry.recentLogSum / entry.recentLatencies;
            double square = entry.recentLogSquareSum / entry.recentLatencies;
            means.push_back(mean);
            deviations.push_back(std::sqrt(std::max(0.0, square - mean * mean)));
        }
    }
    // The median keeps one other failing upstream from hiding this one; the pooled rate is finer when all are
    // well.
    double pooled = runs > 0 ? failures / runs : 0;
    double typical = failureRates.empty() ? 0 : std::min(pooled, median(failureRates) + lowestFailureRate);
    others.failureRate = std::clamp(typical, lowestFailureRate, highestFailureRate);
    others.hasLatency = !means.empty();
    if (others.hasLatency) {
        others.logLatency = median(means);
        others.deviation = std::max(lowestDeviation, median(deviations));
    }
    return others;
}

void outlier_detector::scoreFailures(
    domain_scores& scores, const upstream_evidence& fresh, const reference& others) const
{
    double healthy = others.failureRate;
    double suspect = std::min(0.95, std::max(suspectFailureRate, suspectRateFactor * healthy));
    double perFailure = std::log(suspect / healthy);
    double perSuccess = std::log((1 - suspect) / (1 - healthy));
    int successes = fresh.runs - fresh.failures;
    scores.failures = std::max(0.0, scores.failures + fresh.failures * perFailure + successes * perSuccess);
}

void outlier_detector::scoreLatency(
    domain_scores& scores, const upstream_evidence& fresh, const reference& others) const
{
    if (fresh.latencies == 0 || !others.hasLatency) {
        return;
    }
    double shift = std::log(suspectSlowdown);
    double excess = fresh.logLatencySum / fresh.latencies - others.logLatency;
    double variance = others.deviation * others.deviation;
    double perSample = std::min(mostPerSample, shift / variance * (excess - shift / 2));
    scores.latency = std::max(0.0, scores.latency + fresh.latencies * perSample);
}

void outlier_detector::forget(upstream_entry& entry, double seconds) const
{
    double recentFactor = std::exp2(-seconds / recentHalfLife);
    entry.recentRuns *= recentFactor;
    entry.recentFailures *= recentFactor;
    entry.recentLatencies *= recentFactor;
    entry.recentLogSum *= recentFactor;
    entry.recentLogSquareSum *= recentFactor;
    double halfLife = scoreHalfLife * std::exp2(std::min(entry.ejections, mostDoublings));
    double scoreFactor = std::exp2(-seconds / halfLife);
    double cap = thresholdFor(m_options.weight) * scoreCap;
    for (auto& [domain, scores] : entry.domains) {
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
    for (auto& [name, entry] : m_upstreams) {
        auto others = referenceFor(name);
        bool isCold = !hasPassed(entry.coldUntil, now);
        for (auto& [domain, fresh] : entry.fresh) {
            auto& scores = entry.domains[domain];
            if (fresh.runs > 0) {
                scores.hasTrafficUntil = now + trafficMemory;
            }
            scoreFailures(scores, fresh, others);
            if (!isCold) {
                scoreLatency(scores, fresh, others);
            }
        }
    }
    for (auto& [name, entry] : m_upstreams) {
        for (auto& [domain, fresh] : entry.fresh) {
            entry.recentRuns += fresh.runs;
            entry.recentFailures += fresh.failures;
            entry.recentLatencies += fresh.latencies;
            entry.recentLogSum += fresh.logLatencySum;
            entry.recentLogSquareSum += fresh.logLatencySquareSum;
        }
        entry.fresh.clear();
        forget(entry, seconds);
        if (entry.ejections > 0 && hasPassed(entry.flapUntil, now)) {
            entry.ejections = 0;
        }
    }
}

outlier_detector::combined_score outlier_detector::combine(
    const upstream_entry& entry, steady_clock::time_point now) const
{
    auto withTraffic = std::count_if(entry.domains.begin(), entry.domains.end(),
        [now](const auto& item) { return !hasPassed(item.second.hasTrafficUntil, now); });
    double cap = thresholdFor(m_options.weight) * (withTraffic >= 2 ? singleDomainCap : scoreCap);
    double failures = 0;
    double latency = 0;
    for (const auto& [domain, scores] : entry.domains) {
        failures += std::min(cap, scores.failures);
        latency += std::min(cap, scores.latency);
    }
    return { std::max(failures, latency), latency > failures };
}

std::chrono::milliseconds outlier_detector::holdOf(
    const upstream_entry& entry, steady_clock::time_point now) const
{
    bool isFlapping = entry.ejections > 0 && !hasPassed(entry.flapUntil, now);
    int doublings = isFlapping ? std::min(entry.ejections, mostDoublings) : 0;
    return std::min(m_options.longestHold, m_options.firstHold * (1 << doublings));
}

std::vector<detection_verdict> outlier_detector::verdicts(steady_clock::time_point now) const
{
    std::vector<detection_verdict> all;
    double threshold = thresholdFor(m_options.weight);
    for (const auto& [name, entry] : m_upstreams) {
        auto combined = combine(entry, now);
        detection_verdict verdict { name, combined.score, threshold };
        double excess = (combined.score - threshold / 2) / (threshold / 2);
        verdict.weight = std::clamp(1 - excess, minSuspectWeight, 1.0);
        verdict.shouldEject = combined.score >= threshold && hasPassed(entry.ejectedUntil, now);
        verdict.ejectionTime = holdOf(entry, now);
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
    auto& entry = found->second;
    entry.ejections = hasPassed(entry.flapUntil, now) ? 1 : entry.ejections + 1;
    entry.flapUntil = now + m_options.flapMemory;
    entry.ejectedUntil = until;
    // The upstream returns by a ramp: it starts close to the trickle and earns its share by good evidence.
    double returning = thresholdFor(m_options.weight) * 0.8;
    for (auto& [domain, scores] : entry.domains) {
        double share = returning / static_cast<double>(entry.domains.size());
        scores.failures = std::min(scores.failures, share);
        scores.latency = std::min(scores.latency, share);
    }
}

}
