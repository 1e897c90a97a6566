#include "testing/loopback_fleet.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace marlsill::testing {

namespace {

    // Sends requests round the daemons until the condition holds.
    template <typename Condition> bool underLoad(loopback_fleet& fleet, Condition condition)
    {
        int request = 0;
        return eventually([&] {
            for (int each = 0; each < 30; ++each) {
                fleet.call(static_cast<std::size_t>(request++) % fleet.entries(), get("/jobs/1", "load"));
            }
            return condition();
        });
    }

    std::string memberStates(loopback_fleet& fleet, std::size_t entry)
    {
        auto members = nlohmann::json::parse(fleet.status(entry, "members"), nullptr, false);
        std::string states;
        for (const auto& each : members) {
            states += each.value("name", "") + ":" + each.value("state", "") + " ";
        }
        return states;
    }

    bool isAlive(loopback_fleet& fleet, std::size_t entry, const std::string& name)
    {
        return memberStates(fleet, entry).find(name + ":alive") != std::string::npos;
    }

}

TEST_CASE("an upstream that fails real work while healthy to probes is ejected, unless the floor forbids it")
{
    struct row {
        int floor;
        bool isEjected;
    };
    constexpr row rows[] = { { 8, true }, { 16, false } };
    for (const row& each : rows) {
        CAPTURE(each.floor);
        loopback_fleet fleet({ .entries = 2, .upstreams = 4, .slots = 4, .floorSlots = each.floor });
        fleet.upstream(0).setFaults({ .spoilt = spoilt_answer::serverError });
        auto startedBefore = [&] { return fleet.upstream(0).started(); };
        if (each.isEjected) {
            CHECK(underLoad(fleet, [&] {
                auto before = startedBefore();
                for (int request = 0; request < 60; ++request) {
                    fleet.call(static_cast<std::size_t>(request) % 2, get("/jobs/1", "probe"));
                }
                return startedBefore() == before;
            }));
        } else {
            underLoad(fleet, [&] { return fleet.started() > 600; });
            auto before = startedBefore();
            underLoad(fleet, [&] { return fleet.started() > 900; });
            CHECK(startedBefore() > before);
        }
    }
}

TEST_CASE("while the platform is away nothing is ejected, but work moves away from a failing upstream")
{
    loopback_fleet fleet({ .entries = 2, .upstreams = 4 });
    fleet.platform().setFaults({ .isAway = true });
    fleet.upstream(0).setFaults({ .spoilt = spoilt_answer::serverError });
    CHECK(underLoad(fleet, [&] {
        auto before = fleet.upstream(0).started();
        for (int request = 0; request < 100; ++request) {
            fleet.call(static_cast<std::size_t>(request) % 2, get("/jobs/1", "probe"));
        }
        return fleet.upstream(0).started() - before < 10;
    }));
}

TEST_CASE("what is in force stays in force through an outage, and a submission says that it was not accepted")
{
    loopback_fleet fleet({ .entries = 2 });
    fleet.platform().setFaults({ .isAway = true });
    CHECK(fleet.applyRules(0, R"("leaving":["u0"])", 2) == "not-accepted");
    CHECK(fleet.status(1, "generation") == "2");
    CHECK(fleet.call(1, get("/jobs/1", "a")).outcome == "ran");
    fleet.platform().setFaults({});
    CHECK(fleet.applyRules(0, R"("leaving":["u0"])", 2) == "accepted");
    CHECK(eventually([&] { return fleet.status(1, "in_force_everywhere") == "3"; }));
}

TEST_CASE("of two operators on two daemons one wins and the other gets a conflict")
{
    loopback_fleet fleet({ .entries = 2 });
    std::string first;
    std::string second;
    {
        std::jthread one([&] { first = fleet.applyRules(0, R"("leaving":["u0"])", 2); });
        std::jthread other([&] { second = fleet.applyRules(1, R"("leaving":["u1"])", 2); });
    }
    bool isOneAccepted = (first == "accepted") != (second == "accepted");
    CHECK(isOneAccepted);
    CHECK((first == "conflict" || second == "conflict"));
}

TEST_CASE("a fresh daemon joins while the platform is away, with what is in force")
{
    loopback_fleet fleet({ .entries = 2 });
    fleet.platform().setFaults({ .isAway = true });
    auto fresh = fleet.addEntry();
    REQUIRE(eventually([&] { return fleet.call(fresh, get("/jobs/1", "a")).outcome == "ran"; }));
    CHECK(fleet.status(fresh, "generation") == "2");
    CHECK(eventually([&] { return isAlive(fleet, 0, "e2") && isAlive(fleet, 1, "e2"); }));
}

TEST_CASE("a fresh daemon that can ask only one peer does not serve while the platform is away")
{
    loopback_fleet fleet({ .entries = 1 });
    fleet.platform().setFaults({ .isAway = true });
    auto fresh = fleet.addEntry();
    for (int attempt = 0; attempt < 5; ++attempt) {
        auto result = fleet.call(fresh, get("/jobs/1", "a"));
        CHECK(result.outcome == "not-run");
        CHECK(result.outcomeReason == "no-configuration-yet");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    fleet.platform().setFaults({});
    CHECK(eventually([&] { return fleet.call(fresh, get("/jobs/1", "a")).outcome == "ran"; }));
}

TEST_CASE(
    "a partition makes daemons lose each other, and they find each other again with the newest generation")
{
    loopback_fleet fleet({ .entries = 3 });
    auto cutOff = fleet.entry(2).peers().address();
    for (std::size_t each : { 0, 1 }) {
        fleet.entry(each).peers().setDropFilter([cutOff](const std::string& to) { return to == cutOff; });
    }
    CHECK(eventually([&] { return !isAlive(fleet, 0, "e2") && !isAlive(fleet, 1, "e2"); }));
    REQUIRE(fleet.applyRules(0, R"("retry_percent":20)", 2) == "accepted");
    for (std::size_t each : { 0, 1 }) {
        fleet.entry(each).peers().setDropFilter({});
    }
    CHECK(eventually(
        [&] { return isAlive(fleet, 0, "e2") && isAlive(fleet, 1, "e2") && isAlive(fleet, 2, "e0"); }));
    CHECK(eventually([&] { return fleet.status(2, "generation") == "3"; }));
    CHECK(eventually([&] { return fleet.status(0, "in_force_everywhere") == "3"; }));
}

TEST_CASE("a daemon that cannot be heard by one other stays a member through the rest")
{
    loopback_fleet fleet({ .entries = 3 });
    auto deaf = fleet.entry(0).peers().address();
    fleet.entry(2).peers().setDropFilter([deaf](const std::string& to) { return to == deaf; });
    std::this_thread::sleep_for(std::chrono::seconds(5));
    CHECK(isAlive(fleet, 1, "e2"));
    CHECK(memberStates(fleet, 0).find("e2:gone") == std::string::npos);
    CHECK(fleet.call(2, get("/jobs/1", "a")).outcome == "ran");
}

}
