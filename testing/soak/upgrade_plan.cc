#include "testing/soak/upgrade_plan.h"

#include <algorithm>
#include <numeric>
#include <span>

namespace marlsill::testing {

namespace {

    constexpr std::size_t maxAtOnce = 3;

    void appendSteps(std::vector<upgrade_step>& steps, std::span<const std::size_t> entries, bool isNewBuild,
        std::mt19937_64& random)
    {
        while (!entries.empty()) {
            // Mostly one at a time.
            auto drawn = random() % 2 == 0 ? 1 : 1 + random() % maxAtOnce;
            auto count = std::min<std::size_t>(drawn, entries.size());
            auto next = entries.first(count);
            steps.push_back({ { next.begin(), next.end() }, isNewBuild });
            entries = entries.subspan(count);
        }
    }

}

std::vector<upgrade_step> planUpgrade(std::size_t entries, std::mt19937_64& random)
{
    std::vector<std::size_t> order(entries);
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::shuffle(order.begin(), order.end(), random);
    std::vector<upgrade_step> steps;
    if (random() % 2 == 0) {
        auto firstHalf = std::span(order).first((entries + 1) / 2);
        appendSteps(steps, firstHalf, true, random);
        const std::vector<std::size_t> back(firstHalf.rbegin(), firstHalf.rend());
        appendSteps(steps, back, false, random);
    }
    appendSteps(steps, order, true, random);
    return steps;
}

}
