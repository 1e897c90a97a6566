#include "marlsill/gateway/buffer_budget.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

namespace marlsill::gateway {

TEST_CASE("Responses without end give up first, and all together stay within twice the budget")
{
    constexpr std::size_t maxBytes = 1'000'000;
    constexpr std::size_t growth = 10'000;
    struct row {
        const char* name;
        std::size_t endless;
        std::size_t ordinary; // Of 5,000 bytes each.
    };
    const row rows[] = { { "one", 1, 10 }, { "some", 20, 50 }, { "a hundred", 100, 50 } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        buffer_budget budget(maxBytes);
        std::vector<std::unique_ptr<buffer_budget::share>> endless;
        for (std::size_t number = 0; number < each.endless; ++number) {
            endless.push_back(std::make_unique<buffer_budget::share>(budget));
        }
        bool isAnyLeft = true;
        for (std::size_t bytes = growth; isAnyLeft; bytes += growth) {
            isAnyLeft = false;
            for (auto& share : endless) {
                if (share && !share->resize(bytes)) {
                    share.reset();
                }
                isAnyLeft = isAnyLeft || share;
                CHECK(budget.used() <= 2 * maxBytes);
            }
            std::vector<std::unique_ptr<buffer_budget::share>> ordinary;
            for (std::size_t number = 0; number < each.ordinary; ++number) {
                ordinary.push_back(std::make_unique<buffer_budget::share>(budget));
                CHECK(ordinary.back()->resize(5'000));
            }
        }
        CHECK(budget.used() == 0);
    }
}

TEST_CASE("Shares that keep what they were granted stay within twice the budget, in any number")
{
    constexpr std::size_t maxBytes = 1'000'000;
    constexpr std::size_t growth = 1'000;
    for (std::size_t stalled : { 1, 10, 100, 1'000 }) {
        CAPTURE(stalled);
        buffer_budget budget(maxBytes);
        std::vector<std::unique_ptr<buffer_budget::share>> shares;
        for (std::size_t number = 0; number < stalled; ++number) {
            shares.push_back(std::make_unique<buffer_budget::share>(budget));
            std::size_t bytes = growth;
            while (shares.back()->resize(bytes)) {
                bytes += growth;
            }
            shares.back()->resize(bytes - growth);
            CHECK(budget.used() <= 2 * maxBytes);
        }
    }
}

TEST_CASE("A share may outlive its budget")
{
    auto budget = std::make_unique<buffer_budget>(1'000);
    buffer_budget::share share(*budget);
    CHECK(share.resize(500));
    budget.reset();
    CHECK(share.resize(600));
}

}
