#include "marlsill/base/absence_detector.h"

#include <doctest/doctest.h>
#include <vector>

namespace marlsill {

using std::chrono::milliseconds;

TEST_CASE("An absence is noticed once, by the first call after it")
{
    struct row {
        const char* name;
        std::vector<int> runningAtMs;
        std::vector<int> absencesMs; // Of each call; 0: none.
    };
    const row rows[] = {
        { "the first call knows no absence", { 5'000 }, { 0 } },
        { "regular calls", { 0, 250, 500, 1'499 }, { 0, 0, 0, 0 } },
        { "one absence", { 0, 250, 6'250, 6'260 }, { 0, 0, 6'000, 0 } },
        { "two absences", { 0, 1'000, 1'250, 3'250 }, { 0, 1'000, 0, 2'000 } },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        absence_detector detector(milliseconds(1'000));
        for (std::size_t call = 0; call < each.runningAtMs.size(); ++call) {
            auto absence = detector.noteRunning(boot_clock::time_point(milliseconds(each.runningAtMs[call])));
            CHECK(absence.value_or(milliseconds(0)) == milliseconds(each.absencesMs[call]));
        }
    }
}

}
