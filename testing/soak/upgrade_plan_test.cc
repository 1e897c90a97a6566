#include "testing/soak/upgrade_plan.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace marlsill::testing {

TEST_CASE("An upgrade ends with all daemons on the new build, whether or not it goes back half way")
{
    const std::size_t fleetSizes[] = { 1, 2, 5, 100 };
    int withRollback = 0;
    for (auto size : fleetSizes) {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            CAPTURE(size);
            CAPTURE(seed);
            std::mt19937_64 random(seed);
            std::vector<bool> isNew(size, false);
            bool hasRollback = false;
            for (const auto& step : planUpgrade(size, random)) {
                CHECK(!step.entries.empty());
                CHECK(step.entries.size() <= 3);
                for (auto entry : step.entries) {
                    CHECK(isNew[entry] != step.isNewBuild);
                    isNew[entry] = step.isNewBuild;
                }
                hasRollback = hasRollback || !step.isNewBuild;
            }
            CHECK(std::find(isNew.begin(), isNew.end(), false) == isNew.end());
            withRollback += hasRollback ? 1 : 0;
        }
    }
    CHECK(withRollback > 50);
    CHECK(withRollback < 150);
}

}
