// Tests over loopback of upstreams that say in their answers that they leave: which requests still reach
// them.

#include "testing/gateway_thread.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"

#include <doctest/doctest.h>
#include <functional>
#include <thread>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;
    using enum upstream_step;

    constexpr milliseconds retryWindow { 50 };
    constexpr milliseconds pauseBetween { 20 }; // Between requests of a series.
    // Longer than an upstream is excluded after a failure, so that a series sees it come back.
    constexpr milliseconds longerThanExclusion { 4'500 };
    constexpr milliseconds shortSeries { 400 };

    // A gateway in front of two upstreams, of which only the first is registered at the beginning.
    class leaving_fixture {
    public:
        leaving_fixture()
        {
            gateway::gateway_options options;
            options.forwarding.retryWindow = retryWindow;
            m_vm = std::make_unique<gateway_thread>(options);
            setConfiguration(1);
            m_vm->run([&](gateway::gateway& gateway) {
                gateway.requestForwarder().changeUpstreams(std::vector { entry(0) }, {});
                gateway.setUpstreamsKnown();
                gateway.requestForwarder().sweep();
            });
            std::this_thread::sleep_for(2 * retryWindow);
        }

        scripted_upstream& upstream(std::size_t index) { return *m_upstreams[index]; }

        // Returns the registration of an upstream, which the caller may change.
        placement::upstream_entry entry(std::size_t index) const
        {
            const auto& each = *m_upstreams[index];
            return { .id = each.id(),
                .service = "s",
                .address = each.address(),
                .slots = 3,
                .startedUnixMs = 1'000,
                .version = 1 };
        }

        void change(std::vector<placement::upstream_entry> changed, std::vector<std::string> removed = {})
        {
            m_vm->run([&](gateway::gateway& gateway) {
                gateway.requestForwarder().changeUpstreams(changed, removed);
            });
        }

        void addSecond() { change({ entry(1) }); }

        void setConfiguration(std::uint64_t version)
        {
            std::vector<gateway::route> routes;
            for (bool isAtMostOnce : { true, false }) {
                routes.push_back({ .name = isAtMostOnce ? "once" : "repeat",
                    .host = "h.example",
                    .pathPrefix = isAtMostOnce ? "/once/" : "/repeat/",
                    .isAtMostOnce = isAtMostOnce,
                    .timeout = milliseconds(2'000),
                    .maxUpstreams = 2,
                    .weightedServices = { { "s" } } });
            }
            auto config = std::make_shared<const gateway::configuration>(version, std::move(routes));
            m_vm->run(
                [&](gateway::gateway& gateway) { gateway.requestForwarder().setConfiguration(config); });
        }

        template <typename Work> void run(Work work) { m_vm->run(work); }
        void post(std::function<void(gateway::gateway&)> work) { m_vm->post(std::move(work)); }

        raw_caller connect() { return raw_caller(m_vm->address()); }

        raw_answer call(const std::string& path)
        {
            auto connection = connect();
            connection.sendRequest("GET", path, "r" + std::to_string(++m_requests));
            return connection.receive();
        }

        // Sends requests for a while. Returns how many of them reached the first upstream.
        int arrivalsDuring(milliseconds length, const std::string& path = "/repeat/a")
        {
            auto before = upstream(0).arrivals();
            auto until = deadlineAfter(length);
            while (!hasPassed(until, steady_clock::now())) {
                call(path);
                std::this_thread::sleep_for(pauseBetween);
            }
            return upstream(0).arrivals() - before;
        }

    private:
        int m_requests = 0;
        std::unique_ptr<scripted_upstream> m_upstreams[2]
            = { std::make_unique<scripted_upstream>("u0", gateway::wire_fields()),
                  std::make_unique<scripted_upstream>("u1", gateway::wire_fields()) };
        std::unique_ptr<gateway_thread> m_vm; // Ends before the upstreams.
    };

    // Makes the first upstream say with its next answer that it leaves, and ends when the answer is there.
    void leave(leaving_fixture& tested, upstream_step step = answer)
    {
        tested.upstream(0).setLeavingField("1");
        tested.upstream(0).plan({ step });
        tested.call("/once/a");
    }

}

TEST_CASE("An upstream that has said in any kind of answer that it leaves gets no further request")
{
    struct row {
        const char* name;
        upstream_step step;
        const char* field;
        milliseconds watched;
        bool isNotice;
    };
    const row rows[] = {
        { "answer", answer, "1", shortSeries, true },
        { "error", error, "1", longerThanExclusion, true },
        { "refusal", refuse, "1", shortSeries, true },
        { "without a seal", unsealed, "1", longerThanExclusion, true },
        { "cut in the body", cut, "1", longerThanExclusion, true },
        { "until the connection closes", unframed, "1", shortSeries, true },
        { "before the request was read", early, "1", shortSeries, true },
        { "answered twice", lateExtra, "1", shortSeries, true },
        { "a body that is too long", endlessBody, "1", longerThanExclusion, true },
        // It speaks for another process than the one that the request was for.
        { "misdirected", misdirect, "1", longerThanExclusion, false },
        { "zero", answer, "0", shortSeries, false },
        { "two", answer, "2", shortSeries, false },
        { "a list", answer, "1, 1", shortSeries, false },
        { "a word", answer, "true", shortSeries, false },
        { "a sign", answer, "+1", shortSeries, false },
        { "a long value", answer, "1111111111111111111111111111111111111111111111111", shortSeries, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        CAPTURE(std::string(each.field));
        leaving_fixture tested;
        tested.upstream(0).setLeavingField(each.field);
        tested.upstream(0).plan({ each.step });
        tested.call("/once/a");
        CHECK(tested.upstream(0).arrivals() == 1);
        tested.addSecond();
        auto arrivals = tested.arrivalsDuring(each.watched);
        CHECK((each.isNotice ? arrivals == 0 : arrivals > 0));
    }
}

TEST_CASE("A leaving upstream stays without requests until another process takes its place")
{
    struct row {
        const char* name;
        std::function<void(leaving_fixture&)> play; // Ends with the time from which arrivals are counted.
        bool getsRequests;
    };
    auto ready = [](leaving_fixture& tested, std::uint64_t version, std::int64_t startedUnixMs = 1'000) {
        auto entry = tested.entry(0);
        entry.version = version;
        entry.startedUnixMs = startedUnixMs;
        tested.change({ entry });
    };
    auto drain = [](leaving_fixture& tested, std::uint64_t version) {
        auto entry = tested.entry(0);
        entry.version = version;
        entry.isLeaving = true;
        tested.change({ entry });
    };
    const row rows[] = {
        { "nothing else happens", [](auto& tested) { leave(tested); }, false },
        { "two notices",
            [](auto& tested) {
                tested.upstream(0).setLeavingField("1");
                auto first = tested.connect();
                auto second = tested.connect();
                tested.upstream(0).setWorkTime(milliseconds(100));
                first.sendRequest("GET", "/repeat/a", "a");
                second.sendRequest("GET", "/repeat/a", "b");
                CHECK(first.receive().status == 200);
                CHECK(second.receive().status == 200);
            },
            false },
        { "a list that says ready",
            [&](auto& tested) {
                leave(tested);
                ready(tested, 2);
            },
            false },
        { "the notice, then a list that says draining, then an older copy of it",
            [&](auto& tested) {
                leave(tested);
                drain(tested, 2);
                ready(tested, 1);
            },
            false },
        { "a list that says draining, then the notice, then an older copy of the list",
            [&](auto& tested) {
                tested.upstream(0).setLeavingField("1");
                tested.upstream(0).setWorkTime(milliseconds(200));
                auto caller = tested.connect();
                caller.sendRequest("GET", "/repeat/a", "a");
                std::this_thread::sleep_for(milliseconds(80));
                drain(tested, 2);
                CHECK(caller.receive().status == 200);
                ready(tested, 1);
            },
            false },
        { "an older copy of the list that lacks it, and the list again",
            [&](auto& tested) {
                leave(tested);
                tested.change({}, { "u0" });
                ready(tested, 1);
            },
            false },
        { "a registration that expired in an outage and is back",
            [&](auto& tested) {
                leave(tested);
                tested.change({}, { "u0" });
                ready(tested, 2);
            },
            false },
        { "an older process in an older copy of the list",
            [&](auto& tested) {
                leave(tested);
                ready(tested, 1, 900);
            },
            false },
        { "more slots",
            [&](auto& tested) {
                leave(tested);
                auto entry = tested.entry(0);
                entry.slots = 30;
                tested.change({ entry });
            },
            false },
        { "a new configuration",
            [](auto& tested) {
                leave(tested);
                tested.setConfiguration(2);
            },
            false },
        { "a peer that has seen it recover",
            [](auto& tested) {
                leave(tested, error);
                tested.run([](gateway::gateway& gateway) {
                    gateway.requestForwarder().applyPeerEvidence(
                        { "u0", placement::evidence_kind::recovered });
                });
            },
            false },
        { "a peer's notice",
            [](auto& tested) {
                tested.run([](gateway::gateway& gateway) {
                    gateway.requestForwarder().leavingMonitor().applyPeerNotice(
                        { "u0", 1'000, steady_clock::now() });
                });
            },
            false },
        { "a peer's notice about the process before",
            [](auto& tested) {
                tested.run([](gateway::gateway& gateway) {
                    gateway.requestForwarder().leavingMonitor().applyPeerNotice(
                        { "u0", 999, steady_clock::now() });
                });
            },
            true },
        { "a restart under the same id",
            [&](auto& tested) {
                leave(tested);
                tested.upstream(0).setLeavingField("");
                ready(tested, 2, 2'000);
            },
            true },
        { "a restart that removed the registration first",
            [&](auto& tested) {
                leave(tested);
                tested.upstream(0).setLeavingField("");
                tested.change({}, { "u0" });
                ready(tested, 3, 2'000);
            },
            true },
        { "a restart that leaves as well",
            [&](auto& tested) {
                leave(tested);
                ready(tested, 2, 2'000);
                tested.upstream(1).crash();
                tested.call("/repeat/a");
                tested.call("/repeat/a");
            },
            false },
        { "another service under the same id",
            [](auto& tested) {
                leave(tested);
                tested.upstream(0).setLeavingField("");
                auto entry = tested.entry(0);
                entry.service = "t";
                tested.change({ entry });
                tested.change({ tested.entry(0) });
            },
            true },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        leaving_fixture tested;
        each.play(tested);
        tested.addSecond();
        CHECK((tested.arrivalsDuring(shortSeries) > 0) == each.getsRequests);
    }
}

TEST_CASE("A registration without a start time that was removed and returns is a new process")
{
    struct row {
        const char* name;
        std::uint64_t version; // Of the registration that returns; it was 5.
        bool getsRequests;
    };
    const row rows[] = { { "a later registration", 6, true }, { "the same one", 5, false },
        { "an older copy", 4, false } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        leaving_fixture tested;
        auto entry = tested.entry(0);
        entry.startedUnixMs = 0;
        entry.version = 5;
        tested.change({ entry });
        leave(tested);
        tested.upstream(0).setLeavingField("");
        tested.change({}, { "u0" });
        entry.version = each.version;
        tested.change({ entry, tested.entry(1) });
        CHECK((tested.arrivalsDuring(shortSeries) > 0) == each.getsRequests);
    }
}

TEST_CASE("A notice counts from the head of the answer on, and the answer is delivered unchanged")
{
    leaving_fixture tested;
    tested.upstream(0).setLeavingField("1");
    tested.upstream(0).setWorkTime(milliseconds(1'000));
    tested.upstream(0).plan({ slowBody });
    auto caller = tested.connect();
    caller.sendRequest("POST", "/once/a", "r", 3'000, "b");
    std::this_thread::sleep_for(milliseconds(150));
    auto second = tested.entry(1);
    second.failureDomain = "far"; // The first one would be preferred.
    tested.change({ second });
    CHECK(tested.arrivalsDuring(shortSeries) == 0);
    auto answered = caller.receive();
    CHECK(answered.status == 200);
    CHECK(answered.body == "the whole body");
    CHECK(answered.field("X-Leaving") == "1");
}

TEST_CASE("Requests that wait while their only upstream leaves are refused at once, and have not run")
{
    leaving_fixture tested;
    auto entry = tested.entry(0);
    entry.slots = 1;
    tested.change({ entry });
    tested.upstream(0).setLeavingField("1");
    tested.upstream(0).setWorkTime(milliseconds(300));
    std::vector<raw_caller> callers;
    for (int number = 0; number < 6; ++number) {
        callers.push_back(tested.connect());
        callers.back().sendRequest("GET", "/repeat/a", "q" + std::to_string(number));
        std::this_thread::sleep_for(milliseconds(10));
    }
    auto startedAt = steady_clock::now();
    int served = 0;
    int refused = 0;
    for (std::size_t number = 0; number < callers.size(); ++number) {
        auto answered = callers[number].receive();
        bool isRefused = answered.status == 503 && answered.has("Retry-After: ");
        served += answered.status == 200 ? 1 : 0;
        refused += isRefused ? 1 : 0;
        CHECK((!isRefused || tested.upstream(0).runsOf("q" + std::to_string(number)) == 0));
    }
    CHECK(steady_clock::now() - startedAt < milliseconds(600));
    CHECK(served == tested.upstream(0).arrivals()); // Those that it had before its first answer.
    CHECK(served <= 2);
    CHECK(served + refused == 6);
    auto before = tested.upstream(0).arrivals();
    auto sentAt = steady_clock::now();
    CHECK(tested.call("/once/a").status == 503);
    CHECK(steady_clock::now() - sentAt < milliseconds(100));
    CHECK(tested.upstream(0).arrivals() == before);
}

TEST_CASE("A request whose connect is under way when a notice comes goes elsewhere")
{
    leaving_fixture tested;
    tested.run([&](gateway::gateway& gateway) {
        gateway.requestForwarder().setServiceShareProvider([&](const std::string&) {
            tested.post([&](gateway::gateway& later) {
                later.requestForwarder().changeUpstreams(std::vector { tested.entry(1) }, {});
                later.requestForwarder().leavingMonitor().applyPeerNotice(
                    { "u0", 1'000, steady_clock::now() });
            });
            return gateway::service_share();
        });
    });
    CHECK(tested.call("/once/a").status == 200);
    CHECK(tested.upstream(0).arrivals() == 0);
    CHECK(tested.upstream(1).arrivals() == 1);
}

TEST_CASE("A notice is told once, and ends the permits for the upstream")
{
    leaving_fixture tested;
    std::vector<placement::leaving_notice> told;
    auto isPermitIssued = [&] {
        bool isIssued = false;
        tested.run([&](gateway::gateway& gateway) {
            isIssued = gateway.requestForwarder().rateLimiter().issuePermit("u0", milliseconds(0)).isGranted;
        });
        return isIssued;
    };
    tested.run([&](gateway::gateway& gateway) {
        gateway.requestForwarder().leavingMonitor().setReporter(
            [&](const auto& notice) { told.push_back(notice); });
    });
    CHECK(isPermitIssued());
    tested.upstream(0).setLeavingField("1");
    tested.upstream(0).setWorkTime(milliseconds(100));
    auto first = tested.connect();
    auto second = tested.connect();
    first.sendRequest("GET", "/repeat/a", "a");
    second.sendRequest("GET", "/repeat/a", "b");
    CHECK(first.receive().status == 200);
    CHECK(second.receive().status == 200);
    CHECK_FALSE(isPermitIssued());
    tested.run([&](gateway::gateway& gateway) {
        REQUIRE(told.size() == 1);
        CHECK(told.front().upstream == "u0");
        CHECK(told.front().startedUnixMs == 1'000);
        CHECK(gateway.requestForwarder().counters().leavingNotices == 1);
    });
}

TEST_CASE("A connection to the process before is not used for the one that took its place")
{
    // Otherwise the notice of the process that leaves would count as one of its successor.
    for (bool isRemovedFirst : { false, true }) {
        CAPTURE(isRemovedFirst);
        leaving_fixture tested;
        CHECK(tested.call("/repeat/a").status == 200);
        if (isRemovedFirst) {
            tested.change({}, { "u0" });
        }
        auto successor = tested.entry(0);
        successor.startedUnixMs = 2'000;
        successor.version = 2;
        successor.address = tested.upstream(1).address();
        tested.change({ successor });
        tested.upstream(0).setLeavingField("1");
        for (int count = 0; count < 5; ++count) {
            CHECK(tested.call("/repeat/a").status == 200);
        }
        CHECK(tested.upstream(0).arrivals() == 1);
        CHECK(tested.upstream(1).arrivals() == 5);
    }
}

TEST_CASE("Idle connections to an upstream that leaves are closed")
{
    leaving_fixture tested;
    tested.upstream(0).setWorkTime(milliseconds(100));
    auto first = tested.connect();
    auto second = tested.connect();
    first.sendRequest("GET", "/repeat/a", "a");
    second.sendRequest("GET", "/repeat/a", "b");
    CHECK(first.receive().status == 200);
    CHECK(second.receive().status == 200);
    CHECK(tested.upstream(0).openConnections() == 2);
    leave(tested);
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(tested.upstream(0).openConnections() == 0);
}

}
