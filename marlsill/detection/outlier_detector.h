#pragma once

// Decides from real traffic which upstreams of a service fail.
//
//     outlier_detector detector({ .weight = 0.8 });
//     detector.setUpstreams(names, now);
//     detector.add("bookings-3", "cardiff", evidence);
//     detector.step(now);
//     for (const auto& verdict : detector.verdicts(now))
//         apply(verdict);
//
// Each upstream is compared with the service's other upstreams by a one-sided sequential test (CUSUM; Page,
// 1954) on failures and on log-latencies. Evidence is kept apart by the failure domain of the reporting VMs,
// and where two of them have traffic, one alone cannot condemn: a broken path of some entry VMs is no fault
// of the upstream.

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
    double weight = 0.5; // Of detection time against false ejections: 0 to 1.
    std::chrono::milliseconds coldLength { 5'000 }; // In which latencies of a new upstream do not count.
    std::chrono::milliseconds firstHold { 20'000 }; // How long the first ejection lasts.
    std::chrono::milliseconds longestHold { 320'000 };
    std::chrono::milliseconds flapMemory {
        600'000
    }; // After which an upstream's past ejections are forgotten.
};

// The state of one upstream.
struct detection_verdict {
    std::string upstream;
    double score = 0;
    double threshold = 0;
    double weight = 1; // Share of work that the evidence allows, above zero.
    bool shouldEject = false;
    std::chrono::milliseconds ejectionTime {}; // How long an ejection should last.
    std::string cause; // "failures" or "latency"; empty without suspicion.
};

// The smallest share of work of a suspect, which is no ejection.
constexpr double minSuspectWeight = 0.02;

// Returns the score at which a suspicion is certain enough for an ejection.
double thresholdFor(double weight);

// The detector of one service. Not thread safe.
class outlier_detector {
public:
    explicit outlier_detector(detector_options options)
        : m_options(options)
    {
    }

    // Changes the weight of the test.
    void setSensitivity(double weight) { m_options.weight = weight; }

    // Sets the upstreams; new ones begin cold.
    void setUpstreams(const std::vector<std::string>& names, steady_clock::time_point now);

    // Adds evidence that an entry VM in `reporterDomain` gathered. Unknown upstreams are ignored.
    void add(std::string_view upstream, const std::string& reporterDomain, const upstream_evidence& evidence);

    // Evaluates the evidence since the last step. Called about four times a second.
    void step(steady_clock::time_point now);

    // Returns the verdicts of all upstreams.
    std::vector<detection_verdict> verdicts(steady_clock::time_point now) const;

    // Reports that an ejection has begun; the upstream starts anew when it returns at `until`.
    void recordEjection(std::string_view upstream, steady_clock::time_point now, deadline until);

private:
    struct domain_scores {
        double failures = 0;
        double latency = 0;
        deadline hasTrafficUntil;
    };

    struct upstream_entry {
        std::map<std::string, upstream_evidence> fresh; // By reporting domain, since the last step.
        std::map<std::string, domain_scores> domains;
        double recentRuns = 0; // The recent sums decay; other upstreams are compared with them.
        double recentFailures = 0;
        double recentLatencies = 0;
        double recentLogSum = 0;
        double recentLogSquareSum = 0;
        deadline coldUntil;
        deadline ejectedUntil;
        int ejections = 0;
        deadline flapUntil;
    };

    struct reference {
        double failureRate = 0;
        double logLatency = 0;
        double deviation = 1;
        bool hasLatency = false;
    };

    struct combined_score {
        double score = 0;
        bool isLatency = false;
    };

    reference referenceFor(const std::string& upstream) const;
    void scoreFailures(domain_scores& scores, const upstream_evidence& fresh, const reference& others) const;
    void scoreLatency(domain_scores& scores, const upstream_evidence& fresh, const reference& others) const;
    void forget(upstream_entry& entry, double seconds) const;
    combined_score combine(const upstream_entry& entry, steady_clock::time_point now) const;
    std::chrono::milliseconds holdOf(const upstream_entry& entry, steady_clock::time_point now) const;

    detector_options m_options;
    std::map<std::string, upstream_entry, std::less<>> m_upstreams;
    steady_clock::time_point m_lastStep {};
};

}
