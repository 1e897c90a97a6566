// Tests of the gateway over loopback before upstreams that turn requests away with 503 and Retry-After.

#include "marlsill/gateway/gateway.h"
#include "testing/gateway_thread.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"

#include <doctest/doctest.h>
#include <future>
#include <set>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds retryWindow { 50 };
    constexpr milliseconds routeTimeout { 2'000 };
    constexpr int slots = 3;
    constexpr std::size_t allRequests = 1'000; // More than a test sends.

    // A gateway before scripted upstreams of one service.
    class turn_away_fixture {
    public:
        explicit turn_away_fixture(int upstreams)
        {
            for (int index = 0; index < upstreams; ++index) {
                m_upstreams.push_back(
                    std::make_unique<scripted_upstream>("u" + std::to_string(index), gateway::wire_fields()));
            }
            gateway::gateway_options options;
            options.forwarding.retryWindow = retryWindow;
            m_vm = std::make_unique<gateway_thread>(options);
            onEventLoop([&](gateway::forwarder& requests) {
                requests.setConfiguration(configurationOf(1));
                requests.changeUpstreams(entries(), {});
                requests.sweep();
            });
            m_vm->run([](gateway::gateway& gateway) { gateway.setUpstreamsKnown(); });
            std::this_thread::sleep_for(2 * retryWindow); // Until this VM may use its retry budget.
        }

        template <typename Work> void onEventLoop(Work work)
        {
            m_vm->run([&](gateway::gateway& gateway) { work(gateway.requestForwarder()); });
        }

        void post(std::function<void(gateway::forwarder&)> work)
        {
            m_vm->post(
                [work = std::move(work)](gateway::gateway& gateway) { work(gateway.requestForwarder()); });
        }

        static std::shared_ptr<const gateway::configuration> configurationOf(std::uint64_t version)
        {
            std::vector<gateway::route> routes;
            for (bool isAtMostOnce : { true, false }) {
                routes.push_back({ .name = isAtMostOnce ? "once" : "repeat",
                    .host = "h.example",
                    .pathPrefix = isAtMostOnce ? "/once/" : "/repeat/",
                    .isAtMostOnce = isAtMostOnce,
                    .timeout = routeTimeout,
                    .maxUpstreams = 2,
                    .weightedServices = { { "s" } } });
            }
            return std::make_shared<const gateway::configuration>(
                version, std::move(routes), gateway::caller_limits());
        }

        std::vector<placement::upstream_entry> entries() const
        {
            std::vector<placement::upstream_entry> list;
            for (const auto& each : m_upstreams) {
                list.push_back({ .id = each->id(),
                    .service = "s",
                    .address = each->address(),
                    .slots = slots,
                    .startedUnixMs = 1'000 });
            }
            return list;
        }

        // Makes an upstream turn its next requests away.
        void turnAway(std::size_t index, const std::string& retryAfter, std::size_t count,
            upstream_step step = upstream_step::turnAway)
        {
            m_upstreams[index]->setRetryAfter(retryAfter);
            m_upstreams[index]->plan(std::vector(count, step));
        }

        raw_answer call(const std::string& path, const std::string& body = {})
        {
            raw_caller caller(m_vm->address());
            auto id = "r" + std::to_string(++m_requests);
            caller.sendRequest(body.empty() ? "GET" : "POST", path, id, 3'000, body);
            return caller.receive();
        }

        // Sends requests one after the other until the upstream has got one. Returns when it had.
        steady_clock::time_point callUntilArrival(std::size_t index)
        {
            auto before = upstream(index).arrivals();
            auto until = deadlineAfter(milliseconds(2'000));
            while (upstream(index).arrivals() == before && !hasPassed(until, steady_clock::now())) {
                call("/repeat/first");
            }
            REQUIRE(upstream(index).arrivals() > before);
            return steady_clock::now();
        }

        // Sends requests until `until`. Returns how many of them were not served.
        int callUntil(deadline until, const std::string& path, const std::string& body)
        {
            int unserved = 0;
            while (!hasPassed(until, steady_clock::now())) {
                unserved += call(path, body).status == 200 ? 0 : 1;
                std::this_thread::sleep_for(milliseconds(5));
            }
            return unserved;
        }

        scripted_upstream& upstream(std::size_t index) { return *m_upstreams[index]; }

    private:
        std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
        std::unique_ptr<gateway_thread> m_vm; // Ends before the upstreams.
        std::atomic<int> m_requests = 0;
    };

    // Returns the Retry-After of an answer; -1 if it has none.
    milliseconds retryAfterOf(const raw_answer& answer)
    {
        auto text = answer.field("Retry-After");
        return milliseconds(text.empty() ? -1 : static_cast<int>(1'000 * std::stod(text)));
    }

}

TEST_CASE("An upstream that turns a request away gets nothing until its time has ended")
{
    struct row {
        const char* name;
        const char* path;
        const char* body;
        const char* retryAfter;
        int lastsMs;
        upstream_step step = upstream_step::turnAway;
    };
    const row rows[] = {
        { "repeatable", "/repeat/a", "", "1", 1'000 },
        { "at most once", "/once/a", "b", "1", 1'000 },
        { "fraction", "/repeat/a", "", "1.2", 1'200 },
        { "not stated as not run", "/repeat/a", "", "1", 1'000, upstream_step::turnAwayUnstated },
        { "no time", "/repeat/a", "", "0", 0 },
        { "date", "/repeat/a", "", "Fri, 31 Dec 2100 23:59:59 GMT", 0 },
        { "negative", "/repeat/a", "", "-3", 0 },
        { "malformed", "/repeat/a", "", "soon", 0 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        turn_away_fixture tested(2);
        tested.turnAway(0, each.retryAfter, 1, each.step);
        auto answeredAt = tested.callUntilArrival(0);
        auto arrivals = tested.upstream(0).arrivals();
        auto unserved = tested.callUntil(answeredAt + milliseconds(900), each.path, each.body);
        CHECK(unserved == 0);
        CHECK((tested.upstream(0).arrivals() == arrivals) == (each.lastsMs > 0));
        tested.callUntil(answeredAt + milliseconds(each.lastsMs + 700), each.path, each.body);
        CHECK(tested.upstream(0).arrivals() > arrivals); // It is used again.
    }
}

TEST_CASE("What brings an upstream back otherwise does not end its time, but a new start does")
{
    struct row {
        const char* name;
        std::function<void(turn_away_fixture&, gateway::forwarder&)> happen;
        bool isEnded = false;
    };
    const auto removed = std::vector<std::string> { "u0" };
    const row rows[] = {
        { "evidence of a peer that it recovered",
            [](auto&, auto& requests) {
                requests.applyPeerEvidence({ "u0", placement::evidence_kind::recovered });
            } },
        { "a change of its registration",
            [](auto& tested, auto& requests) {
                auto changed = tested.entries();
                changed[0].slots = slots + 1;
                requests.changeUpstreams(changed, {});
            } },
        { "its registration is gone and back",
            [&](auto& tested, auto& requests) {
                requests.changeUpstreams({}, removed);
                requests.changeUpstreams(tested.entries(), {});
            } },
        { "an older registration",
            [](auto& tested, auto& requests) {
                auto older = tested.entries();
                older[0].startedUnixMs -= 500;
                requests.changeUpstreams(older, {});
            } },
        { "a new configuration",
            [](auto&, auto& requests) { requests.setConfiguration(turn_away_fixture::configurationOf(2)); } },
        { "exclusion and readmission",
            [](auto&, auto& requests) {
                requests.applyPeerEvidence({ "u0", placement::evidence_kind::failed });
                requests.applyPeerEvidence({ "u0", placement::evidence_kind::recovered });
            } },
        { "exclusion whose time ends",
            [](auto&, auto& requests) {
                requests.applyPeerEvidence({ "u0", placement::evidence_kind::unreachable });
            } },
        { "a new start",
            [](auto& tested, auto& requests) {
                auto restarted = tested.entries();
                restarted[0].startedUnixMs = toUnixMilliseconds(wall_clock::now());
                requests.changeUpstreams(restarted, {});
            },
            true },
        { "a registration that comes late, of a start before the answer",
            [](auto& tested, auto& requests) {
                auto restarted = tested.entries();
                restarted[0].startedUnixMs += 500;
                requests.changeUpstreams(restarted, {});
            } },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        turn_away_fixture tested(2);
        tested.turnAway(0, "2", 1);
        auto answeredAt = tested.callUntilArrival(0);
        auto arrivals = tested.upstream(0).arrivals();
        tested.onEventLoop([&](auto& requests) { each.happen(tested, requests); });
        CHECK(tested.callUntil(answeredAt + milliseconds(1'800), "/repeat/a", "") == 0);
        CHECK((tested.upstream(0).arrivals() > arrivals) == each.isEnded);
    }
}

TEST_CASE("The later of two times counts, and answers without one do not end it")
{
    turn_away_fixture tested(2);
    tested.upstream(0).setWorkTime(milliseconds(300));
    tested.upstream(1).setWorkTime(milliseconds(300));
    // The second request at the upstream is turned away while it works on the first, which it then answers.
    tested.upstream(0).setRetryAfter("1.5");
    tested.upstream(0).plan({ upstream_step::answer, upstream_step::turnAway });
    std::vector<std::future<raw_answer>> calls;
    for (int call = 0; call < 4; ++call) {
        calls.push_back(std::async(std::launch::async, [&] { return tested.call("/repeat/a"); }));
    }
    for (auto& each : calls) {
        CHECK(each.get().status == 200);
    }
    REQUIRE(tested.upstream(0).arrivals() == 2);
    CHECK(tested.callUntil(deadlineAfter(milliseconds(700)), "/repeat/a", "") == 0);
    CHECK(tested.upstream(0).arrivals() == 2);
}

TEST_CASE("A request that was turned away runs once, and only one that has not run goes elsewhere")
{
    struct row {
        const char* name;
        upstream_step step;
        const char* path;
        const char* body;
        int status;
        int arrivals;
    };
    const row rows[] = {
        { "not run, at most once", upstream_step::turnAway, "/once/a", "b", 200, 2 },
        { "not run, repeatable", upstream_step::turnAway, "/repeat/a", "", 200, 2 },
        { "may have run, at most once", upstream_step::turnAwayUnstated, "/once/a", "b", 502, 1 },
        { "may have run, repeatable", upstream_step::turnAwayUnstated, "/repeat/a", "", 200, 2 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        turn_away_fixture tested(2);
        std::atomic<int> turnedAway = 0;
        for (std::size_t index : { 0, 1 }) {
            // Only the first one to get a request turns it away.
            tested.upstream(index).setTurnAwayListener([&, index](const auto&, const auto&) {
                ++turnedAway;
                std::thread([&, index] { tested.upstream(1 - index).plan({}); }).join();
            });
            tested.turnAway(index, "2", 1, each.step);
        }
        CHECK(tested.call(each.path, each.body).status == each.status);
        CHECK(turnedAway == 1);
        CHECK(tested.upstream(0).arrivals() + tested.upstream(1).arrivals() == each.arrivals);
    }
}

TEST_CASE("A request that may have run is not answered with 503, which callers take for not run")
{
    struct row {
        const char* name;
        upstream_step first;
        const char* path;
        const char* body;
    };
    const row rows[] = {
        { "turned away by both", upstream_step::turnAwayUnstated, "/repeat/a", "" },
        { "answer cut, then turned away", upstream_step::cut, "/repeat/a", "" },
        { "at most once", upstream_step::turnAwayUnstated, "/once/a", "b" },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        turn_away_fixture tested(2);
        // Whichever upstream comes first does the first step, the other one turns the request away.
        std::atomic<bool> hasFirst = false;
        for (std::size_t index : { 0, 1 }) {
            tested.upstream(index).plan({ each.first });
            tested.upstream(index).setRunListener([&, index](const auto&) {
                if (!hasFirst.exchange(true)) {
                    std::thread([&, index] {
                        tested.upstream(1 - index).plan({ upstream_step::turnAwayUnstated });
                    }).join();
                }
            });
        }
        CHECK(tested.call(each.path, each.body).status == 502);
    }
}

TEST_CASE("While every upstream turns requests away, callers are refused at once and told when to return")
{
    for (const char* path : { "/repeat/a", "/once/a" }) {
        CAPTURE(std::string(path));
        turn_away_fixture tested(2);
        tested.turnAway(0, "2", allRequests);
        tested.turnAway(1, "3", allRequests);
        for (std::size_t index : { 0, 1 }) {
            if (tested.upstream(index).arrivals() == 0) {
                tested.callUntilArrival(index);
            }
        }
        auto heldAt = steady_clock::now();
        auto arrivals = tested.upstream(0).arrivals() + tested.upstream(1).arrivals();
        std::set<std::int64_t> returns;
        constexpr int calls = 30;
        for (int call = 0; call < calls; ++call) {
            auto sentAt = steady_clock::now();
            auto answer = tested.call(path, std::string(path) == "/once/a" ? "b" : "");
            auto answeredAt = steady_clock::now();
            CHECK(answer.status == 503);
            CHECK(answeredAt - sentAt < milliseconds(100));
            auto returnAt = answeredAt + retryAfterOf(answer);
            // The first upstream returns about 2 s after its answer, which came shortly before.
            CHECK(returnAt > heldAt + milliseconds(1'800));
            CHECK(returnAt < heldAt + milliseconds(9'000));
            returns.insert(
                std::chrono::duration_cast<milliseconds>(returnAt.time_since_epoch()).count() / 10);
        }
        CHECK(tested.upstream(0).arrivals() + tested.upstream(1).arrivals() == arrivals);
        CHECK(returns.size() >= calls * 3 / 4);
    }
}

TEST_CASE("An upstream that turns a request away during the connect of another gets no request")
{
    turn_away_fixture tested(2);
    tested.onEventLoop([&](auto& requests) {
        requests.changeUpstreams({}, std::vector<std::string> { "u1" });
        requests.setServiceShareProvider([&](const std::string&) {
            tested.post([&](auto& later) {
                later.loadBalancer().recordTurnAway(
                    "u0", { 1'000, 1'000, milliseconds(2'000) }, steady_clock::now());
                later.changeUpstreams(tested.entries(), {});
            });
            return gateway::service_share();
        });
    });
    CHECK(tested.call("/once/a", "b").status == 200);
    CHECK(tested.upstream(0).arrivals() == 0);
    CHECK(tested.upstream(1).arrivals() == 1);
}

TEST_CASE("Requests that wait are refused at once when the last upstream turns requests away")
{
    turn_away_fixture tested(1);
    tested.upstream(0).setWorkTime(milliseconds(400));
    tested.upstream(0).setRetryAfter("2");
    tested.upstream(0).plan({ upstream_step::answer, upstream_step::answer, upstream_step::answer,
        upstream_step::answer, upstream_step::turnAway });
    std::vector<std::future<std::pair<raw_answer, steady_clock::time_point>>> calls;
    for (int call = 0; call < 8; ++call) {
        calls.push_back(std::async(std::launch::async, [&] {
            auto answer = tested.call("/repeat/a");
            return std::pair(answer, steady_clock::now());
        }));
        std::this_thread::sleep_for(milliseconds(10));
    }
    std::optional<steady_clock::time_point> firstRefused;
    int refused = 0;
    for (auto& each : calls) {
        auto [answer, at] = each.get();
        if (answer.status == 200) {
            continue;
        }
        CHECK(answer.status == 503);
        CHECK(retryAfterOf(answer) > milliseconds(1'000));
        ++refused;
        firstRefused = std::min(firstRefused.value_or(at), at);
        CHECK(at - *firstRefused < milliseconds(90)); // Below the poll interval of the queue.
    }
    CHECK(refused == 4);
    CHECK(tested.upstream(0).arrivals() == 5);
}

}
