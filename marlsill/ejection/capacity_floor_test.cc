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

TEST_CASE("enforced ejections never take the capacity below the floor, unless it is below without them")
{
    bool holds = rc::check([] {
        auto view = arbitraryView();
        auto names = arbitraryNames();
        auto enforceable = enforceableEjections(view, names);
        RC_ASSERT(admittedSlots(view, enforceable) >= std::min(view.floorSlots, admittedSlots(view, {})));
        for (const auto& each : enforceable) {
            RC_ASSERT(std::find(names.begin(), names.end(), each) != names.end());
        }
    });
    CHECK(holds);
}

TEST_CASE("a raised floor readmits every upstream, and a drain as many as the floor needs")
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

TEST_CASE("an ejection is allowed if the remaining healthy capacity meets the floor")
{
    struct row {
        const char* name;
        int floor;
        upstream_name_set ejected;
        bool isSuspect; // Whether the second upstream is suspect.
        bool isAllowed; // Whether the first upstream may be ejected.
    };
    const row rows[] = {
        { "above the floor", 6, {}, false, true },
        { "exactly at the floor", 9, {}, false, true },
        { "below the floor", 10, {}, false, false },
        { "another upstream is ejected", 9, { "u2" }, false, false },
        { "another upstream is suspect", 9, {}, true, false },
        { "the candidate is ejected already", 9, { "u1" }, false, true },
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
