// Plays upstreams that turn requests away for a time, in virtual time, and checks how long callers wait in
// vain.

#include "marlsill/model/fleet_model.h"

#include <doctest/doctest.h>
#include <future>
#include <string>
#include <vector>

namespace marlsill::model {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint64_t seeds = 12;

    // How long refused calls of all seeds had waited.
    struct waits {
        milliseconds longest {};
        milliseconds total {};
    };

    waits simulateAllSeeds(model_options options, bool heedsTurnAways)
    {
        options.heedsTurnAways = heedsTurnAways;
        std::vector<std::future<simulation_result>> results;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            results.push_back(
                std::async(std::launch::async, [=] { return simulate<fleet_policy>(options, seed); }));
        }
        waits sum;
        for (auto& each : results) {
            auto result = each.get();
            sum.longest = std::max(sum.longest, result.maxWaitBeforeRefusal);
            sum.total += result.totalWaitBeforeRefusal;
        }
        return sum;
    }

}

TEST_CASE(
    "Callers do not wait longer in vain because the times of upstreams that turn requests away are heeded")
{
    struct row {
        const char* name;
        double turningAway; // Fraction of the upstreams.
        milliseconds length;
        double load; // Multiple of the slots.
    };
    const row rows[] = {
        { "a third for 1 s, calm", 1.0 / 3, milliseconds(1'000), 0.5 },
        { "a third for 5 s, calm", 1.0 / 3, milliseconds(5'000), 0.5 },
        { "a third for 30 s, calm", 1.0 / 3, milliseconds(30'000), 0.5 },
        { "a third for 5 s, all slots", 1.0 / 3, milliseconds(5'000), 1.0 },
        { "a third for 5 s, overload", 1.0 / 3, milliseconds(5'000), 1.4 },
        { "all for 5 s, calm", 1.0, milliseconds(5'000), 0.5 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        model_options options { .load = each.load,
            .turnAwayFraction = each.turningAway,
            .turnAwayTime = each.length,
            .repeatingFraction = 0.1 };
        auto heeding = simulateAllSeeds(options, true);
        auto before = simulateAllSeeds(options, false);
        MESSAGE("longest " << heeding.longest.count() << " ms, before " << before.longest.count()
                           << "; total " << heeding.total.count() << " ms, before " << before.total.count());
        CHECK(heeding.longest <= before.longest);
        CHECK(heeding.total <= before.total);
    }
}

}
