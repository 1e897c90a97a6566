// Measures the detection time and the false ejections of the outlier detector against a baseline of
// consecutive failures with fixed thresholds, on the same seeded request streams. Time is simulated.
//
// Each scenario runs six upstreams with requests from entry VMs in three failure domains. False ejections are
// ejections of healthy upstreams; they are reported per day and upstream.

#include "marlsill/detection/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <random>

namespace marlsill::detection {

namespace {

    constexpr std::chrono::milliseconds period { 250 };
    constexpr std::size_t upstreamCount = 6;
    constexpr std::size_t domainCount = 3;
    constexpr double requestsPerSecond = 60; // To the whole service.
    constexpr double medianMilliseconds = 20;
    constexpr double latencyDeviation = 0.5; // Standard deviation of the natural logarithm.
    constexpr double healthyFailureRate = 0.001;
    constexpr double timeoutMilliseconds = 1000;

    // The conditions that one request meets.
    struct request_behaviour {
        double failureRate = healthyFailureRate;
        double slowdown = 1; // Factor of the latency.
        bool isShed = false;
    };

    using behaviour_function
        = std::function<request_behaviour(std::size_t upstream, std::size_t domain, double second)>;

    struct scenario {
        const char* name;
        behaviour_function behaviour;
        std::vector<std::size_t> faulty; // Indexes of the upstreams that should be ejected.
        double faultStartSeconds = 30; // Since the start of the run.
        double seconds = 150;
    };

    struct run_outcome {
        double detectionSeconds = -1; // Until the first correct ejection; negative if there was none.
        int falseEjections = 0;
        double healthyUpstreamDays = 0;
    };

    // The baseline detector: ejects an upstream after a number of consecutive failed or slow responses,
    // counted over all entry VMs.
    class consecutive_failures {
    public:
        explicit consecutive_failures(int limit)
            : m_limit(limit)
            , m_consecutive(upstreamCount, 0)
            , m_ejectedUntil(upstreamCount, -1)
        {
        }

        void add(std::size_t upstream, std::size_t, bool hasFailed, double milliseconds)
        {
            bool isBad = hasFailed || milliseconds > slowMilliseconds;
            m_consecutive[upstream] = isBad ? m_consecutive[upstream] + 1 : 0;
        }

        std::vector<std::size_t> step(double second)
        {
            std::vector<std::size_t> ejected;
            for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
                if (m_consecutive[upstream] >= m_limit && second >= m_ejectedUntil[upstream]) {
                    m_ejectedUntil[upstream] = second + ejectionSeconds;
                    m_consecutive[upstream] = 0;
                    ejected.push_back(upstream);
                }
            }
            return ejected;
        }

        bool isEjected(std::size_t upstream, double second) const
        {
            return second < m_ejectedUntil[upstream];
        }

    private:
        static constexpr double slowMilliseconds = 60;
        static constexpr double ejectionSeconds = 20;
        const int m_limit;
        std::vector<int> m_consecutive;
        std::vector<double> m_ejectedUntil;
    };

    // Adapts the outlier detector to the interface of the baseline.
    class sequential_test {
    public:
        explicit sequential_test(double sensitivity)
            : m_detector({ .sensitivity = sensitivity, .latencyWarmup = std::chrono::milliseconds(0) })
            , m_ejectedUntil(upstreamCount, -1)
        {
            std::vector<std::string> names;
            for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
                names.push_back(std::to_string(upstream));
            }
            m_detector.setUpstreams(names, {});
        }

        void add(std::size_t upstream, std::size_t domain, bool hasFailed, double milliseconds)
        {
            upstream_evidence evidence { .runs = 1, .failures = hasFailed ? 1 : 0 };
            if (!hasFailed) {
                evidence.logLatencySum = std::log(milliseconds);
                evidence.logLatencySquareSum = evidence.logLatencySum * evidence.logLatencySum;
                evidence.latencies = 1;
            }
            m_detector.add(std::to_string(upstream), std::to_string(domain), evidence);
        }

