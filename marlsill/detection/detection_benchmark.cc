// Measures detection time and false ejections of the detector against a baseline of consecutive failures with
// fixed thresholds, on the same seeded streams. Time is virtual.
//
// Each scenario runs six upstreams with requests from entry VMs in three failure domains. False ejections are
// of upstreams that did nothing wrong, per upstream-day.

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
    constexpr double requestsPerSecond = 60; // Of the whole service.
    constexpr double typicalMilliseconds = 20;
    constexpr double latencyDeviation = 0.5; // Of the logarithm.
    constexpr double healthyFailureRate = 0.001;
    constexpr double timeoutMilliseconds = 1000;

    // What a request meets.
    struct request_fate {
        double failureRate = healthyFailureRate;
        double slowdown = 1;
        bool isShed = false;
    };

    using fate_function
        = std::function<request_fate(std::size_t upstream, std::size_t domain, double second)>;

    struct scenario {
        const char* name;
        fate_function fate;
        std::vector<std::size_t> guilty;
        double guiltyFrom = 30; // seconds
        double seconds = 150;
    };

    struct run_outcome {
        double detectionSeconds = -1; // Of the first guilty upstream; negative when it was missed.
        int falseEjections = 0;
        double innocentDays = 0;
    };

    // The baseline: so many failures or slow answers in a row, as seen by all entry VMs together.
    class consecutive_failures {
    public:
        explicit consecutive_failures(int limit)
            : m_limit(limit)
            , m_inRow(upstreamCount, 0)
            , m_ejectedUntil(upstreamCount, -1)
        {
        }

        void add(std::size_t upstream, std::size_t, bool hasFailed, double milliseconds)
        {
            bool isBad = hasFailed || milliseconds > slowMilliseconds;
            m_inRow[upstream] = isBad ? m_inRow[upstream] + 1 : 0;
        }

        std::vector<std::size_t> step(double second)
        {
            std::vector<std::size_t> ejected;
            for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
                if (m_inRow[upstream] >= m_limit && second >= m_ejectedUntil[upstream]) {
                    m_ejectedUntil[upstream] = second + holdSeconds;
                    m_inRow[upstream] = 0;
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
        static constexpr double holdSeconds = 20;
        const int m_limit;
        std::vector<int> m_inRow;
        std::vector<double> m_ejectedUntil;
    };

    class sequential_test {
    public:
        explicit sequential_test(double weight)
            : m_detector({ .weight = weight, .coldLength = std::chrono::milliseconds(0) })
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

    template <typename Detector> run_outcome run(Detector detector, const scenario& scene, unsigned seed)
    {
        std::mt19937_64 random(seed);
        run_outcome outcome;
        double stepSeconds = std::chrono::duration<double>(period).count();
        std::poisson_distribution<int> arrivals(requestsPerSecond * stepSeconds);
        std::normal_distribution<double> logLatency(std::log(typicalMilliseconds), latencyDeviation);
        for (double second = 0; second < scene.seconds; second += stepSeconds) {
            for (int request = arrivals(random); request > 0; --request) {
                auto upstream = random() % upstreamCount;
                auto domain = random() % domainCount;
                auto fate = scene.fate(upstream, domain, second);
                double milliseconds = std::exp(logLatency(random)) * fate.slowdown;
                bool hasFailed = std::bernoulli_distribution(fate.failureRate)(random)
                    || milliseconds > timeoutMilliseconds;
                if (!fate.isShed && !detector.isEjected(upstream, second)) {
                    detector.add(upstream, domain, hasFailed, milliseconds);
                }
            }
            for (auto upstream : detector.step(second)) {
                bool isGuilty
                    = std::find(scene.guilty.begin(), scene.guilty.end(), upstream) != scene.guilty.end();
                if (!isGuilty || second < scene.guiltyFrom) {
                    ++outcome.falseEjections;
                } else if (outcome.detectionSeconds < 0) {
                    outcome.detectionSeconds = second + stepSeconds - scene.guiltyFrom;
                }
            }
        }
        constexpr double secondsPerDay = 86'400;
        outcome.innocentDays
            = static_cast<double>(upstreamCount - scene.guilty.size()) * scene.seconds / secondsPerDay;
        return outcome;
    }

    struct summary {
        double median = 0;
        double p99 = 0;
        double missedShare = 0;
        double falsePerDay = 0;
    };

    template <typename Make> summary runMany(Make make, const scenario& scene, int runs)
    {
        std::vector<double> times;
        int missed = 0;
        int falseEjections = 0;
        double days = 0;
        for (int seed = 1; seed <= runs; ++seed) {
            auto outcome = run(make(), scene, static_cast<unsigned>(seed));
            falseEjections += outcome.falseEjections;
            days += outcome.innocentDays;
            outcome.detectionSeconds < 0 ? static_cast<void>(++missed)
                                         : times.push_back(outcome.detectionSeconds);
        }
        std::sort(times.begin(), times.end());
        summary result;
        if (!times.empty()) {
            result.median = times[times.size() / 2];
            result.p99 = times[times.size() * 99 / 100];
        }
        result.missedShare = scene.guilty.empty() ? 0 : static_cast<double>(missed) / runs;
        result.falsePerDay = falseEjections / days;
        return result;
    }

    std::vector<scenario> scenarios()
    {
        auto guiltyIs = [](request_fate bad) {
            return [bad](std::size_t upstream, std::size_t, double second) {
                return upstream == 0 && second >= 30 ? bad : request_fate {};
            };
        };
        return {
            { "healthy", [](std::size_t, std::size_t, double) { return request_fate {}; }, {}, 30, 3600 },
            { "straggler 3x", guiltyIs({ .slowdown = 3 }), { 0 } },
            { "straggler 10x", guiltyIs({ .slowdown = 10 }), { 0 } },
            { "5 % failures", guiltyIs({ .failureRate = 0.05 }), { 0 } },
            { "20 % failures", guiltyIs({ .failureRate = 0.2 }), { 0 } },
            { "100 % failures", guiltyIs({ .failureRate = 1 }), { 0 } },
            { "flapping 2 s / 2 s",
                [](std::size_t upstream, std::size_t, double second) {
                    bool isBad = upstream == 0 && second >= 30 && std::fmod(second, 4) < 2;
                    return isBad ? request_fate { .failureRate = 1 } : request_fate {};
                },
                { 0 } },
            { "shed storm",
                [](std::size_t, std::size_t, double second) {
                    return request_fate { .isShed = second >= 30 };
                },
                {}, 30, 600 },
            { "one domain's broken path",
                [](std::size_t, std::size_t domain, double second) {
                    return domain == 0 && second >= 30 ? request_fate { .failureRate = 0.3 }
                                                       : request_fate {};
                },
                {}, 30, 600 },
            { "broken path to one",
                [](std::size_t upstream, std::size_t domain, double second) {
                    bool isBad = domain == 0 && upstream == 1 && second >= 30;
                    return isBad ? request_fate { .failureRate = 1 } : request_fate {};
                },
                {}, 30, 600 },
            { "slow domain (2 of 6)",
                [](std::size_t upstream, std::size_t, double second) {
                    return upstream < 2 && second >= 30 ? request_fate { .slowdown = 3 } : request_fate {};
                },
                { 0, 1 } },
        };
    }

    void printRow(const char* scene, const char* detector, const summary& result)
    {
        std::printf("%-26s %-22s %8.2f %8.2f %8.1f %12.2f\n", scene, detector, result.median, result.p99,
            result.missedShare * 100, result.falsePerDay);
    }

}

}

int main()
{
    using namespace marlsill::detection;
    constexpr int runs = 100;
    std::printf("%-26s %-22s %8s %8s %8s %12s\n", "scenario", "detector", "p50 s", "p99 s", "missed %",
        "false/up-day");
    for (const auto& scene : scenarios()) {
        auto runsOfScene = scene.seconds > 1000 ? 24 : runs;
        for (double weight : { 0.8, 0.2 }) {
            auto name = weight > 0.5 ? "sequential (P&M 0.8)" : "sequential (Ebro 0.2)";
            printRow(scene.name, name, runMany([&] { return sequential_test(weight); }, scene, runsOfScene));
        }
        for (int limit : { 3, 5, 7 }) {
            auto name = "consecutive " + std::to_string(limit);
            printRow(scene.name, name.c_str(),
                runMany([&] { return consecutive_failures(limit); }, scene, runsOfScene));
        }
    }
    return 0;
}
