#include "marlsill/ejection/ejection_agreement.h"

#include "testing/memory_store.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace marlsill::ejection {

namespace {

    using testing::memory_store;

    constexpr std::chrono::milliseconds skew { 500 };

    wall_deadline at(std::int64_t milliseconds) { return fromUnixMilliseconds(milliseconds); }

    capacity_view sixUpstreams(int floor)
    {
        capacity_view view;
        for (int index = 0; index < 6; ++index) {
            view.upstreams.push_back({ "u" + std::to_string(index), 3 });
        }
        view.floorSlots = floor;
        return view;
    }

    ejection_proposal proposalFor(int upstream, int floor)
    {
        return { "bookings", "u" + std::to_string(upstream), std::chrono::milliseconds(10'000), "test",
            sixUpstreams(floor) };
    }

}

TEST_CASE("proposals are agreed down to the floor, and expired entries no longer count against it")
{
    memory_store store;
    ejection_agreement agreement(store, { .clockSkew = skew });
    struct row {
        std::int64_t now;
        int upstream;
        testing::store_faults faults;
        proposal_status expected;
    };
    const row rows[] = {
        { 0, 0, {}, proposal_status::agreed }, { 0, 1, {}, proposal_status::agreed },
        { 1, 2, {}, proposal_status::belowFloor },
        { 10'499, 2, {}, proposal_status::belowFloor }, // The deadline may not have passed on a slower clock.
        { 10'500, 2, { .isAway = true }, proposal_status::notAgreed },
        { 10'500, 2, { .lostAnswers = 1 }, proposal_status::agreed },
        { 10'500, 3, {}, proposal_status::agreed }, { 10'500, 4, {}, proposal_status::belowFloor },
        { 12'000, 3, {}, proposal_status::agreed }, // Extends the existing entry.
    };
    for (const row& each : rows) {
        CAPTURE(each.now);
        CAPTURE(each.upstream);
        store.setFaults(each.faults);
        auto outcome = agreement.propose(proposalFor(each.upstream, 12), at(each.now), {});
        CHECK(outcome.status == each.expected);
    }
}

TEST_CASE("all VMs together keep the floor with skewed clocks, stale views, store outages and lost responses")
{
    constexpr int vmCount = 4;
    bool holds = rc::check([] {
        constexpr int floor = 12;
        memory_store store;
        ejection_agreement agreement(store, { .clockSkew = skew });
        std::int64_t skews[vmCount];
        std::vector<ejection_entry> views[vmCount];
        for (auto& each : skews) {
            each = *rc::gen::inRange<std::int64_t>(0, 501) - 250;
        }
        std::int64_t now = 1'000'000;
        for (int steps = *rc::gen::inRange(1, 60); steps > 0; --steps) {
            now += *rc::gen::inRange<std::int64_t>(0, 4'000);
            int vm = *rc::gen::inRange(0, vmCount);
            store.setFaults({ .isAway = *rc::gen::inRange(0, 8) == 0,
                .lostAnswers = *rc::gen::inRange(0, 8) == 0 ? 1 : 0 });
            auto outcome
                = agreement.propose(proposalFor(*rc::gen::inRange(0, 6), floor), at(now + skews[vm]), {});
            if (outcome.status == proposal_status::agreed) {
                views[vm] = outcome.entries;
                if (*rc::gen::inRange(0, 3) > 0) {
                    views[*rc::gen::inRange(0, vmCount)] = outcome.entries;
                }
            }
            upstream_name_set enforced;
            for (int each = 0; each < vmCount; ++each) {
                for (const auto& entry : views[each]) {
                    if (at(now + skews[each]) < entry.until) {
                        enforced.insert(entry.upstream);
                    }
                }
            }
            RC_ASSERT(admittedSlots(sixUpstreams(floor), enforced) >= floor);
        }
    });
    CHECK(holds);
}

TEST_CASE("corrupted objects are parsed or rejected with a reason")
{
    auto text = formatEjections({ { "bookings", "u1", at(1), at(2), "test", 12, 15 } });
    bool holds = rc::check([&] {
        auto bytes = text;
        for (int edit = *rc::gen::inRange(1, 6); edit > 0; --edit) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        reason why;
        RC_ASSERT(parseEjections(bytes, why).has_value() || !why.text.empty());
    });
    CHECK(holds);
}

}
