#include "marlsill/placement/retry_after_gate.h"

#include <doctest/doctest.h>
#include <vector>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

}

TEST_CASE("A caller is too early until the latest retry time it was given")
{
    struct refusal {
        int atMs;
        int retryAtMs;
    };
    struct gate_case {
        const char* name;
        std::vector<refusal> refusals;
        const char* caller;
        int askedAtMs;
        bool expected;
    };
    const gate_case cases[] = {
        { "never refused", {}, "x", 0, false },
        { "too early", { { 0, 300 } }, "x", 200, true },
        { "on time", { { 0, 300 } }, "x", 300, false },
        { "another caller", { { 0, 300 } }, "y", 200, false },
        { "an earlier time does not replace a later one", { { 0, 300 }, { 50, 100 } }, "x", 200, true },
        { "refused again", { { 0, 300 }, { 200, 600 } }, "x", 400, true },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        retry_after_gate gate;
        for (const auto& refused : each.refusals) {
            gate.recordRetryAfter(
                "x", start + milliseconds(refused.retryAtMs), start + milliseconds(refused.atMs));
        }
        CHECK(gate.isTooEarly(each.caller, start + milliseconds(each.askedAtMs)) == each.expected);
    }
}

TEST_CASE("The number of tracked callers is bounded, and new callers do not evict tracked ones")
{
    retry_after_gate gate;
    gate.recordRetryAfter("first", start + milliseconds(1'000), start);
    for (int caller = 0; caller < 20'000; ++caller) {
        gate.recordRetryAfter(std::to_string(caller), start + milliseconds(1'000), start);
    }
    CHECK(gate.isTooEarly("first", start));
    CHECK_FALSE(gate.isTooEarly("19999", start));
    gate.recordRetryAfter("later", start + milliseconds(3'000), start + milliseconds(2'000));
    CHECK(gate.isTooEarly("later", start + milliseconds(2'000)));
}

}
