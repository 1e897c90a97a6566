#include "marlsill/placement/load_balancer.h"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

namespace marlsill::placement {

namespace {

    const steady_clock::time_point start { std::chrono::hours(1) };

    std::shared_ptr<const upstream_partition> firstOf(int cells)
    {
        return std::make_shared<const upstream_partition>(
            upstream_partition { .divisions = { { cells, { 0 } } } });
    }

    using registered_list = std::map<std::string, upstream_entry>;

    std::vector<upstream_entry> entriesOf(const registered_list& list)
    {
        std::vector<upstream_entry> entries;
        for (const auto& [id, each] : list) {
            entries.push_back(each);
        }
        return entries;
    }

    // Adds, changes or removes one upstream at random, and notes how.
    void changeOne(
        registered_list& list, std::mt19937& random, registered_list& changed, std::set<std::string>& removed)
    {
        auto id = "u" + std::to_string(random() % 40);
        auto found = list.find(id);
        if (found != list.end() && random() % 4 == 0) {
            list.erase(found);
            changed.erase(id);
            removed.insert(id);
            return;
        }
        upstream_entry next
            = found == list.end() ? upstream_entry { .id = id, .service = "s0" } : found->second;
        switch (random() % 4) {
        case 0:
            next.isLeaving = !next.isLeaving;
            break;
        case 1:
            next.service = "s" + std::to_string(random() % 3);
            break;
        case 2:
            next.startedUnixMs += 1;
            break;
        default:
            next.slots = static_cast<int>(1 + random() % 4);
        }
        list[id] = changed[id] = next;
        removed.erase(id);
    }

}

TEST_CASE("Changes of upstreams lead to what the whole list leads to")
{
    struct row {
        const char* name;
        int cells; // Of which this VM has one; 0: it uses all upstreams.
        int changesAtOnce;
    };
    const row rows[] = { { "one by one", 0, 1 }, { "many at once", 0, 60 }, { "a part of them", 4, 5 },
        { "a part that is often empty", 40, 3 } };
    for (const auto& each : rows) {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            CAPTURE(std::string(each.name));
            CAPTURE(seed);
            std::mt19937 random(seed);
            registered_list list;
            load_balancer changing({}, 7);
            auto partition = each.cells > 0 ? firstOf(each.cells) : nullptr;
            for (int turn = 0; turn < 30; ++turn) {
                registered_list changed;
                std::set<std::string> removed;
                for (int change = 0; change < each.changesAtOnce; ++change) {
                    changeOne(list, random, changed, removed);
                }
                changing.changeUpstreams(
                    entriesOf(changed), std::vector(removed.begin(), removed.end()), start);
                load_balancer whole({}, 7);
                whole.replaceUpstreams(entriesOf(list), start);
                for (const char* service : { "s0", "s1", "s2" }) {
                    changing.setServiceShare(service, 1, partition);
                    whole.setServiceShare(service, 1, partition);
                    auto got = changing.statsOf(service, start);
                    auto expected = whole.statsOf(service, start);
                    CHECK(got.upstreams == expected.upstreams);
                    CHECK(got.slots == expected.slots);
                    CHECK(changing.slotsOf(service) == whole.slotsOf(service));
                    auto choice = changing.choose({ .service = service }, start);
                    CHECK(choice.status == whole.choose({ .service = service }, start).status);
                    if (choice.upstream) {
                        CHECK(*choice.upstream == list.at(choice.upstream->id));
                    }
                }
            }
        }
    }
}

}
