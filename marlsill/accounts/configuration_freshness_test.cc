#include "marlsill/accounts/configuration_freshness.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace marlsill::accounts {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds bound { 5'000 };
    // A VM may have been up for any time, and its point may lie before the process started.
    const boot_clock::time_point start { std::chrono::hours(30) };

    enum class step_kind {
        applied, // A response of the store to a call at `at`.
        stated, // A peer's answer with the point `at` and `version`.
        inForce, // `version` is in force from now on.
    };

    struct step {
        step_kind kind = step_kind::applied;
        int at = 0; // Milliseconds after `start`.
        std::uint64_t version = 0;
    };

    std::string pointAfter(configuration_freshness& freshness, const std::vector<step>& steps)
    {
        for (const auto& each : steps) {
            auto point = start + milliseconds(each.at);
            switch (each.kind) {
            case step_kind::applied:
                freshness.noteApplied(point);
                break;
            case step_kind::stated:
                freshness.noteStated(point, each.version);
                break;
            case step_kind::inForce:
                freshness.setVersion(each.version);
                break;
            }
        }
        auto point = freshness.currentAsOf();
        return std::string(toText(freshness.source())) + " "
            + (point ? std::to_string(std::chrono::duration_cast<milliseconds>(*point - start).count())
                     : "-");
    }

}

TEST_CASE("A point counts once the version that it speaks of is in force, and never goes back")
{
    using enum step_kind;
    std::vector<step> many { { inForce, 0, 1 } };
    for (int version = 2; version <= 40; ++version) {
        many.push_back({ stated, version, static_cast<std::uint64_t>(version) });
    }
    auto manyInForce = many;
    manyInForce.push_back({ inForce, 0, 40 });
    struct row {
        const char* name;
        std::vector<step> steps;
        std::string expected;
    };
    const row rows[] = {
        // Guards against keys that a configuration from a peer alone makes valid after a restart.
        { "a configuration alone", { { inForce, 0, 3 } }, "none -" },
        { "a response of the store", { { inForce, 0, 1 }, { applied, 500 } }, "store 500" },
        { "a later response", { { inForce, 0, 1 }, { applied, 500 }, { applied, 900 } }, "store 900" },
        { "an earlier response that arrives late", { { applied, 900 }, { applied, 500 } }, "store 900" },
        { "a peer's answer", { { inForce, 0, 1 }, { stated, 700, 1 } }, "peer 700" },
        { "a peer with an earlier version", { { inForce, 0, 2 }, { stated, 700, 1 } }, "peer 700" },
        { "an older answer than the store's response",
            { { inForce, 0, 1 }, { applied, 900 }, { stated, 700, 1 } }, "store 900" },
        // Guards against a withdrawn key that counts as good because the withdrawal is under way.
        { "a peer with a later version", { { inForce, 0, 1 }, { stated, 700, 2 } }, "none -" },
        { "the later version comes into force", { { inForce, 0, 1 }, { stated, 700, 2 }, { inForce, 0, 2 } },
            "peer 700" },
        { "a still later version comes into force",
            { { inForce, 0, 1 }, { stated, 700, 2 }, { inForce, 0, 9 } }, "peer 700" },
        { "two versions are awaited, one comes",
            { { inForce, 0, 1 }, { stated, 900, 3 }, { stated, 700, 2 }, { inForce, 0, 2 } }, "peer 700" },
        { "two versions are awaited, both come",
            { { inForce, 0, 1 }, { stated, 700, 2 }, { stated, 900, 3 }, { inForce, 0, 2 },
                { inForce, 0, 3 } },
            "peer 900" },
        { "a later point of an earlier version replaces the one that is awaited",
            { { inForce, 0, 1 }, { stated, 700, 3 }, { stated, 900, 2 }, { inForce, 0, 2 } }, "peer 900" },
        { "a version never goes down", { { inForce, 0, 5 }, { inForce, 0, 2 }, { stated, 700, 4 } },
            "peer 700" },
        { "answers of many versions that are not in force", many, "none -" },
        { "the latest of many versions comes into force", manyInForce, "peer 40" },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        configuration_freshness freshness(bound);
        CHECK(pointAfter(freshness, each.steps) == each.expected);
    }
}

TEST_CASE("Keys are valid until the bound, less the margin, after the point")
{
    struct row {
        const char* name;
        milliseconds revocationBound;
        std::optional<int> point;
        int now;
        bool areValid;
    };
    const row rows[] = {
        { "no point", bound, std::nullopt, 0, false },
        { "at once", bound, 0, 0, true },
        { "just before the end", bound, 0, 4'799, true },
        { "at the end", bound, 0, 4'800, false },
        // Guards against requests that are sent after the process was stopped for seconds.
        { "after 8 s in which the process did not run", bound, 0, 8'000, false },
        { "a point of before the process started", bound, -3'000, 1'799, true },
        { "a bound below the margin", milliseconds(100), 0, 0, false },
        { "not strict, no point", milliseconds(0), std::nullopt, 100'000, true },
        { "not strict, an old point", milliseconds(0), 0, 100'000, true },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        configuration_freshness freshness(each.revocationBound);
        if (each.point) {
            freshness.noteApplied(start + milliseconds(*each.point));
        }
        CHECK(freshness.areKeysValid(start + milliseconds(each.now)) == each.areValid);
    }
}

TEST_CASE("The age that peers are told is rounded up")
{
    configuration_freshness freshness(bound);
    CHECK_FALSE(freshness.ageAt(start));
    freshness.noteApplied(start);
    CHECK(freshness.ageAt(start + std::chrono::nanoseconds(1)) == milliseconds(1));
    CHECK(freshness.ageAt(start + milliseconds(7)) == milliseconds(7));
}

}
