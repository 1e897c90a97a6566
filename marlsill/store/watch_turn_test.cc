#include "marlsill/store/watch_turn.h"

#include <doctest/doctest.h>
#include <vector>

namespace marlsill::store {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds period { 1'000 };

    wall_clock::time_point at(milliseconds sinceEpoch) { return wall_clock::time_point(sinceEpoch); }

}

TEST_CASE("A watch ends in its turn, or nearer to it")
{
    struct row {
        const char* name;
        watch_turn turn;
        milliseconds now;
        milliseconds wait;
    };
    const row rows[] = {
        { "in turn", { 0, 3 }, milliseconds(7'000), milliseconds(1'000) },
        { "a little late", { 0, 3 }, milliseconds(7'040), milliseconds(960) },
        { "just before the last turn that it still waits a short time for", { 0, 3 }, milliseconds(7'600),
            milliseconds(400) },
        { "far behind the last turn", { 0, 3 }, milliseconds(7'601), milliseconds(1'100) },
        { "a little early", { 0, 3 }, milliseconds(7'950), milliseconds(1'050) },
        { "the second turn", { 1, 4 }, milliseconds(7'250), milliseconds(1'000) },
        { "the last turn, from the first one", { 3, 4 }, milliseconds(7'000), milliseconds(750) },
        { "no others", { 0, 0 }, milliseconds(7'000), milliseconds(1'000) },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        CHECK(waitForTurn(period, each.turn, at(each.now)) == each.wait);
    }
}

TEST_CASE("VMs that start together are soon heard of in turn, and make no more calls for it")
{
    // Guards against watchers that a change has brought into step: all of them hear of the store at the same
    // moments, and nothing for a whole period between.
    struct row {
        int vms;
        milliseconds largestFirstGap; // Between responses, after all have started together.
    };
    const row rows[] = { { 2, milliseconds(900) }, { 3, milliseconds(750) }, { 5, milliseconds(600) } };
    constexpr int waits = 20;
    for (const auto& each : rows) {
        CAPTURE(each.vms);
        milliseconds total(0);
        int starts = 0;
        for (auto start = 10 * period; start < 11 * period; start += milliseconds(10), ++starts) {
            CAPTURE(start.count());
            std::vector<milliseconds> ends(static_cast<std::size_t>(each.vms), start);
            std::vector<milliseconds> firstWaits;
            for (int wait = 0; wait < waits; ++wait) {
                for (int index = 0; index < each.vms; ++index) {
                    auto& end = ends[static_cast<std::size_t>(index)];
                    auto length = waitForTurn(period, { index, each.vms }, at(end));
                    end += length;
                    total += length;
                    if (wait == 0) {
                        firstWaits.push_back(length);
                    }
                }
            }
            CHECK(*std::min_element(firstWaits.begin(), firstWaits.end()) <= each.largestFirstGap);
            for (int index = 0; index < each.vms; ++index) {
                CHECK(ends[static_cast<std::size_t>(index)] % period == period * index / each.vms);
            }
        }
        CHECK(total / (starts * each.vms * waits) >= period - period / 100);
    }
}

}
