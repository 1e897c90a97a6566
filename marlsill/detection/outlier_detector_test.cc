#include "marlsill/detection/outlier_detector.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

namespace marlsill::detection {

namespace {

    constexpr std::chrono::milliseconds period { 250 };
    constexpr const char* domains[] = { "cardiff", "newport", "swansea" };

    // A fault of one upstream, observed from one failure domain or from all.
    struct injected_fault {
        double failureRate = 0;
        double slowdown = 1; // Factor of all latencies.
        const char* onlyFromDomain = nullptr; // Null for all domains.
        int startSecond = 10;
    };

    upstream_evidence sampleRequest(const injected_fault& fault, bool isActive, std::mt19937_64& random)
    {
        upstream_evidence evidence { .runs = 1 };
        if (isActive && std::bernoulli_distribution(fault.failureRate)(random)) {
            evidence.failures = 1;
            return evidence;
        }
        double latency = std::log(20.0) + std::normal_distribution<double>(0, 0.4)(random);
        latency += isActive ? std::log(fault.slowdown) : 0;
        return {
            .runs = 1, .logLatencySum = latency, .logLatencySquareSum = latency * latency, .latencies = 1
        };
    }

    // Simulates six upstreams, the first of which has the given fault, and returns its last verdict. All
    // latencies in the first five seconds are multiplied by `warmupSlowdown`.
    detection_verdict run(
        const injected_fault& fault, int seconds, double sensitivity, double warmupSlowdown = 1)
    {
        std::mt19937_64 random(11);
        steady_clock::time_point now {};
        outlier_detector detector({ .sensitivity = sensitivity });
        std::vector<std::string> names { "u0", "u1", "u2", "u3", "u4", "u5" };
        detector.setUpstreams(names, now);
        for (int step = 0; step < seconds * 4; ++step) {
            now += period;
            bool hasStarted = step >= fault.startSecond * 4;
            for (std::size_t index = 0; index < names.size(); ++index) {
                for (const char* domain : domains) {
                    bool isAffected
                        = !fault.onlyFromDomain || std::string_view(fault.onlyFromDomain) == domain;
                    auto evidence = sampleRequest(fault, index == 0 && hasStarted && isAffected, random);
                    if (step < 20) {
                        evidence.logLatencySum += std::log(warmupSlowdown);
                    }
                    detector.add(names[index], domain, evidence);
                }
            }
            detector.step(now);
        }
        return detector.verdicts(now)[0];
    }

}

TEST_CASE("failing and slow upstreams are detected, and a faulty path from one domain causes no ejection")
{
    struct row {
        const char* name;
        injected_fault fault;
        bool isDetected;
        const char* cause;
    };
    constexpr row rows[] = {
        { "healthy", {}, false, "" },
        { "all requests fail", { .failureRate = 1 }, true, "failures" },
        { "one in five requests fails", { .failureRate = 0.2 }, true, "failures" },
        { "straggler", { .slowdown = 10 }, true, "latency" },
        { "mild straggler", { .slowdown = 3 }, true, "latency" },
        { "faulty network path from one domain", { .failureRate = 1, .onlyFromDomain = "cardiff" }, false,
            "failures" },
    };
    for (const row& each : rows) {
        for (double sensitivity : { 0.2, 0.8 }) {
            CAPTURE(each.name);
            CAPTURE(sensitivity);
            auto verdict = run(each.fault, 30, sensitivity);
            CHECK(verdict.shouldEject == each.isDetected);
            CHECK(verdict.cause == each.cause);
            CHECK((verdict.weight <= 0.1) == each.isDetected);
        }
    }
}

TEST_CASE("latencies are not scored during an upstream's warm-up")
{
    auto verdict = run({}, 5, 0.8, 20);
    CHECK(verdict.weight == 1);
}

TEST_CASE("requests shed by the upstream do not count as failures")
{
    outlier_detector detector({ .sensitivity = 0.8 });
    steady_clock::time_point now {};
    detector.setUpstreams({ "u0", "u1" }, now);
    for (int step = 0; step < 100; ++step) {
        now += period;
        detector.add("u0", "cardiff", { .refusals = 50 });
        detector.add("u1", "cardiff", { .runs = 50 });
        detector.step(now);
    }
    CHECK(detector.verdicts(now)[0].score == 0);
}

TEST_CASE("each further ejection lasts longer, up to the maximum")
{
    outlier_detector detector({ .sensitivity = 0.8 });
    steady_clock::time_point now {};
    detector.setUpstreams({ "u0" }, now);
    std::chrono::milliseconds last {};
    for (int ejection = 0; ejection < 8; ++ejection) {
        auto ejectionTime = detector.verdicts(now)[0].ejectionTime;
        CHECK(ejectionTime >= last);
        CHECK(ejectionTime <= std::chrono::milliseconds(320'000));
        last = ejectionTime;
        detector.recordEjection("u0", now, now + ejectionTime);
        now += std::chrono::seconds(30);
    }
    CHECK(last == std::chrono::milliseconds(320'000));
}

TEST_CASE("an ejected upstream is not ejected again before the ejection ends")
{
    outlier_detector detector({ .sensitivity = 0.8 });
    steady_clock::time_point now {};
    detector.setUpstreams({ "u0", "u1" }, now);
    auto fail = [&] {
        now += period;
        detector.add("u0", "cardiff", { .runs = 10, .failures = 10 });
        detector.add("u1", "cardiff", { .runs = 10 });
        detector.step(now);
    };
    fail();
    REQUIRE(detector.verdicts(now)[0].shouldEject);
    detector.recordEjection("u0", now, now + std::chrono::seconds(20));
    fail();
    CHECK_FALSE(detector.verdicts(now)[0].shouldEject);
    now += std::chrono::seconds(20);
    fail();
    CHECK(detector.verdicts(now)[0].shouldEject);
}

}
