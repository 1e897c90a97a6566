#include "marlsill/model/fleet_model.h"

#include <cmath>
#include <doctest/doctest.h>

namespace marlsill::model {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint64_t seeds[] = { 1, 2 };

    // Returns the sum of the results of a policy over all seeds; for the longest wait, the maximum.
    template <placement_policy Policy> simulation_result simulateAllSeeds(const model_options& options)
    {
        simulation_result sum;
        for (auto seed : seeds) {
            auto result = simulate<Policy>(options, seed);
            for (auto [total, part] : { std::pair { &sum.compliant, &result.compliant },
                     std::pair { &sum.repeating, &result.repeating } }) {
                total->issued += part->issued;
                total->withinObjective += part->withinObjective;
                total->late += part->late;
                total->failed += part->failed;
                total->refused += part->refused;
            }
            sum.duplicateExecutions += result.duplicateExecutions;
            sum.extraAttempts += result.extraAttempts;
            sum.arrivals += result.arrivals;
            sum.maxWaitBeforeRefusal = std::max(sum.maxWaitBeforeRefusal, result.maxWaitBeforeRefusal);
        }
        return sum;
    }

    // Returns the utility if all slots of the upstreams that are up were always busy. The execution of some
    // requests alone takes longer than the latency objective.
    double maxUtility(const model_options& options)
    {
        auto objective = static_cast<double>(options.latencyObjective.count());
        auto lateFraction = std::exp(-objective / static_cast<double>(options.meanServiceTime.count()));
        auto meanValue = 1 - 0.5 * lateFraction;
        return meanValue * std::min(1.0, (1 - options.downFraction) / options.load);
    }

    int finishedCalls(const caller_results& outcome)
    {
        return outcome.withinObjective + outcome.late + outcome.failed + outcome.refused;
    }

}

TEST_CASE("Utility with a third of the upstreams down, compared with the baseline and the maximum")
{
    struct load_case {
        double load; // Relative to the capacity of all upstreams, of which two thirds are up.
        double minUtilityRatio; // Relative to the baseline.
        double minFractionOfMax; // Relative to maxUtility().
    };
    const load_case cases[]
        = { { 0.5, 0.98, 0.95 }, { 1.0, 1.0, 0.9 }, { 1.4, 1.2, 0.9 }, { 2.0, 1.2, 0.9 }, { 3.0, 1.2, 0.9 } };
    for (const auto& each : cases) {
        CAPTURE(each.load);
        model_options options { .load = each.load, .downFraction = 1.0 / 3, .repeatingFraction = 0.1 };
        auto fleet = simulateAllSeeds<fleet_policy>(options);
        auto baseline = simulateAllSeeds<baseline_policy>(options);
        CHECK(fleet.utility() >= each.minUtilityRatio * baseline.utility());
        CHECK(fleet.utility() >= each.minFractionOfMax * maxUtility(options));
        CHECK(fleet.compliant.servedFraction() >= baseline.compliant.servedFraction() - 0.03);
        CHECK(fleet.duplicateExecutions == 0);
    }
}

TEST_CASE("Callers that ignore Retry-After are served no better than callers that comply with it")
{
    for (double load : { 1.4, 2.0, 3.0 }) {
        CAPTURE(load);
        model_options options { .load = load, .downFraction = 1.0 / 3, .repeatingFraction = 0.1 };
        auto fleet = simulateAllSeeds<fleet_policy>(options);
        auto baseline = simulateAllSeeds<baseline_policy>(options);
        CHECK(fleet.repeating.servedFraction() <= fleet.compliant.servedFraction() + 0.05);
        CHECK(baseline.repeating.servedFraction() > baseline.compliant.servedFraction() + 0.05);
    }
}

TEST_CASE("Gray failures cost less than under the baseline, and extra attempts stay within the retry budget")
{
    for (bool isAtMostOnce : { true, false }) {
        CAPTURE(isAtMostOnce);
        model_options options { .load = 0.5, .isAtMostOnce = isAtMostOnce, .grayTimeFraction = 0.3 };
        auto fleet = simulateAllSeeds<fleet_policy>(options);
        auto baseline = simulateAllSeeds<baseline_policy>(options);
        auto unservedFraction = 1 - fleet.compliant.servedFraction();
        CHECK(unservedFraction <= 0.25 * (1 - baseline.compliant.servedFraction()));
        CHECK(fleet.duplicateExecutions == 0);
        // The budget grants its slack once in each of the three windows of a run.
        CHECK(fleet.extraAttempts <= options.retryRatio * fleet.arrivals + 2 * 3 * options.retrySlack);
    }
}

TEST_CASE("Every call completes at most once, and almost all complete")
{
    model_options options {
        .load = 1.4, .downFraction = 1.0 / 3, .grayTimeFraction = 0.2, .repeatingFraction = 0.2
    };
    auto fleet = simulateAllSeeds<fleet_policy>(options);
    CHECK(finishedCalls(fleet.compliant) <= fleet.compliant.issued);
    CHECK(finishedCalls(fleet.compliant) >= fleet.compliant.issued * 99 / 100);
    CHECK(finishedCalls(fleet.repeating) <= fleet.repeating.issued);
    CHECK(fleet.maxWaitBeforeRefusal <= options.requestTimeout);
}

TEST_CASE("Runs with the same seed give the same result")
{
    model_options options { .load = 1.0, .grayTimeFraction = 0.3 };
    CHECK(simulate<fleet_policy>(options, 5).utility() == simulate<fleet_policy>(options, 5).utility());
    CHECK(simulate<fleet_policy>(options, 5).utility() != simulate<fleet_policy>(options, 6).utility());
}

}
