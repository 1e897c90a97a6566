#include "marlsill/placement/return_schedule.h"

#include <doctest/doctest.h>
#include <set>
#include <vector>

namespace marlsill::placement {

using std::chrono::milliseconds;

TEST_CASE("Refused callers return when the upstreams do, and no faster than these can serve them")
{
    const steady_clock::time_point start { std::chrono::hours(1) };
    struct row {
        const char* name;
        std::vector<std::pair<int, int>> capacity; // When slots are back, in ms, and how many.
        int usualMs;
        int sharingVms;
        int callers;
        int lastMs; // When the last caller returns at the latest.
        int mostInInterval; // Callers in any time of the usual latency.
    };
    const row rows[] = {
        { "one caller", { { 1'000, 4 } }, 200, 1, 1, 1'100, 1 },
        { "slots for half of them", { { 1'000, 4 } }, 200, 1, 20, 3'000, 3 },
        { "more slots later", { { 1'000, 2 }, { 1'500, 8 } }, 200, 1, 20, 2'500, 6 },
        { "shared by other VMs", { { 1'000, 8 } }, 200, 4, 10, 3'000, 2 },
        { "unknown latency", { { 1'000, 6 } }, 0, 1, 10, 2'100, 4 },
        { "more than can be served", { { 1'000, 1 } }, 1'000, 1, 500, 6'000, 500 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        return_schedule schedule;
        std::vector<returning_capacity> capacity;
        for (const auto& [atMs, slots] : each.capacity) {
            capacity.push_back({ start + milliseconds(atMs), slots });
        }
        std::vector<deadline> returns;
        std::set<std::int64_t> instants;
        for (int caller = 0; caller < each.callers; ++caller) {
            returns.push_back(schedule.nextReturn(capacity,
                { .usual = milliseconds(each.usualMs),
                    .sharingVms = each.sharingVms,
                    .fraction = 0.37 * caller - static_cast<int>(0.37 * caller) }));
            CHECK(returns.back() >= capacity.front().at);
            CHECK(returns.back() <= start + milliseconds(each.lastMs));
            instants.insert(returns.back().time_since_epoch().count());
        }
        CHECK(instants.size() * 10 >= returns.size());
        auto interval = milliseconds(each.usualMs > 0 ? each.usualMs : 300);
        for (auto from : returns) {
            auto count = std::count_if(
                returns.begin(), returns.end(), [&](auto at) { return at >= from && at < from + interval; });
            CHECK(count <= each.mostInInterval);
        }
    }
}

TEST_CASE("A caller that did not wait takes no other caller's place")
{
    const steady_clock::time_point start { std::chrono::hours(1) };
    const std::vector<returning_capacity> capacity { { start, 2 } };
    return_schedule schedule;
    auto first = schedule.nextReturn(capacity, { .usual = milliseconds(100) });
    for (int repeat = 0; repeat < 100; ++repeat) {
        schedule.nextReturn(capacity, { .usual = milliseconds(100), .isEarly = true });
    }
    auto second = schedule.nextReturn(capacity, { .usual = milliseconds(100) });
    CHECK(second - first == milliseconds(100));
}

}
