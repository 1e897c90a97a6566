#include "marlsill/store/upstream_registry.h"

#include <doctest/doctest.h>

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

TEST_CASE("An older version is ignored")
{
    auto registry = registryOf({ entry("a", 5, true) });
    CHECK_FALSE(registry.put(entry("a", 4, false, 2)));
    CHECK(registry.current().front().isLeaving);
}

}
