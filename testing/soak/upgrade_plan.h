#pragma once

// Plans in which order daemons change to another build during a run.
//
//     auto steps = planUpgrade(5, random);
//     for (const auto& step : steps)
//         replace(step.entries, step.isNewBuild); // After a gap.

#include <cstddef>
#include <random>
#include <vector>

namespace marlsill::testing {

// Daemons that are replaced at the same time.
struct upgrade_step {
    std::vector<std::size_t> entries;
    bool isNewBuild = true; // False: a rollback.
};

// Returns the steps in which all daemons of a fleet change to the new build: in a random order, up to three
// at a time. Half of the plans go back half way: the daemons that have changed return to the earlier build,
// the last one first, and then all change.
std::vector<upgrade_step> planUpgrade(std::size_t entries, std::mt19937_64& random);

}
