#include "marlsill/membership/member_table.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

namespace marlsill::membership {

namespace {

    const steady_clock::time_point start {};

    member_record record(const std::string& incarnation, member_state state, std::int64_t counter)
    {
        member_record result;
        result.incarnation = incarnation;
        result.name = "vm-" + incarnation;
        result.peerAddress = incarnation + ":1";
        result.counter = counter;
        result.state = state;
        return result;
    }

    member_table tableOf(const std::string& incarnation)
    {
        return member_table(record(incarnation, member_state::alive, 1), {}, start);
    }

    steady_clock::time_point after(int milliseconds)
    {
        return start + std::chrono::milliseconds(milliseconds);
    }

}

TEST_CASE("merging in any order gives the same table")
{
    bool holds = rc::check([] {
        std::vector<member_record> records;
        for (int count = *rc::gen::inRange(0, 12); count > 0; --count) {
            auto incarnation = std::string(1, *rc::gen::inRange('a', 'd'));
            auto state = static_cast<member_state>(*rc::gen::inRange(0, 5));
            records.push_back(record(incarnation, state, *rc::gen::inRange(0, 3)));
        }
        auto shuffled = records;
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
        auto ordered = tableOf("z");
        auto reordered = tableOf("z");
        ordered.merge(records, start);
        for (const auto& each : shuffled) {
            reordered.merge({ each }, start);
        }
        RC_ASSERT(ordered.digest() == reordered.digest());
        RC_ASSERT(ordered.recordsDifferingFrom(reordered.digest()).empty());
    });
    CHECK(holds);
}

TEST_CASE("a suspect that refutes stays a member, and one that does not is gone after the timeout")
{
    auto observer = tableOf("a");
    auto suspect = tableOf("b");
    observer.merge(suspect.all(), start);
    auto changes = observer.suspect("b", start);
    REQUIRE(changes.size() == 1);
    CHECK(observer.serving().size() == 2);
    SUBCASE("the suspect refutes")
    {
        auto refutation = suspect.merge(changes, start);
        REQUIRE(refutation.size() == 1);
        CHECK(observer.merge(refutation, after(2000)).size() == 1);
        CHECK(observer.expire(after(4000)).empty());
        CHECK(observer.find("b")->state == member_state::alive);
    }
    SUBCASE("the suspect does not refute")
    {
        CHECK(observer.expire(after(2999)).empty());
        REQUIRE(observer.expire(after(3000)).size() == 1);
        CHECK(observer.serving().size() == 1);
        CHECK(observer.merge({ record("b", member_state::alive, 1) }, after(3000)).empty());
    }
    SUBCASE("the suspect was partitioned, is marked gone, and refutes after the partition heals")
    {
        auto gone = observer.expire(after(3000));
        auto refutation = suspect.merge(gone, after(9000));
        REQUIRE(refutation.size() == 1);
        CHECK(observer.merge(refutation, after(9000)).size() == 1);
        CHECK(observer.serving().size() == 2);
    }
}

TEST_CASE("a new incarnation of a VM marks the old one gone at once")
{
    auto observer = tableOf("a");
    auto old = record("b", member_state::alive, 5);
    auto fresh = record("c", member_state::alive, 1);
    fresh.name = old.name;
    fresh.peerAddress = old.peerAddress;
    fresh.startedAt = 100;
    observer.merge({ old }, start);
    CHECK(observer.merge({ fresh }, start).size() == 2);
    CHECK(observer.find("b")->state == member_state::gone);
}

TEST_CASE("a leaving VM is not serving but still present until the leaving timeout")
{
    auto observer = tableOf("a");
    auto leaving = tableOf("b");
    observer.merge(leaving.setOwnState(member_state::leaving), start);
    CHECK(observer.serving().size() == 1);
    CHECK(observer.present().size() == 2);
    CHECK(observer.suspect("b", start).empty());
    CHECK(observer.expire(after(119'999)).empty());
    CHECK(observer.expire(after(120'000)).size() == 1);
}

TEST_CASE("records of gone VMs are removed after their retention")
{
    auto observer = tableOf("a");
    observer.merge({ record("b", member_state::gone, 1) }, start);
    observer.expire(after(2'399'999));
    CHECK(observer.find("b"));
    observer.expire(after(2'400'000));
    CHECK_FALSE(observer.find("b"));
}

}
