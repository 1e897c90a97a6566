#include "marlsill/placement/capacity_floor.h"
#include "marlsill/placement/circuit_breaker.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

    // Returns the first time after `from` at which a probe is due, in milliseconds after the start.
    int probeDueMs(const circuit_breaker& breaker, const upstream_health& health, int fromMs = 0)
    {
        int at = fromMs;
        while (!breaker.isProbeDue(health, start + milliseconds(at)) && at < 60'000) {
            ++at;
        }
        return at;
    }

}

TEST_CASE("Which failures prolong an exclusion, and who probes first")
{
    // Guards against an exclusion that grows because several VMs met the same onset, and against VMs that
    // probe before they hear of each other's probes.
    struct observation {
        int atMs;
        bool isOwn;
        int startedMs;
    };
    struct row {
        const char* name;
        std::vector<observation> failures;
        int dueMs;
    };
    const row rows[] = {
        { "its own failure", { { 0, true, -1 } }, 3'500 },
        { "a peer's failure", { { 0, false, 0 } }, 3'750 },
        { "its own and a peer's of the same onset", { { 0, true, -1 }, { 35, false, 0 } }, 3'500 },
        { "an attempt that was sent before the exclusion", { { 0, false, 0 }, { 900, true, -10 } }, 3'750 },
        { "an early use at 1.5 s", { { 0, true, -1 }, { 1'500, true, 1'499 } }, 3'500 },
        { "an early use just before the probe", { { 0, true, -1 }, { 3'000, true, 2'999 } }, 4'500 },
        { "a failed probe", { { 0, true, -1 }, { 3'600, true, 3'599 } }, 3'600 + 4'100 },
        { "two failed probes", { { 0, true, -1 }, { 3'600, true, 3'599 }, { 9'000, true, 8'999 } },
            9'000 + 7'000 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        circuit_breaker breaker({});
        upstream_health health;
        for (const auto& failure : each.failures) {
            breaker.recordFailure(health,
                { .isOwn = failure.isOwn,
                    .probesAtMostOnce = true,
                    .startedAt = start + milliseconds(failure.startedMs) },
                0.5, start + milliseconds(failure.atMs));
        }
        CHECK(probeDueMs(breaker, health, each.failures.back().atMs) == each.dueMs);
    }
}

TEST_CASE("The first exclusion follows how long failures last")
{
    // Guards against probes that hit the same episode again and again.
    struct row {
        const char* name;
        bool isAtMostOnce;
        int episodeMs;
        int shortestMs;
        int longestMs;
    };
    const row rows[] = {
        { "short, at most once", true, 2'700, 2'600, 3'400 },
        { "long, at most once", true, 7'000, 6'800, 7'700 },
        { "without end, at most once", true, 1'000'000, 8'000, 8'000 },
        { "long, repeatable", false, 7'000, 6'700, 7'300 },
        { "momentary, repeatable", false, 0, 1'500, 1'500 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        circuit_breaker breaker({});
        auto now = start;
        milliseconds exclusion {};
        for (int episode = 0; episode < 200; ++episode) {
            now += std::chrono::minutes(1);
            upstream_health health;
            breaker.recordFailure(
                health, { .isOwn = true, .probesAtMostOnce = each.isAtMostOnce, .startedAt = now }, 0, now);
            exclusion = std::chrono::duration_cast<milliseconds>(health.excludedUntil - now);
            auto probeAt = health.excludedUntil;
            if (probeAt < now + milliseconds(each.episodeMs)) {
                breaker.recordFailure(health,
                    { .isOwn = true, .probesAtMostOnce = each.isAtMostOnce, .startedAt = probeAt }, 0,
                    probeAt);
                continue;
            }
            CHECK(breaker.recordSuccess(health, probeAt, probeAt) == evidence_kind::probe);
            CHECK(breaker.recordSuccess(health, probeAt, probeAt) == evidence_kind::recovered);
        }
        CHECK(exclusion.count() >= each.shortestMs);
        CHECK(exclusion.count() <= each.longestMs);
    }
}

TEST_CASE("How many upstreams may be unused keeps the floor whichever of them are healthy")
{
    // Guards against requests that are forced into failing upstreams while enough are in use, and against
    // exclusions that leave too few in use.
    struct row {
        const char* name;
        floor_state state;
        int least;
        int most;
    };
    const row rows[] = {
        { "low loss", { 24, 12, 0.05 }, 8, 8 },
        { "low loss of a part", { 24, 12, 0.07, true }, 12, 12 },
        { "the same loss of a whole service", { 24, 12, 0.07 }, 3, 5 },
        { "30 % excluded", { 24, 7, 0.1 }, 6, 7 },
        { "half excluded", { 24, 12, 0.1 }, 3, 5 },
        { "all excluded", { 40, 40, 1 }, 0, 0 },
        { "few upstreams", { 3, 1, 0.2 }, 0, 0 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto limit = maxUnused(each.state);
        CHECK(limit >= each.least);
        CHECK(limit <= each.most);
    }
    for (int excluded = 0; excluded <= 50; ++excluded) {
        CAPTURE(excluded);
        auto limit = maxUnused({ 100, excluded, 0.2 });
        auto used = 100 - excluded;
        CHECK(used >= 0.7 * (used + std::min(limit, excluded)));
    }
}

}