        std::vector<std::size_t> step(double second)
        {
            auto now = toTime(second);
            m_detector.step(now);
            std::vector<std::size_t> ejected;
            for (const auto& verdict : m_detector.verdicts(now)) {
                if (verdict.shouldEject) {
                    auto upstream = static_cast<std::size_t>(std::stoul(verdict.upstream));
                    m_detector.recordEjection(verdict.upstream, now, now + verdict.ejectionTime);
                    m_ejectedUntil[upstream]
                        = second + std::chrono::duration<double>(verdict.ejectionTime).count();
                    ejected.push_back(upstream);
                }
            }
            return ejected;
        }

        bool isEjected(std::size_t upstream, double second) const
        {
            return second < m_ejectedUntil[upstream];
        }

    private:
        static steady_clock::time_point toTime(double second)
        {
            return steady_clock::time_point(std::chrono::duration_cast<steady_clock::duration>(
                std::chrono::duration<double>(second + 1)));
        }

        outlier_detector m_detector;
        std::vector<double> m_ejectedUntil;
    };

    template <typename Detector> run_outcome run(Detector detector, const scenario& setup, unsigned seed)
    {
        std::mt19937_64 random(seed);
        run_outcome outcome;
        double stepSeconds = std::chrono::duration<double>(period).count();
        std::poisson_distribution<int> arrivals(requestsPerSecond * stepSeconds);
        std::normal_distribution<double> logLatency(std::log(medianMilliseconds), latencyDeviation);
        for (double second = 0; second < setup.seconds; second += stepSeconds) {
            for (int request = arrivals(random); request > 0; --request) {
                auto upstream = random() % upstreamCount;
                auto domain = random() % domainCount;
                auto behaviour = setup.behaviour(upstream, domain, second);
                double milliseconds = std::exp(logLatency(random)) * behaviour.slowdown;
                bool hasFailed = std::bernoulli_distribution(behaviour.failureRate)(random)
                    || milliseconds > timeoutMilliseconds;
                if (!behaviour.isShed && !detector.isEjected(upstream, second)) {
                    detector.add(upstream, domain, hasFailed, milliseconds);
                }
            }
            for (auto upstream : detector.step(second)) {
                bool isFaulty
                    = std::find(setup.faulty.begin(), setup.faulty.end(), upstream) != setup.faulty.end();
                if (!isFaulty || second < setup.faultStartSeconds) {
                    ++outcome.falseEjections;
                } else if (outcome.detectionSeconds < 0) {
                    outcome.detectionSeconds = second + stepSeconds - setup.faultStartSeconds;
                }
            }
        }
        constexpr double secondsPerDay = 86'400;
        outcome.healthyUpstreamDays
            = static_cast<double>(upstreamCount - setup.faulty.size()) * setup.seconds / secondsPerDay;
        return outcome;
    }

    struct summary {
        double median = 0;
        double p99 = 0;
        double missedShare = 0;
        double falseEjectionsPerDay = 0;
    };

    template <typename Factory> summary runMany(Factory makeDetector, const scenario& setup, int runs)
    {
        std::vector<double> detectionTimes;
        int missed = 0;
        int falseEjections = 0;
        double upstreamDays = 0;
        for (int seed = 1; seed <= runs; ++seed) {
            auto outcome = run(makeDetector(), setup, static_cast<unsigned>(seed));
            falseEjections += outcome.falseEjections;
            upstreamDays += outcome.healthyUpstreamDays;
            outcome.detectionSeconds < 0 ? static_cast<void>(++missed)
                                         : detectionTimes.push_back(outcome.detectionSeconds);
        }
        std::sort(detectionTimes.begin(), detectionTimes.end());
        summary result;
        if (!detectionTimes.empty()) {
            result.median = detectionTimes[detectionTimes.size() / 2];
            result.p99 = detectionTimes[detectionTimes.size() * 99 / 100];
        }
        result.missedShare = setup.faulty.empty() ? 0 : static_cast<double>(missed) / runs;
        result.falseEjectionsPerDay = falseEjections / upstreamDays;
        return result;
    }

    std::vector<scenario> scenarios()
    {
        auto whenFirstIsFaulty = [](request_behaviour faultyBehaviour) {
            return [faultyBehaviour](std::size_t upstream, std::size_t, double second) {
                return upstream == 0 && second >= 30 ? faultyBehaviour : request_behaviour {};
            };
        };
        return {
            { "healthy", [](std::size_t, std::size_t, double) { return request_behaviour {}; }, {}, 30,
                3600 },
            { "straggler 3x", whenFirstIsFaulty({ .slowdown = 3 }), { 0 } },
            { "straggler 10x", whenFirstIsFaulty({ .slowdown = 10 }), { 0 } },
            { "5 % failures", whenFirstIsFaulty({ .failureRate = 0.05 }), { 0 } },
            { "20 % failures", whenFirstIsFaulty({ .failureRate = 0.2 }), { 0 } },
            { "100 % failures", whenFirstIsFaulty({ .failureRate = 1 }), { 0 } },
            { "flapping 2 s / 2 s",
                [](std::size_t upstream, std::size_t, double second) {
                    bool isBad = upstream == 0 && second >= 30 && std::fmod(second, 4) < 2;
                    return isBad ? request_behaviour { .failureRate = 1 } : request_behaviour {};
                },
                { 0 } },
            { "all requests shed",
                [](std::size_t, std::size_t, double second) {
                    return request_behaviour { .isShed = second >= 30 };
                },
                {}, 30, 600 },
            { "faulty path, one domain",
                [](std::size_t, std::size_t domain, double second) {
                    return domain == 0 && second >= 30 ? request_behaviour { .failureRate = 0.3 }
                                                       : request_behaviour {};
                },
                {}, 30, 600 },
            { "faulty path, one upstream",
                [](std::size_t upstream, std::size_t domain, double second) {
                    bool isBad = domain == 0 && upstream == 1 && second >= 30;
                    return isBad ? request_behaviour { .failureRate = 1 } : request_behaviour {};
                },
                {}, 30, 600 },
            { "slow domain (2 of 6)",
                [](std::size_t upstream, std::size_t, double second) {
                    return upstream < 2 && second >= 30 ? request_behaviour { .slowdown = 3 }
                                                        : request_behaviour {};
                },
                { 0, 1 } },
        };
    }

    void printRow(const char* setup, const char* detector, const summary& result)
    {
        std::printf("%-26s %-22s %8.2f %8.2f %8.1f %12.2f\n", setup, detector, result.median, result.p99,
            result.missedShare * 100, result.falseEjectionsPerDay);
    }

}

}

int main()
{
    using namespace marlsill::detection;
    constexpr int runs = 100;
    std::printf("%-26s %-22s %8s %8s %8s %12s\n", "scenario", "detector", "p50 s", "p99 s", "missed %",
        "false/up-day");
    for (const auto& setup : scenarios()) {
        auto runsOfScenario = setup.seconds > 1000 ? 24 : runs;
        for (double sensitivity : { 0.8, 0.2 }) {
            auto name = sensitivity > 0.5 ? "CUSUM, sensitivity 0.8" : "CUSUM, sensitivity 0.2";
            printRow(setup.name, name,
                runMany([&] { return sequential_test(sensitivity); }, setup, runsOfScenario));
        }
        for (int limit : { 3, 5, 7 }) {
            auto name = "consecutive " + std::to_string(limit);
            printRow(setup.name, name.c_str(),
                runMany([&] { return consecutive_failures(limit); }, setup, runsOfScenario));
        }
    }
    return 0;
}
