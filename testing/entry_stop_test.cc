// Tests of what callers get from a daemon of the product that stops, up to the end of its process.

#include "testing/loopback_fleet.h"

#include <doctest/doctest.h>
#include <future>
#include <optional>
#include <thread>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;

    // From SIGTERM until the requests that are left must have an answer.
    constexpr milliseconds directoryTtl { 500 };
    constexpr milliseconds drainLimit { 1'500 };
    constexpr milliseconds stopTime = directoryTtl + drainLimit;
    constexpr milliseconds schedulingSlack { 250 };
    constexpr milliseconds objective { 300 };

    fleet_shape makeShape(int slots)
    {
        return { .entries = 1,
            .upstreams = 1,
            .slots = slots,
            .timeoutMilliseconds = 20'000,
            .entryFlags = { "--drain-limit-ms=" + std::to_string(drainLimit.count()) } };
    }

    http::request_message makeRequest(const std::string& method, const std::string& id)
    {
        return method == "POST" ? post(id, "") : get("/jobs/1", id);
    }

    // A request under way and when its answer came.
    struct pending_call {
        pending_call(const Poco::Net::SocketAddress& address, const http::request_message& request)
            : result(std::async(std::launch::async, [this, address, request] {
                load::caller client;
                auto answer = client.send(address, request, deadlineAfter(std::chrono::seconds(30)));
                answeredAt = steady_clock::now();
                return answer;
            }))
        {
        }

        steady_clock::time_point answeredAt;
        std::future<load::call_result> result;
    };

}

TEST_CASE("A daemon that stops answers each request that it has taken before its process ends")
{
    // Guards against a stop that takes requests it may not finish, and ends later than it says while a
    // supervisor waits to kill it.
    struct row {
        const char* name;
        const char* method;
        milliseconds sentAfter; // The begin of the stop; negative: before it.
        milliseconds work;
        milliseconds objective;
        int slots;
        bool isQueued; // Behind a request that takes all of the stop.
        int status;
        const char* outcome;
        int runs;
    };
    const row rows[] = {
        { "at work as the stop begins, finished in time", "POST", milliseconds(-200), milliseconds(800),
            objective, 4, false, 200, "ran", 1 },
        { "sent during the stop, finished in time", "POST", milliseconds(200), milliseconds(300), objective,
            4, false, 200, "ran", 1 },
        { "at work at the end, may run once", "POST", milliseconds(-200), milliseconds(6'000), objective, 4,
            false, 504, "unknown", 1 },
        { "at work at the end, repeatable", "GET", milliseconds(-200), milliseconds(6'000), objective, 4,
            false, 504, "unknown", 1 },
        { "waiting for an upstream at the end", "POST", milliseconds(-200), milliseconds(6'000), objective, 1,
            true, 503, "not-run", 0 },
        { "waiting for an upstream at the end, repeatable", "GET", milliseconds(-200), milliseconds(6'000),
            objective, 1, true, 503, "not-run", 0 },
        { "sent during the stop, does not fit into the rest", "POST", milliseconds(200), milliseconds(1),
            milliseconds(2'000), 4, false, 503, "not-run", 0 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        loopback_fleet fleet(makeShape(each.slots));
        auto objectiveText = R"("objective":{"latency_ms":)" + std::to_string(each.objective.count()) + "}";
        REQUIRE(fleet.applyRules(0, objectiveText, 2) == "accepted");
        REQUIRE(eventually([&] { return fleet.status(0, "in_force_everywhere") == "3"; }));
        auto address = fleet.entry(0).callerAddress();
        fleet.upstream(0).setFaults({ .coldMilliseconds = static_cast<int>(each.work.count()) });
        std::optional<pending_call> first;
        if (each.isQueued) {
            first.emplace(address, makeRequest("POST", "first"));
            REQUIRE(eventually([&] { return fleet.started() == 1; }));
        }
        std::optional<pending_call> call;
        if (each.sentAfter < milliseconds(0)) {
            call.emplace(address, makeRequest(each.method, "r"));
            std::this_thread::sleep_for(-each.sentAfter);
        }
        auto begunAt = steady_clock::now();
        auto stopped = std::async(std::launch::async, [&] { fleet.stopEntry(0); });
        if (each.sentAfter >= milliseconds(0)) {
            std::this_thread::sleep_for(each.sentAfter);
            call.emplace(address, makeRequest(each.method, "r"));
        }
        auto result = call->result.get();
        auto answeredAfter = std::chrono::duration_cast<milliseconds>(call->answeredAt - begunAt);
        CAPTURE(answeredAfter.count());
        CAPTURE(result.outcomeReason);
        CHECK(result.isWhole);
        CHECK(result.status == each.status);
        CHECK(result.outcome == std::string(each.outcome));
        CHECK(fleet.runs("r") == each.runs);
        CHECK(answeredAfter < stopTime + schedulingSlack);
        stopped.get();
    }
}

}
