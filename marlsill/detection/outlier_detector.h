#pragma once

// Outlier detection for the upstreams of one service, based on the results of its requests.
//
//     outlier_detector detector({ .sensitivity = 0.8 });
//     detector.setUpstreams(names, now);
//     detector.add("bookings-3", "cardiff", evidence);
//     detector.step(now);
//     for (const auto& verdict : detector.verdicts(now))
//         apply(verdict);
//
// Each upstream is compared with the service's other upstreams by a one-sided sequential test (CUSUM; Page,
// 1954) on failures and on log-latencies. Scores are kept separately for each failure domain of the reporting
// entry VMs. While at least two of these domains have traffic, the reports of one alone cannot cause an
// ejection, because a faulty network path from some entry VMs is not a fault of the upstream.

#include "marlsill/base/time.h"
#include "marlsill/routing/snapshot.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::detection {

using routing::upstream_evidence;

// Options of a detector.
struct detector_options {
    double sensitivity = 0.5; // 0 to 1. A higher value detects sooner and causes more false ejections.
    std::chrono::milliseconds latencyWarmup { 5'000 }; // A new upstream's latencies are not scored this long.
    std::chrono::milliseconds baseEjectionTime { 20'000 }; // The first ejection; doubled at each further one.
    std::chrono::milliseconds maxEjectionTime { 320'000 };
    std::chrono::milliseconds flapWindow { 600'000 }; // Ejections are forgotten this long after the last one.
};

// The result of outlier detection for one upstream.
struct detection_verdict {
    std::string upstream;
    double score = 0; // Evidence against the upstream: a log-likelihood ratio that decays.
    double threshold = 0; // The score from which an ejection is proposed.
    double weight = 1; // Load-balancing weight, from minSuspectWeight to 1.
    bool shouldEject = false;
    std::chrono::milliseconds ejectionTime {}; // How long an ejection should last.
    std::string cause; // "failures" or "latency"; empty if the upstream is not suspect.
};

// The smallest load-balancing weight of a suspect upstream. It stays above zero, because a suspect is not
// ejected and further requests are needed to judge it.
constexpr double minSuspectWeight = 0.02;

// Returns the score from which an upstream should be ejected. `sensitivity` is clamped to 0 to 1.
double thresholdFor(double sensitivity);

// Detects outliers among the upstreams of one service. Not thread safe.
class outlier_detector {
public:
    explicit outlier_detector(detector_options options)
        : m_options(options)
    {
    }

    // Changes the sensitivity, which determines the threshold.
    void setSensitivity(double sensitivity) { m_options.sensitivity = sensitivity; }

    // Replaces the set of upstreams. The latencies of new ones are not scored during their warm-up.
    void setUpstreams(const std::vector<std::string>& names, steady_clock::time_point now);

    // Adds evidence from an entry VM in the failure domain `reporterDomain`. Unknown upstreams are ignored.
    void add(std::string_view upstream, const std::string& reporterDomain, const upstream_evidence& evidence);

    // Updates the scores from the evidence added since the last step. Called about four times a second.
    void step(steady_clock::time_point now);

    // Returns the verdicts of all upstreams.
    std::vector<detection_verdict> verdicts(steady_clock::time_point now) const;

    // Records that the upstream is ejected from `now` until `until`. It is not ejected again before `until`,
    // and its scores are reduced so that it returns with part of its weight.
    void recordEjection(std::string_view upstream, steady_clock::time_point now, deadline until);

private:
    // The scores from the evidence of one reporting domain.
    struct domain_scores {
        double failures = 0;
        double latency = 0;
        deadline hasTrafficUntil;
    };

    struct upstream_stats {
        std::map<std::string, upstream_evidence> pending; // Since the last step, by reporting domain.
        std::map<std::string, domain_scores> domains; // By reporting domain.
        // Exponentially decaying sums, from which the baseline of other upstreams is computed.
        double recentRuns = 0;
        double recentFailures = 0;
        double recentLatencies = 0;
        double recentLogSum = 0;
        double recentLogSquareSum = 0;
        deadline latencyWarmupUntil;
        deadline ejectedUntil;
        int ejectionCount = 0; // Within the flap window.
        deadline flapWindowUntil;
    };

    // The typical behaviour of a service's other upstreams.
    struct peer_baseline {
        double failureRate = 0;
        double logLatency = 0; // Natural logarithm of milliseconds.
        double deviation = 1; // Standard deviation of log-latencies.
        bool hasLatency = false; // Whether there are enough latencies to compare with.
    };

    // The higher of the failure and latency scores, each summed over the domains.
    struct combined_score {
        double score = 0;
        bool isLatency = false;
    };

    peer_baseline baselineFor(const std::string& upstream) const;
    void scoreFailures(
        domain_scores& scores, const upstream_evidence& pending, const peer_baseline& baseline) const;
    void scoreLatency(
        domain_scores& scores, const upstream_evidence& pending, const peer_baseline& baseline) const;
    void decay(upstream_stats& stats, double seconds) const;
    combined_score combine(const upstream_stats& stats, steady_clock::time_point now) const;
    std::chrono::milliseconds ejectionTimeFor(
        const upstream_stats& stats, steady_clock::time_point now) const;

    detector_options m_options;
    std::map<std::string, upstream_stats, std::less<>> m_upstreams;
    steady_clock::time_point m_lastStep {};
};

}
