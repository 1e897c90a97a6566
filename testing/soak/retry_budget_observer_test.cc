#include "testing/soak/retry_budget_observer.h"

#include <doctest/doctest.h>

namespace marlsill::testing {

TEST_CASE("Repeats are counted in each window against the best of its three windows of requests")
{
    using std::chrono::milliseconds;
    struct event {
        int atMs;
        int requests; // Sent at that time, each with a first arrival.
        int repeats; // Of the first request.
    };
    struct row {
        const char* name;
        std::vector<event> events;
        double beyond;
    };
    const row rows[] = {
        { "nothing", {}, 0 },
        { "no repeat", { { 0, 100, 0 } }, 0 },
        { "within the ratio", { { 0, 100, 10 } }, 0 },
        { "beyond it", { { 0, 100, 50 } }, 30 },
        { "requests of the window before count", { { 0, 100, 0 }, { 9'900, 0, 50 } }, 30 },
        { "those of half a window before count", { { 0, 100, 0 }, { 12'000, 0, 50 } }, 30 },
        { "older ones do not", { { 0, 100, 0 }, { 20'500, 0, 50 } }, 50 },
        { "two bursts in a window", { { 0, 100, 30 }, { 9'000, 0, 30 } }, 40 },
        { "two bursts in two windows", { { 0, 100, 30 }, { 10'500, 0, 30 } }, 10 },
    };
    const steady_clock::time_point start { std::chrono::hours(1) };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        retry_budget_observer observer(milliseconds(10'000), 0.2);
        int number = 0;
        for (const auto& happening : each.events) {
            auto at = start + milliseconds(happening.atMs);
            for (int request = 0; request < happening.requests; ++request) {
                observer.noteRequest(at);
                observer.noteArrival("r" + std::to_string(number++), at);
            }
            for (int repeat = 0; repeat < happening.repeats; ++repeat) {
                observer.noteArrival("r0", at);
            }
        }
        CHECK(observer.mostBeyondRatio() == doctest::Approx(each.beyond));
    }
}

}
