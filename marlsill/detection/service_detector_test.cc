#include "marlsill/detection/service_detector.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

namespace marlsill::detection {

namespace {

    constexpr std::chrono::milliseconds period { 250 };
    constexpr const char* domains[] = { "cardiff", "newport", "swansea" };

    // How one upstream behaves, as seen from one domain or from all.
    struct behaviour {
        double failureRate = 0;
        double slowdown = 1;
        const char* onlySeenFrom = nullptr;
        int fromSecond = 10;
    };

    upstream_evidence oneRun(const behaviour& how, bool isActive, std::mt19937_64& random)
    {
        upstream_evidence evidence { .runs = 1 };
        if (isActive && std::bernoulli_distribution(how.failureRate)(random)) {
            evidence.failures = 1;
            return evidence;
        }
        double latency = std::log(20.0) + std::normal_distribution<double>(0, 0.4)(random);
        latency += isActive ? std::log(how.slowdown) : 0;
        return {
            .runs = 1, .logLatencySum = latency, .logLatencySquareSum = latency * latency, .latencies = 1
        };
    }

    // Runs six upstreams, the first of which behaves as told, and returns its last verdict.
    detection_verdict run(const behaviour& how, int seconds, double weight, double coldSlowdown = 1)
    {
        std::mt19937_64 random(11);
        steady_clock::time_point now {};
        service_detector detector({ .weight = weight });
        std::vector<std::string> names { "u0", "u1", "u2", "u3", "u4", "u5" };
        detector.setUpstreams(names, now);
        for (int step = 0; step < seconds * 4; ++step) {
            now += period;
            bool isLate = step >= how.fromSecond * 4;
            for (std::size_t index = 0; index < names.size(); ++index) {
                for (const char* domain : domains) {
                    bool isSeen = !how.onlySeenFrom || std::string_view(how.onlySeenFrom) == domain;
                    auto evidence = oneRun(how, index == 0 && isLate && isSeen, random);
                    if (step < 20) {
                        evidence.logLatencySum += std::log(coldSlowdown);
                    }
                    detector.add(names[index], domain, evidence);
                }
            }
            detector.step(now);
        }
        return detector.verdicts(now)[0];
    }

}

TEST_CASE("failing and slow upstreams are found, and what is no fault of theirs is not")
{
    struct row {
        const char* name;
        behaviour how;
        bool isFound;
        const char* cause;
    };
    constexpr row rows[] = {
        { "healthy", {}, false, "" },
        { "all requests fail", { .failureRate = 1 }, true, "failures" },
        { "one in five fails", { .failureRate = 0.2 }, true, "failures" },
        { "straggler", { .slowdown = 10 }, true, "latency" },
        { "mild straggler", { .slowdown = 3 }, true, "latency" },
        { "broken path of one domain's entry VMs", { .failureRate = 1, .onlySeenFrom = "cardiff" }, false,
            "failures" },
    };
    for (const row& each : rows) {
        for (double weight : { 0.2, 0.8 }) {
            CAPTURE(each.name);
            CAPTURE(weight);
            auto verdict = run(each.how, 30, weight);
            CHECK(verdict.wantsEjection == each.isFound);
            CHECK(verdict.cause == each.cause);
            CHECK((verdict.weight <= 0.1) == each.isFound);
        }
    }
}

TEST_CASE("slow answers of a cold start do not count")
{
    auto verdict = run({}, 5, 0.8, 20);
    CHECK(verdict.weight == 1);
}

TEST_CASE("sheds are no failures")
{
    service_detector detector({ .weight = 0.8 });
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

TEST_CASE("each further ejection holds longer, up to a bound")
{
    service_detector detector({ .weight = 0.8 });
    steady_clock::time_point now {};
    detector.setUpstreams({ "u0" }, now);
    std::chrono::milliseconds last {};
    for (int ejection = 0; ejection < 8; ++ejection) {
        auto hold = detector.verdicts(now)[0].hold;
        CHECK(hold >= last);
        CHECK(hold <= std::chrono::milliseconds(320'000));
        last = hold;
        detector.noteEjected("u0", now, now + hold);
        now += std::chrono::seconds(30);
    }
    CHECK(last == std::chrono::milliseconds(320'000));
}

TEST_CASE("an ejected upstream is not ejected again before its return")
{
    service_detector detector({ .weight = 0.8 });
    steady_clock::time_point now {};
    detector.setUpstreams({ "u0", "u1" }, now);
    auto fail = [&] {
        now += period;
        detector.add("u0", "cardiff", { .runs = 10, .failures = 10 });
        detector.add("u1", "cardiff", { .runs = 10 });
        detector.step(now);
    };
    fail();
    REQUIRE(detector.verdicts(now)[0].wantsEjection);
    detector.noteEjected("u0", now, now + std::chrono::seconds(20));
    fail();
    CHECK_FALSE(detector.verdicts(now)[0].wantsEjection);
    now += std::chrono::seconds(20);
    fail();
    CHECK(detector.verdicts(now)[0].wantsEjection);
}

}
