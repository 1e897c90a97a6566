#include "marlsill/gateway/route.h"

#include <algorithm>

namespace marlsill::gateway {

const weighted_service* pickWeightedService(const route& from, double fraction)
{
    double greatest = 0;
    for (const auto& each : from.weightedServices) {
        greatest = std::max(greatest, each.weight);
    }
    if (greatest <= 0) {
        return nullptr;
    }
    // Relative to the greatest weight, so that the sum of huge weights stays finite.
    auto shareOf = [&](const weighted_service& each) { return std::max(0.0, each.weight) / greatest; };
    double total = 0;
    for (const auto& each : from.weightedServices) {
        total += shareOf(each);
    }
    double remaining = fraction * total;
    const weighted_service* picked = nullptr;
    for (const auto& each : from.weightedServices) {
        if (shareOf(each) <= 0) {
            continue;
        }
        picked = &each;
        remaining -= shareOf(each);
        if (remaining < 0) {
            break;
        }
    }
    return picked;
}

}
