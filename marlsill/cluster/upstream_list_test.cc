#include "marlsill/cluster/upstream_list.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace marlsill::cluster {

namespace {

    std::vector<placement::upstream_entry> randomEntries()
    {
        std::vector<placement::upstream_entry> entries;
        for (int number = 0; number < 20; ++number) {
            if (*rc::gen::inRange(0, 2) == 1) {
                entries.push_back({ .id = "u" + std::to_string(number),
                    .address = "10.0.0.1:" + std::to_string(*rc::gen::inRange(1, 3)),
                    .isLeaving = *rc::gen::inRange(0, 2) == 1,
                    .version = *rc::gen::inRange<std::uint64_t>(1, 3) });
            }
        }
        return entries;
    }

    upstream_list listOf(const std::vector<placement::upstream_entry>& entries)
    {
        upstream_list list;
        for (const auto& each : entries) {
            list.put(each);
        }
        return list;
    }

}

TEST_CASE("A delta leads to the other list, and the digest follows it")
{
    bool holds = rc::check([] {
        auto list = listOf(randomEntries());
        auto otherEntries = randomEntries();
        auto other = listOf(otherEntries);
        auto delta = list.deltaTo(otherEntries);
        RC_ASSERT(list.digestAfter(delta) == other.digest());
        list.apply(delta);
        RC_ASSERT(list.entries() == other.entries());
        RC_ASSERT(list.digest() == other.digest());
        RC_ASSERT(list.deltaTo(otherEntries).empty());
    });
    CHECK(holds);
}

TEST_CASE("The digest covers what other VMs must know")
{
    const placement::upstream_entry base { .id = "u", .address = "10.0.0.1:1", .version = 1 };
    auto changed = [&](auto change) {
        auto entry = base;
        change(entry);
        return listOf({ entry }).digest();
    };
    auto digest = listOf({ base }).digest();
    CHECK(upstream_list().digest() == 0);
    CHECK(digest != 0);
    CHECK(changed([](auto& entry) { entry.id = "v"; }) != digest);
    CHECK(changed([](auto& entry) { entry.address = "10.0.0.1:2"; }) != digest);
    CHECK(changed([](auto& entry) { entry.version = 2; }) != digest);
    CHECK(changed([](auto& entry) { entry.isLeaving = true; }) != digest);
    CHECK(changed([](auto& entry) { entry.isUnconfirmed = true; }) != digest);
    auto list = listOf({ base });
    list.remove("unknown");
    CHECK(list.digest() == digest);
    list.remove("u");
    CHECK(list.digest() == 0);
}

}
