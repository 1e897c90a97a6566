#include "marlsill/placement/load_balancer.h"

#include <chrono>
#include <doctest/doctest.h>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

    std::vector<upstream_entry> entries(int count, std::uint64_t startedUnixMs = 1)
    {
        std::vector<upstream_entry> list;
        for (int index = 0; index < count; ++index) {
            list.push_back({ .id = "u" + std::to_string(index),
                .service = "s",
                .address = "127.0.0.1:1",
                .failureDomain = "d",
                .slots = 3,
                .startedUnixMs = static_cast<std::int64_t>(startedUnixMs) });
        }
        return list;
    }

    std::string toText(const std::vector<upstream_load>& loads)
    {
        std::string text;
        for (const auto& each : loads) {
            text += (text.empty() ? "" : " ") + each.upstream + "=" + std::to_string(each.inFlight);
        }
        return text;
    }

    // Returns the shortest time that a fleet's periodic checks took over some turns, with ten upstreams in
    // use.
    std::chrono::nanoseconds costOfChecks(int upstreams)
    {
        load_balancer balancer({}, 7);
        balancer.replaceUpstreams(entries(upstreams), start);
        auto shortest = std::chrono::nanoseconds::max();
        for (int turn = 0; turn < 50; ++turn) {
            for (int index = 0; index < 10; ++index) {
                balancer.startAttempt("u" + std::to_string(index), false, start);
            }
            auto startedAt = std::chrono::steady_clock::now();
            balancer.excludeStalled(start);
            balancer.takeChangedLoads();
            shortest
                = std::min<std::chrono::nanoseconds>(shortest, std::chrono::steady_clock::now() - startedAt);
        }
        return shortest;
    }

}

TEST_CASE("Peers are told each change of this VM's load once, and none of an upstream that was replaced")
{
    struct row {
        const char* name;
        std::vector<std::string> started;
        std::vector<std::string> finished;
        int replacedAfter; // Upstreams that start again after the attempts: the first ones.
        const char* reported;
    };
    const row rows[] = {
        { "no attempt", {}, {}, 0, "" },
        { "two at one upstream", { "u3", "u3" }, {}, 0, "u3=2" },
        { "one that has ended", { "u1", "u2" }, { "u1" }, 0, "u1=0 u2=1" },
        { "an unknown upstream", { "x", "u0" }, { "x" }, 0, "u0=1" },
        { "one that has started again", { "u0", "u1" }, {}, 1, "u1=1" },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        load_balancer balancer({}, 7);
        balancer.replaceUpstreams(entries(4), start);
        for (const auto& upstream : each.started) {
            balancer.startAttempt(upstream, false, start);
        }
        for (const auto& upstream : each.finished) {
            balancer.finishAttempt(
                upstream, health_signal::succeeded, milliseconds(9), start, false, start + milliseconds(9));
        }
        auto list = entries(4);
        for (int index = 0; index < each.replacedAfter; ++index) {
            list[static_cast<std::size_t>(index)].startedUnixMs = 2;
        }
        balancer.replaceUpstreams(list, start);
        CHECK(toText(balancer.takeChangedLoads()) == each.reported);
        CHECK(balancer.takeChangedLoads().empty());
    }
}

TEST_CASE("An upstream that started again while a request stalled at it is not excluded for it")
{
    load_balancer balancer({}, 7);
    balancer.replaceUpstreams(entries(2), start);
    balancer.startAttempt("u0", false, start);
    balancer.startAttempt("u1", false, start);
    auto list = entries(2);
    list[0].startedUnixMs = 2;
    balancer.replaceUpstreams(list, start);
    auto stalled = balancer.excludeStalled(start + milliseconds(5'000));
    REQUIRE(stalled.size() == 1);
    CHECK(stalled.front().upstream == "u1");
}

TEST_CASE("Checks that run several times a second do not grow with the upstreams that are not in use")
{
    auto few = costOfChecks(100);
    auto many = costOfChecks(110'000);
    MESSAGE("ten in use of 100: " << few.count() << " ns; of 110,000: " << many.count() << " ns");
    CHECK(many < 20 * few);
}

}
