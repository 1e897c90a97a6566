#include "marlsill/ejection/capacity_floor.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace marlsill::ejection {

namespace {

    capacity_view arbitraryView()
    {
        capacity_view view;
        for (int count = *rc::gen::inRange(1, 10); count > 0; --count) {
            view.upstreams.push_back({ "u" + std::to_string(count), *rc::gen::inRange(1, 7),
                *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } }),
                *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } }) });
        }
        view.floorSlots = *rc::gen::inRange(0, 30);
        return view;
    }

    std::vector<std::string> arbitraryNames()
    {
        std::vector<std::string> names;
        for (int count = *rc::gen::inRange(0, 10); count > 0; --count) {
            names.push_back("u" + std::to_string(*rc::gen::inRange(1, 12)));
        }
        return names;
    }

}

TEST_CASE("what a VM carries out never goes below the floor, unless capacity is below it anyway")
{
    bool holds = rc::check([] {
        auto view = arbitraryView();
        auto names = arbitraryNames();
        auto honoured = enforceableEjections(view, names);
        RC_ASSERT(admittedSlots(view, honoured) >= std::min(view.floorSlots, admittedSlots(view, {})));
        for (const auto& each : honoured) {
            RC_ASSERT(std::find(names.begin(), names.end(), each) != names.end());
        }
    });
    CHECK(holds);
}

TEST_CASE("a raised floor or a drain only readmits")
{
    bool holds = rc::check([] {
        auto view = arbitraryView();
        auto names = arbitraryNames();
        auto before = enforceableEjections(view, names);
        auto raised = view;
        raised.floorSlots = 1'000;
        RC_ASSERT(admittedSlots(raised, enforceableEjections(raised, names)) == admittedSlots(raised, {}));
        view.upstreams[0].isLeaving = true;
        auto after = enforceableEjections(view, names);
        RC_ASSERT(admittedSlots(view, after) >= std::min(view.floorSlots, admittedSlots(view, {})));
    });
    CHECK(holds);
}

TEST_CASE("an ejection is allowed by the healthy capacity that it leaves")
{
    struct row {
        const char* name;
        int floor;
        name_set ejected;
        bool isSuspect; // Of the second upstream.
        bool isAllowed; // To eject the first one.
    };
    const row rows[] = {
        { "room", 6, {}, false, true },
        { "exactly at the floor", 9, {}, false, true },
        { "below the floor", 10, {}, false, false },
        { "another is ejected", 9, { "u2" }, false, false },
        { "another is suspect", 9, {}, true, false },
        { "the same is ejected already", 9, { "u1" }, false, true },
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        capacity_view view { { { "u1", 3, false, true }, { "u2", 3, false, each.isSuspect }, { "u3", 3 },
                                 { "u4", 3 } },
            each.floor };
        CHECK(mayEject(view, each.ejected, "u1") == each.isAllowed);
    }
}

}
