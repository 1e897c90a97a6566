#include "marlsill/http/message_writer.h"
#include "testing/loopback_fleet.h"

#include <doctest/doctest.h>

namespace marlsill::testing {

namespace {

    deadline soon() { return deadlineAfter(std::chrono::seconds(20)); }

    bool isStoredAnswer(const load::call_result& result, const std::string& id)
    {
        return result.outcome == "ran"
            && result.answer.body.find("\"id\":\"" + id + "\"") != std::string::npos;
    }

    // Sends a request and leaves without reading the answer.
    void sendAndLeave(loopback_fleet& fleet, const http::request_message& request)
    {
        auto connection = http::channel::connect(fleet.entry(0).callerAddress(), soon());
        connection->write(http::serialize(request), soon());
        eventually([&] { return fleet.started() > 0; });
    }

}

TEST_CASE("a resend gets the stored answer, wherever it arrives")
{
    loopback_fleet fleet({ .entries = 2 });
    auto request = post("a", fleet.keyPrefix(0) + "a");
    CHECK(fleet.call(0, request).outcome == "ran");
    for (std::size_t where : { 0, 1, 0, 1 }) {
        CHECK(isStoredAnswer(fleet.call(where, request), "a"));
    }
    CHECK(fleet.runs("a") == 1);
}

TEST_CASE("an answer lost on the way back is there for the resend")
{
    loopback_fleet fleet({ .entries = 2, .serviceTime = std::chrono::milliseconds(200) });
    auto request = post("a", fleet.keyPrefix(0) + "a");
    sendAndLeave(fleet, request);
    CHECK(isStoredAnswer(fleet.call(1, request), "a"));
    CHECK(isStoredAnswer(fleet.call(0, request), "a"));
    CHECK(fleet.runs("a") == 1);
}

TEST_CASE("many sendings of one key at once, everywhere, run once")
{
    loopback_fleet fleet({ .entries = 3, .upstreams = 3, .serviceTime = std::chrono::milliseconds(50) });
    for (int round = 0; round < 10; ++round) {
        auto id = "r" + std::to_string(round);
        auto request = post(id, fleet.keyPrefix(0) + id);
        std::atomic<int> notRun = 0;
        {
            std::vector<std::jthread> callers;
            for (std::size_t caller = 0; caller < 9; ++caller) {
                callers.emplace_back(
                    [&, caller] { notRun += fleet.call(caller % 3, request).outcome == "not-run" ? 1 : 0; });
            }
        }
        CHECK(fleet.runs(id) <= 1);
        CHECK((notRun == 0 || fleet.runs(id) == 0));
    }
}

TEST_CASE("a question elsewhere settles a key that was never seen, before a late first sending")
{
    loopback_fleet fleet({ .entries = 2 });
    auto request = post("a", fleet.keyPrefix(0) + "a");
    CHECK(fleet.call(1, request).outcome == "not-run");
    CHECK(fleet.call(0, request).outcome == "not-run");
    CHECK(fleet.runs("a") == 0);
}

TEST_CASE("a key is bound to its request and its account")
{
    loopback_fleet fleet({});
    auto request = post("a", fleet.keyPrefix(0) + "a");
    CHECK(fleet.call(0, request).outcome == "ran");
    auto other = post("b", fleet.keyPrefix(0) + "a");
    CHECK(fleet.call(0, other).status == 422);
    auto foreign = request;
    foreign.head.set("X-Client-Account", "somebody-else");
    auto result = fleet.call(0, foreign);
    CHECK(result.status == 422);
    CHECK(result.answer.body.find("\"id\":\"a\"") == std::string::npos);
    CHECK(fleet.runs("b") == 0);
}

TEST_CASE("a key of an incarnation that is unknown or unreachable is never run and never called not run")
{
    loopback_fleet fleet({ .entries = 2 });
    auto request = post("a", dedup::keyPrefix("0123456789abcdef", 1) + "a");
    for (std::size_t where : { 0, 1 }) {
        CHECK(fleet.call(where, request).outcome == "unknown");
    }
    CHECK(fleet.runs("a") == 0);
}

TEST_CASE("through a one-way partition a resend is unknown, and afterwards gets the answer")
{
    loopback_fleet fleet({ .entries = 2 });
    auto request = post("a", fleet.keyPrefix(0) + "a");
    REQUIRE(fleet.call(0, request).outcome == "ran");
    for (std::size_t mute : { 0, 1 }) {
        fleet.entry(mute).peers().setDropFilter([](const std::string&) { return true; });
        REQUIRE(eventually([&] { return fleet.call(1, request).outcome == "unknown"; }));
        fleet.entry(mute).peers().setDropFilter({});
        CHECK(eventually([&] { return isStoredAnswer(fleet.call(1, request), "a"); }));
    }
    CHECK(fleet.runs("a") == 1);
}

TEST_CASE("while the platform is away, keys that name an incarnation work and others are refused as not run")
{
    loopback_fleet fleet({ .entries = 2 });
    fleet.platform().setFaults({ .isAway = true });
    auto named = post("named", fleet.keyPrefix(0) + "a");
    CHECK(fleet.call(0, named).outcome == "ran");
    CHECK(isStoredAnswer(fleet.call(1, named), "named"));
    auto unnamed = post("unnamed", "my own key");
    auto refused = fleet.call(0, unnamed);
    CHECK(refused.outcome == "not-run");
    CHECK(refused.status == 503);
    CHECK(fleet.runs("unnamed") == 0);
    fleet.platform().setFaults({});
    CHECK(fleet.call(0, unnamed).outcome == "ran");
    CHECK(isStoredAnswer(fleet.call(1, unnamed), "unnamed"));
    CHECK(fleet.runs("unnamed") == 1);
}

TEST_CASE("a claim whose answer was lost runs its request once")
{
    loopback_fleet fleet({ .entries = 2 });
    fleet.platform().setFaults({ .lostAnswers = 1 });
    auto request = post("a", "my own key");
    CHECK(fleet.call(0, request).outcome == "ran");
    CHECK(isStoredAnswer(fleet.call(1, request), "a"));
    CHECK(fleet.runs("a") == 1);
}

TEST_CASE("a planned stop hands the outcomes to a successor that still answers")
{
    loopback_fleet fleet({ .entries = 3 });
    auto ran = post("ran", fleet.keyPrefix(0) + "ran");
    auto never = post("never", fleet.keyPrefix(0) + "never");
    auto undetermined = post("undetermined", fleet.keyPrefix(0) + "undetermined");
    REQUIRE(fleet.call(0, ran).outcome == "ran");
    fleet.upstream(0).setFaults({ .spoilt = spoilt_answer::garbage });
    fleet.upstream(1).setFaults({ .spoilt = spoilt_answer::garbage });
    REQUIRE(fleet.call(0, undetermined).outcome == "unknown");
    fleet.upstream(0).setFaults({});
    fleet.upstream(1).setFaults({});
    fleet.stopEntry(0);
    for (std::size_t where : { 1, 2 }) {
        CHECK(eventually([&] { return isStoredAnswer(fleet.call(where, ran), "ran"); }));
        CHECK(fleet.call(where, never).outcome == "not-run");
        CHECK(fleet.call(where, undetermined).outcome == "unknown");
    }
    fleet.stopEntry(1);
    CHECK(eventually([&] { return isStoredAnswer(fleet.call(2, ran), "ran"); }));
    CHECK(fleet.runs("ran") == 1);
    CHECK(fleet.runs("never") == 0);
    CHECK(fleet.runs("undetermined") == 1);
}

}
