#include "marlsill/store/upstream_registry.h"

#include <doctest/doctest.h>
#include <optional>
#include <set>

namespace marlsill::store {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

    placement::upstream_entry entry(
        const std::string& id, std::uint64_t version = 1, bool isLeaving = false, std::int64_t born = 1)
    {
        return { .id = id,
            .service = "s",
            .address = "127.0.0.1:1",
            .isLeaving = isLeaving,
            .startedUnixMs = born,
            .version = version };
    }

    upstream_registry registryOf(std::vector<placement::upstream_entry> entries)
    {
        upstream_registry registry;
        registry.replaceAll(entries, start);
        return registry;
    }

}

TEST_CASE("While the store is available, a missing entry is removed at once")
{
    auto registry = registryOf({ entry("a"), entry("b") });
    CHECK(registry.remove("a", start));
    CHECK(registry.current().size() == 1);
    CHECK(registry.replaceAll({}, start));
    CHECK(registry.current().empty());
}

TEST_CASE("An entry that goes missing in an outage is removed only after the grace period")
{
    auto registry = registryOf({ entry("a"), entry("b") });
    registry.noteStoreLost(start);
    registry.noteStoreRegained(start + milliseconds(4'000));
    std::vector<placement::upstream_entry> none;
    registry.replaceAll(none, start + milliseconds(4'010));
    CHECK(registry.current().size() == 2);
    registry.put(entry("a", 9));
    REQUIRE(registry.nextExpiry());
    CHECK_FALSE(registry.expire(start + milliseconds(6'000)));
    CHECK(registry.expire(*registry.nextExpiry()));
    REQUIRE(registry.current().size() == 1);
    CHECK(registry.current().front().id == "a");
    CHECK_FALSE(registry.nextExpiry());
}

TEST_CASE("Only an outage that lapses registrations delays a removal")
{
    // Guards against an upstream that stays in use after its entry is removed, because a single watch was cut
    // off shortly before.
    struct row {
        const char* name;
        std::vector<std::pair<int, int>> losses; // In milliseconds: lost since, regained at.
        int removedAtMs;
        bool isRemovedAtOnce;
    };
    const row rows[] = {
        { "no loss", {}, 10'000, true },
        { "a watch that was cut off", { { 9'700, 9'800 } }, 10'000, true },
        { "watches cut off again and again",
            { { 8'000, 8'900 }, { 9'000, 9'150 }, { 9'200, 9'999 }, { 10'000, 10'000 } }, 10'000, true },
        { "an outage", { { 5'000, 9'900 } }, 10'000, false },
        { "an outage of a second", { { 8'900, 9'900 } }, 10'000, false },
        { "an outage, then a cut", { { 5'000, 9'000 }, { 9'500, 9'600 } }, 10'000, false },
        { "an outage, long after it", { { 3'000, 7'600 } }, 10'000, true },
        { "an outage, long after it, and a cut", { { 3'000, 7'600 }, { 9'900, 9'950 } }, 10'000, true },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto registry = registryOf({ entry("a") });
        for (const auto& [lost, regained] : each.losses) {
            registry.noteStoreLost(start + milliseconds(lost));
            registry.noteStoreLost(start + milliseconds(regained)); // Of another call that fails.
            registry.noteStoreRegained(start + milliseconds(regained));
        }
        CHECK(registry.remove("a", start + milliseconds(each.removedAtMs)) == each.isRemovedAtOnce);
        CHECK(registry.current().empty() == each.isRemovedAtOnce);
        CHECK(registry.nextExpiry().has_value() != each.isRemovedAtOnce);
    }
}

TEST_CASE("Only an outage of the store itself delays a removal, not one that this VM alone has seen")
{
    // Guards against an upstream that stays in use after its entry is removed, because this VM, or the few
    // that watch the store, had lost their own way to it.
    constexpr int never = -1;
    struct row {
        const char* name;
        int availableSinceMs; // As other VMs have told; the outage is from 5,000 to 9,900 ms.
        int removedAtMs;
        bool isRemovedAtOnce;
    };
    const row rows[] = {
        { "nobody else has told", never, 10'000, false },
        { "available all the time", 1'000, 10'000, true },
        { "available for most of it", 7'000, 10'000, true },
        { "available for a while", 8'500, 10'000, false },
        { "the grace period has begun earlier", 8'500, 10'800, true },
        { "available since this VM saw it", 9'900, 12'100, false },
        { "available later", 9'950, 12'100, false },
        { "available later, after the grace period", 9'950, 12'200, true },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto tell = [&](upstream_registry& registry) {
            if (each.availableSinceMs != never) {
                registry.noteStoreAvailable(start + milliseconds(each.availableSinceMs));
            }
        };
        auto removedAt = start + milliseconds(each.removedAtMs);
        for (bool isToldBefore : { true, false }) {
            CAPTURE(isToldBefore);
            auto registry = registryOf({ entry("a"), entry("b") });
            registry.noteStoreLost(start + milliseconds(5'000));
            registry.noteStoreRegained(start + milliseconds(9'900));
            if (isToldBefore) {
                tell(registry);
            }
            bool isGracePeriodOver = each.removedAtMs >= 9'900 + 2'300; // As far as this VM alone knows.
            CHECK(
                registry.remove("a", removedAt) == (isToldBefore ? each.isRemovedAtOnce : isGracePeriodOver));
            tell(registry);
            registry.expire(removedAt);
            CHECK(registry.current().size() == (each.isRemovedAtOnce ? 1 : 2));
            CHECK(registry.nextExpiry().has_value() != each.isRemovedAtOnce);
        }
    }
}

TEST_CASE("That the store was available does not confirm what a copy of it lacks")
{
    auto registry = registryOf({ entry("a"), entry("b") });
    registry.noteStoreLost(start + milliseconds(5'000));
    registry.noteStoreRegained(start + milliseconds(9'900));
    registry.noteStoreRestored(start + milliseconds(9'910));
    registry.noteStoreAvailable(start);
    registry.replaceAll(std::vector { entry("b") }, start + milliseconds(9'920));
    CHECK(registry.current().size() == 2);
    REQUIRE(registry.nextExpiry());
    CHECK(*registry.nextExpiry() == start + milliseconds(9'910 + 2'300));
}

TEST_CASE("A leaving upstream is removed with its entry, even during an outage")
{
    auto registry = registryOf({ entry("a", 1, true) });
    registry.noteStoreLost(start);
    CHECK(registry.remove("a", start));
}

TEST_CASE("A leaving upstream remains leaving until it restarts")
{
    auto registry = registryOf({ entry("a", 2, true) });
    registry.put(entry("a", 3, false));
    CHECK(registry.current().front().isLeaving);
    registry.put(entry("a", 4, false, 2));
    CHECK_FALSE(registry.current().front().isLeaving);
}

TEST_CASE("Versions of an earlier era of the store do not hide what it holds now")
{
    // Guards against a drain that is dropped, because the store came back from a copy and gives out again the
    // versions that the entry had before.
    struct row {
        const char* name;
        std::vector<placement::upstream_entry> listed; // After the restoration.
        std::optional<placement::upstream_entry> changed; // After that.
        std::set<std::string>
            expected; // Ids; those of leaving upstreams end with '-', of missing ones with '?'.
    };
    const row rows[] = {
        { "drains after the list", { entry("a", 2), entry("b", 3) }, entry("a", 4, true), { "a-", "b" } },
        { "drains in the list", { entry("a", 2, true), entry("b", 3) }, std::nullopt, { "a-", "b" } },
        { "was leaving before", { entry("a", 2), entry("b", 3), entry("c", 1) }, std::nullopt,
            { "a", "b", "c-" } },
        { "missing in the copy", { entry("b", 3) }, std::nullopt, { "a?", "b" } },
        { "missing, then written again", { entry("b", 3) }, entry("a", 4), { "a", "b" } },
        { "missing, then drains", { entry("b", 3) }, entry("a", 4, true), { "a-", "b" } },
        { "another process", { entry("b", 3), entry("c", 2, false, 2) }, entry("a", 4, false, 2),
            { "a", "b", "c" } },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto registry = registryOf({ entry("a", 90), entry("b", 80), entry("c", 70, true) });
        registry.noteStoreRestored(start);
        registry.replaceAll(each.listed, start);
        if (each.changed) {
            CHECK(registry.put(*each.changed));
        }
        std::set<std::string> ids;
        for (const auto& known : registry.current()) {
            ids.insert(known.id + (known.isLeaving ? "-" : "") + (known.isUnconfirmed ? "?" : ""));
        }
        CHECK(ids == each.expected);
        registry.expire(start + milliseconds(3'000));
        for (const auto& known : registry.current()) {
            CHECK_FALSE(known.isUnconfirmed);
        }
    }
}

TEST_CASE("An older version is ignored")
{
    auto registry = registryOf({ entry("a", 5, true) });
    CHECK_FALSE(registry.put(entry("a", 4, false, 2)));
    CHECK(registry.current().front().isLeaving);
}

}
