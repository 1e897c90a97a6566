#include "marlsill/gateway/route.h"

#include <doctest/doctest.h>
#include <map>

namespace marlsill::gateway {

TEST_CASE("Requests are split in proportion to the positive weights")
{
    struct row {
        const char* name;
        std::vector<weighted_service> services;
        std::map<std::string, double> shares; // Empty: no service is picked.
    };
    const row rows[] = {
        { "one service", { { "a", 1 } }, { { "a", 1.0 } } },
        { "two", { { "a", 90 }, { "b", 10 } }, { { "a", 0.9 }, { "b", 0.1 } } },
        { "fractions", { { "a", 0.25 }, { "b", 0.75 } }, { { "a", 0.25 }, { "b", 0.75 } } },
        { "a weight of zero", { { "a", 0 }, { "b", 5 } }, { { "b", 1.0 } } },
        { "zero at the end", { { "a", 5 }, { "b", 0 } }, { { "a", 1.0 } } },
        { "a negative weight", { { "a", -3 }, { "b", 1 }, { "c", 1 } }, { { "b", 0.5 }, { "c", 0.5 } } },
        { "a service listed twice", { { "a", 1 }, { "b", 2 }, { "a", 1 } }, { { "a", 0.5 }, { "b", 0.5 } } },
        { "huge weights", { { "a", 1e308 }, { "b", 1e308 } }, { { "a", 0.5 }, { "b", 0.5 } } },
        { "huge beside small", { { "a", 1e308 }, { "b", 1 } }, { { "a", 1.0 } } },
        { "all zero", { { "a", 0 }, { "b", 0 } }, {} },
        { "all negative", { { "a", -1 } }, {} },
        { "none", {}, {} },
    };
    constexpr int samples = 1'000;
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        route from;
        from.weightedServices = each.services;
        std::map<std::string, double> shares;
        for (int sample = 0; sample < samples; ++sample) {
            if (const auto* picked = pickWeightedService(from, (sample + 0.5) / samples)) {
                shares[picked->service] += 1.0 / samples;
            }
        }
        CHECK(shares.size() == each.shares.size());
        for (const auto& [service, share] : each.shares) {
            CHECK(shares[service] == doctest::Approx(share).epsilon(0.01));
        }
    }
}

}
