// Tests of the gateway over loopback: which responses callers get and which requests upstreams execute, for
// each kind of fault.

#include "marlsill/gateway/gateway.h"
#include "testing/gateway_thread.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"

#include <Poco/Net/StreamSocket.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <future>
#include <iterator>
#include <sys/socket.h>

namespace marlsill::testing {

namespace {

    namespace asio = boost::asio;
    using std::chrono::milliseconds;

    using answer = raw_answer;
    using caller = raw_caller;

    constexpr milliseconds retryWindow { 50 };

    // Runs a gateway on its own thread in front of scripted upstreams of one service.
    class gateway_fixture {
    public:
        explicit gateway_fixture(int upstreams, milliseconds routeTimeout = milliseconds(1'000),
            const gateway::forwarder_options& forwarding = {},
            std::size_t maxCallerBuffers = gateway::gateway_options().maxCallerBuffers)
        {
            for (int index = 0; index < upstreams; ++index) {
                m_upstreams.push_back(
                    std::make_unique<scripted_upstream>("u" + std::to_string(index), gateway::wire_fields()));
            }
            gateway::caller_limits limits;
            limits.maxBodyBytes = 200'000;
            limits.headerTimeout = milliseconds(400);
            std::vector<gateway::route> routes;
            routes.push_back({ .name = "once",
                .host = "h.example",
                .pathPrefix = "/once/",
                .isAtMostOnce = true,
                .timeout = routeTimeout,
                .maxUpstreams = 2,
                .weightedServices = { { "s" } } });
            routes.push_back({ .name = "repeat",
                .host = "h.example",
                .pathPrefix = "/repeat/",
                .isAtMostOnce = false,
                .timeout = routeTimeout,
                .maxUpstreams = 2,
                .weightedServices = { { "s" } } });
            auto config = std::make_shared<const gateway::configuration>(5, std::move(routes), limits);
            gateway::gateway_options options;
            options.minDrainTime = milliseconds(300);
            options.maxCallerBuffers = maxCallerBuffers;
            options.forwarding = forwarding;
            options.forwarding.retryWindow = retryWindow;
            m_vm = std::make_unique<gateway_thread>(options);
            runOnEventLoop([&](gateway::gateway& gateway) {
                gateway.requestForwarder().setConfiguration(config);
                gateway.requestForwarder().changeUpstreams(entries(), {});
                gateway.setUpstreamsKnown();
                // A VM may use its share of the retry slack one window after it has begun to serve.
                gateway.requestForwarder().sweep();
            });
            std::this_thread::sleep_for(2 * retryWindow);
        }

        std::string address() const { return m_vm->address(); }
        caller connect() { return caller(address()); }
        scripted_upstream& upstream(std::size_t index) { return *m_upstreams[index]; }

        answer sendAndReceive(const std::string& method, const std::string& path, const std::string& id,
            int timeoutMs = 2000, const std::string& body = {}, const std::string& extraFields = {})
        {
            auto connection = connect();
            connection.sendRequest(method, path, id, timeoutMs, body, extraFields);
            return connection.receive();
        }

        // Returns how often the upstreams executed a request.
        int runsOf(const std::string& request) const
        {
            int runs = 0;
            for (const auto& each : m_upstreams) {
                runs += each->runsOf(request);
            }
            return runs;
        }

        // Sets the next steps of every upstream.
        void planAll(const std::vector<upstream_step>& steps)
        {
            for (auto& each : m_upstreams) {
                each->plan(steps);
            }
        }

        // Returns the registered upstreams, with the one at `index` draining.
        std::vector<placement::upstream_entry> entriesWithLeaving(std::size_t index) const
        {
            auto list = entries();
            list[index].isLeaving = true;
            return list;
        }

        // Returns the fingerprint of a request without a body.
        static std::uint64_t fingerprintOf(const std::string& method, const std::string& path)
        {
            http::request_message request;
            request.head.setMethod(method);
            request.head.setURI(path);
            request.head.setHost("h.example");
            return gateway::fingerprintOf(request, gateway::wire_fields().clientAccount);
        }

        void post(std::function<void(gateway::gateway&)> work) { m_vm->post(std::move(work)); }

        // Runs `work` on the gateway's thread and waits for it.
        template <typename Work> void runOnEventLoop(Work work) { m_vm->run(work); }

        // Returns the registered upstreams.
        std::vector<placement::upstream_entry> entries() const
        {
            std::vector<placement::upstream_entry> list;
            for (const auto& each : m_upstreams) {
                list.push_back({ .id = each->id(), .service = "s", .address = each->address(), .slots = 3 });
            }
            return list;
        }

    private:
        std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
        std::unique_ptr<gateway_thread> m_vm; // Ends before the upstreams.
    };

}

TEST_CASE("The caller gets the expected status when all upstreams behave alike")
{
    struct path_case {
        const char* name;
        upstream_step step;
        const char* path;
        int status;
        int runs;
    };
    const path_case cases[] = {
        { "answer, once", upstream_step::answer, "/once/a", 200, 1 },
        { "answer, repeatable", upstream_step::answer, "/repeat/a", 200, 1 },
        { "error, once", upstream_step::error, "/once/a", 500, 1 },
        { "error, repeatable", upstream_step::error, "/repeat/a", 500, 2 },
        { "full, once", upstream_step::refuse, "/once/a", 503, 0 },
        { "other upstream, once", upstream_step::misdirect, "/once/a", 503, 0 },
        { "reset, once", upstream_step::reset, "/once/a", 502, 1 },
        { "reset, repeatable", upstream_step::reset, "/repeat/a", 502, 2 },
        { "cut, once", upstream_step::cut, "/once/a", 502, 1 },
        { "cut, repeatable", upstream_step::cut, "/repeat/a", 502, 2 },
        { "garbage, once", upstream_step::garbage, "/once/a", 502, 1 },
        { "no length, once", upstream_step::unframed, "/once/a", 200, 1 },
        { "no seal, once", upstream_step::unsealed, "/once/a", 502, 1 },
        { "hang, once", upstream_step::hang, "/once/a", 504, 1 },
        { "no such route", upstream_step::answer, "/other/a", 404, 0 },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        gateway_fixture tested(3);
        tested.planAll({ each.step, each.step, each.step });
        auto response = tested.sendAndReceive("POST", each.path, "r1", 2000, "body");
        CHECK(response.status == each.status);
        CHECK(tested.runsOf("r1") == each.runs);
        CHECK((response.status != 200 || response.body == "the whole body"));
        CHECK((response.status != 200 || response.has("X-Answer-Seal: seal-r1")));
        CHECK((response.status != 503 || response.has("Retry-After: ")));
        CHECK((response.status == 404 || response.has("X-Request-Id: r1")));
    }
}

TEST_CASE("A request that an upstream may still execute is not reported as not executed")
{
    // Guards against a request at an unresponsive upstream being rejected as not executed at its deadline.
    gateway_fixture tested(2, milliseconds(400));
    tested.planAll({ upstream_step::hang });
    auto began = steady_clock::now();
    auto response = tested.sendAndReceive("POST", "/once/a", "r1", 3000, "body");
    CHECK(response.status == 504);
    CHECK(steady_clock::now() - began < milliseconds(900));
    CHECK(tested.runsOf("r1") == 1);
}

TEST_CASE("Repeatable requests succeed despite one failing upstream")
{
    const upstream_step steps[] = { upstream_step::error, upstream_step::reset, upstream_step::cut,
        upstream_step::garbage, upstream_step::refuse, upstream_step::misdirect, upstream_step::unsealed };
    for (auto step : steps) {
        CAPTURE(static_cast<int>(step));
        gateway_fixture tested(2);
        tested.upstream(0).plan(std::vector<upstream_step>(20, step));
        for (int round = 0; round < 6; ++round) {
            CHECK(tested.sendAndReceive("GET", "/repeat/a", "r" + std::to_string(round)).status == 200);
        }
    }
}

TEST_CASE("Crashed upstreams do not attract requests from healthy ones")
{
    gateway_fixture tested(3);
    tested.upstream(0).crash();
    tested.upstream(1).crash();
    int served = 0;
    for (int round = 0; round < 30; ++round) {
        served
            += tested.sendAndReceive("POST", "/once/a", "r" + std::to_string(round), 2000, "b").status == 200
            ? 1
            : 0;
    }
    CHECK(served == 30);
}

TEST_CASE("Responses lost after execution count as upstream failures, also on reused connections")
{
    // Guards against upstreams that lose responses staying in use, as in the incident inc-7089.
    gateway_fixture tested(2);
    using enum upstream_step;
    tested.upstream(0).plan({ answer, lateReset, lateReset, lateReset, lateReset });
    int lost = 0;
    for (int round = 0; round < 12; ++round) {
        lost += tested.sendAndReceive("POST", "/once/a", "r" + std::to_string(round), 2000, "b").status == 502
            ? 1
            : 0;
    }
    CHECK(lost == 1);
}

TEST_CASE("Idle connections dropped by upstreams lose one request in total, not one for each connection")
{
    gateway_fixture tested(3);
    tested.planAll(std::vector<upstream_step>(20, upstream_step::forget));
    int lost = 0;
    for (int round = 0; round < 12; ++round) {
        std::this_thread::sleep_for(milliseconds(130));
        lost += tested.sendAndReceive("POST", "/once/a", "r" + std::to_string(round), 2000, "b").status == 502
            ? 1
            : 0;
    }
    CHECK(lost == 1);
}

TEST_CASE("An upstream that begins to drain during a connect gets no request")
{
    gateway_fixture tested(2);
    tested.runOnEventLoop([&](gateway::gateway& gateway) {
        gateway.requestForwarder().changeUpstreams({}, std::vector { tested.entries()[1].id });
        gateway.requestForwarder().setServiceShareProvider([&](const std::string&) {
            tested.post([&](auto& later) {
                later.requestForwarder().changeUpstreams(tested.entriesWithLeaving(0), {});
            });
            return gateway::service_share();
        });
    });
    CHECK(tested.sendAndReceive("POST", "/once/a", "r1", 2000, "b").status == 200);
    CHECK(tested.upstream(0).runsOf("r1") == 0);
    CHECK(tested.upstream(1).runsOf("r1") == 1);
}

TEST_CASE("Bytes without end are not read on once they cannot be an answer")
{
    // Guards against a VM that reads, or holds in memory, whatever a failing upstream sends until the
    // deadline.
    struct row {
        const char* name;
        upstream_step step;
        int status; // Of a request that may run once.
        std::size_t mostBytes; // Sent by the upstream, with what sockets hold; 0: only the deadline ends it.
    };
    constexpr std::size_t inSockets = 6'000'000; // What two sockets on loopback may hold at the most.
    constexpr std::size_t maxResponse = 8 * 1024 * 1024;
    const row rows[] = {
        { "a head of one line", upstream_step::endlessHeadLine, 502, inSockets },
        { "a head of many lines", upstream_step::endlessHead, 502, inSockets },
        { "informational responses", upstream_step::endlessInformational, 502, inSockets },
        { "answers to other requests", upstream_step::endlessStrangers, 502, inSockets },
        { "a body without length", upstream_step::endlessBody, 502, inSockets + maxResponse },
        { "bytes after the answer", upstream_step::endlessExcess, 200, inSockets },
        { "a chunk of a huge size", upstream_step::endlessChunk, 502, inSockets },
        { "chunks with long extensions", upstream_step::endlessExtensions, 502, inSockets },
        { "trailers", upstream_step::endlessTrailers, 502, inSockets },
        { "bytes that are no HTTP", upstream_step::endlessNoise, 502, inSockets },
    };
    for (const auto& each : rows) {
        for (auto pause : { milliseconds(0), milliseconds(10) }) {
            CAPTURE(std::string(each.name));
            CAPTURE(pause.count());
            // A body without length is an answer until it is too long, which takes minutes if it is slow.
            bool isEndedByDeadline = each.step == upstream_step::endlessBody && pause.count() > 0;
            gateway_fixture tested(1, milliseconds(3'000));
            tested.upstream(0).setEndlessPause(pause);
            tested.upstream(0).plan({ each.step });
            auto sentAt = steady_clock::now();
            auto answered = tested.sendAndReceive("POST", "/once/a", "r1", 4'000, "b");
            auto elapsed = steady_clock::now() - sentAt;
            CHECK(answered.status == (isEndedByDeadline ? 504 : each.status));
            CHECK(elapsed < (isEndedByDeadline ? milliseconds(3'500) : milliseconds(2'500)));
            CHECK(tested.upstream(0).runsOf("r1") == 1);
            auto until = deadlineAfter(milliseconds(500));
            while (tested.upstream(0).isSendingEndlessly() && !hasPassed(until, steady_clock::now())) {
                std::this_thread::sleep_for(milliseconds(5));
            }
            CHECK_FALSE(tested.upstream(0).isSendingEndlessly());
            CHECK(tested.upstream(0).mostEndlessBytes() <= each.mostBytes);
            // One finding about the upstream, unless the response was whole or is only slow.
            std::uint64_t failures = 0;
            tested.runOnEventLoop([&](gateway::gateway& gateway) {
                failures = gateway.requestForwarder().counters().upstreamFailures;
            });
            CHECK(failures == (each.status == 200 || isEndedByDeadline ? 0 : 1));
            // No byte of it reaches the next request.
            CHECK(tested.sendAndReceive("GET", "/repeat/b", "r2", 2'000).status == 200);
        }
    }
}

TEST_CASE("The stand-in of an upstream holds nothing of connections that have ended")
{
    // Guards against a soak that runs out of descriptors and address space, so that it starts no daemon.
    scripted_upstream upstream("u0", gateway::wire_fields());
    auto openDescriptors = [] {
        return std::distance(
            std::filesystem::directory_iterator("/proc/self/fd"), std::filesystem::directory_iterator());
    };
    auto before = openDescriptors();
    for (int round = 0; round < 200; ++round) {
        caller connection(upstream.address());
        connection.sendRequest("GET", "/", "r" + std::to_string(round));
        CHECK(connection.receive().status == 200);
    }
    std::this_thread::sleep_for(milliseconds(100));
    caller last(upstream.address()); // What has ended goes with the next connection.
    last.sendRequest("GET", "/", "last");
    CHECK(last.receive().status == 200);
    CHECK(openDescriptors() - before < 20);
}

TEST_CASE("A late duplicate response is not delivered to any caller")
{
    gateway_fixture tested(1);
    tested.upstream(0).plan({ upstream_step::lateExtra });
    auto connection = tested.connect();
    connection.sendRequest("GET", "/repeat/a", "r1");
    CHECK(connection.receive().has("X-Request-Id: r1"));
    for (int round = 2; round < 5; ++round) {
        auto id = "r" + std::to_string(round);
        connection.sendRequest("GET", "/repeat/a", id);
        auto response = connection.receive();
        CHECK(response.status == 200);
        CHECK(response.has("X-Request-Id: " + id));
    }
}

TEST_CASE("A second copy of a response is not taken for the response to the next request")
{
    // Guards against a copy that the upstream sends once the next request has arrived on the connection.
    struct row {
        const char* name;
        const char* firstMethod;
        const char* firstId;
        const char* secondMethod;
        const char* secondId;
    };
    const row rows[] = {
        { "another id", "GET", "r1", "GET", "r2" },
        { "the same id", "GET", "r1", "GET", "r1" }, // Of two callers, whose paths differ.
        { "a copy without its body", "HEAD", "r1", "GET", "r2" },
        { "a copy with a body that is not expected", "GET", "r1", "HEAD", "r2" },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        gateway_fixture tested(1);
        tested.upstream(0).plan({ upstream_step::copyBeforeNext });
        auto first = tested.connect();
        first.sendRequest(each.firstMethod, "/repeat/a", each.firstId);
        std::this_thread::sleep_for(milliseconds(100)); // The response to HEAD has no end to wait for.
        tested.upstream(0).setBody("the second body");
        tested.upstream(0).setWorkTime(milliseconds(50));
        auto second = tested.connect();
        second.sendRequest(each.secondMethod, "/once/b", each.secondId);
        auto answered = second.receive();
        CHECK(answered.status == 200);
        CHECK(answered.has(std::string("X-Request-Id: ") + each.secondId));
        CHECK(answered.has("Content-Length: 15"));
    }
}

TEST_CASE("A response with a status that is none is not delivered")
{
    // Guards against an upstream's status 000 reaching a caller, and against 1xx responses that never end.
    const std::string lines[] = { "HTTP/1.1 000 None", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
        "HTTP/1.1 +20 X", "HTTP/1.1 20 X", "HTTP/1.1 2000 X", "XTTP/1.1 200 X", "HTTP/1.1 101 X" };
    gateway_fixture tested(1);
    for (const auto& line : lines) {
        CAPTURE(line);
        tested.upstream(0).setStatusLine(line);
        tested.upstream(0).plan({ upstream_step::oddStatus });
        auto answered = tested.sendAndReceive("POST", "/once/a", "r" + line, 2'000, "b");
        CHECK(answered.status == 502);
        CHECK(tested.runsOf("r" + line) == 1);
    }
}

TEST_CASE("What a malformed response says of its upstream is not believed")
{
    // Guards against an upstream that gets no requests for the time in a response that is not taken as one.
    const std::string heads[] = {
        "HTTP/1.1 503 Later\r\nRetry-After: 5\r\nContent-Length: 3", // Its length is stated twice.
        "HTTP/1.1 503 Later\r\nRetry-After: 5\r\nTransfer-Encoding: gzip",
        "HTTP/1.1 103 Early Hints\r\nRetry-After: 5\r\nContent-Length: 3",
    };
    for (const auto& head : heads) {
        CAPTURE(head);
        gateway_fixture tested(1);
        tested.upstream(0).setStatusLine(head);
        tested.upstream(0).plan({ upstream_step::oddStatus });
        CHECK(tested.sendAndReceive("POST", "/once/a", "r1", 2'000, "b").status == 502);
        CHECK(tested.sendAndReceive("GET", "/repeat/a", "r2").status == 200);
    }
}

TEST_CASE("An earlier refusal that an upstream repeats is not taken for the answer to a later request")
{
    // Guards against callers that are told "not run" for a request that runs, and against its run at a second
    // upstream.
    const upstream_step steps[] = { upstream_step::repeatRefusal, upstream_step::repeatUnnamedRefusal,
        upstream_step::repeatUnnamedMisdirect };
    for (auto step : steps) {
        for (const std::string path : { "/once/a", "/repeat/a" }) {
            CAPTURE(static_cast<int>(step));
            CAPTURE(path);
            gateway_fixture tested(2);
            auto connections = [&] {
                return std::pair(tested.upstream(0).connections(), tested.upstream(1).connections());
            };
            for (int round = 0; round < 100 && (connections().first == 0 || connections().second == 0);
                 ++round) {
                CHECK(tested.sendAndReceive("GET", "/repeat/w", "w" + std::to_string(round)).status == 200);
            }
            auto kept = connections();
            tested.planAll({ step });
            auto response = tested.sendAndReceive("GET", path, "r1");
            CHECK(response.status == 200);
            CHECK(response.has("X-Request-Id: r1"));
            CHECK(tested.runsOf("r1") == 1);
            CHECK(connections() == kept);
        }
    }
}

TEST_CASE("A request without an id is sent on a new connection")
{
    // Guards against an earlier response that an upstream repeats, which nothing tells apart from its own.
    gateway_fixture tested(1);
    CHECK(tested.sendAndReceive("GET", "/repeat/w", "w1").status == 200);
    CHECK(tested.sendAndReceive("GET", "/repeat/w", "w2").status == 200);
    CHECK(tested.upstream(0).connections() == 1);
    CHECK(tested.sendAndReceive("GET", "/repeat/w", "").status == 200);
    CHECK(tested.upstream(0).connections() == 2);
}

TEST_CASE("An answer that ends within its head is never a success")
{
    // Guards against an empty answer, framed as whole, in place of one whose head was cut off.
    for (auto step : { upstream_step::cutHead, upstream_step::resetHead }) {
        for (const std::string path : { "/once/a", "/repeat/a" }) {
            CAPTURE(static_cast<int>(step));
            CAPTURE(path);
            gateway_fixture tested(1);
            tested.upstream(0).plan(std::vector(4, step));
            CHECK(tested.sendAndReceive("GET", path, "r1").status >= 500);
            tested.upstream(0).plan({});
            CHECK(tested.sendAndReceive("GET", "/repeat/b", "r2").status == 200);
        }
    }
}

TEST_CASE("Pipelined requests are served concurrently and answered in order")
{
    gateway_fixture tested(2);
    tested.planAll({ upstream_step::hang });
    auto connection = tested.connect();
    connection.sendRequest("POST", "/once/slow", "r1", 700, "b");
    connection.sendRequest("POST", "/once/slow", "r2", 700, "b");
    // Waits until both have used their planned step, so that the third request does not use it.
    while (tested.upstream(0).arrivals() + tested.upstream(1).arrivals() < 2) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    connection.sendRequest("GET", "/repeat/a", "r3", 2000);
    CHECK(connection.receive().has("X-Request-Id: r1"));
    CHECK(connection.receive().has("X-Request-Id: r2"));
    auto last = connection.receive();
    CHECK(last.has("X-Request-Id: r3"));
    CHECK(last.status == 200);
}

TEST_CASE("A caller's disconnect cancels its request at the upstream")
{
    gateway_fixture tested(1);
    tested.upstream(0).plan({ upstream_step::hang });
    {
        auto connection = tested.connect();
        connection.sendRequest("GET", "/repeat/a", "r1");
        while (tested.upstream(0).arrivals() == 0) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        connection.close();
    }
    auto until = deadlineAfter(milliseconds(500));
    while (!tested.upstream(0).sawCancel() && !hasPassed(until, steady_clock::now())) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    CHECK(tested.upstream(0).sawCancel());
}

TEST_CASE("Without memory for callers, large requests are refused unrun and ordinary ones served")
{
    constexpr std::size_t maxCallerBuffers = 500'000;
    constexpr std::size_t bodyBytes = 150'000;
    struct row {
        const char* name;
        std::size_t sentBytes; // Of each body.
        std::size_t connections;
        milliseconds workTime;
    };
    const row rows[] = {
        { "unfinished bodies", bodyBytes - 1, 12, milliseconds(0) },
        { "bodies in flight", bodyBytes, 12, milliseconds(600) },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        gateway_fixture fixture(2, milliseconds(2'000), {}, maxCallerBuffers);
        fixture.upstream(0).setWorkTime(each.workTime);
        fixture.upstream(1).setWorkTime(each.workTime);
        std::vector<caller> callers;
        for (std::size_t number = 0; number < each.connections; ++number) {
            callers.push_back(fixture.connect());
            callers.back().send("POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
                + gateway::wire_fields().requestId + ": r" + std::to_string(number) + "\r\nContent-Length: "
                + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(each.sentBytes, 'b'));
        }
        std::this_thread::sleep_for(milliseconds(200));
        CHECK(fixture.sendAndReceive("GET", "/repeat/a", "ordinary").status == 200);
        std::size_t used = 0;
        fixture.runOnEventLoop([&](gateway::gateway& gateway) { used = gateway.callerBuffers().used(); });
        CHECK(used <= 2 * maxCallerBuffers);
        int refused = 0;
        int served = 0;
        for (std::size_t number = 0; number < each.connections; ++number) {
            callers[number].send(std::string(bodyBytes - each.sentBytes, 'b'));
            auto answered = callers[number].receive();
            served += answered.status == 200 ? 1 : 0;
            if (answered.status == 503) {
                ++refused;
                CHECK(answered.has("Retry-After: "));
                CHECK(fixture.runsOf("r" + std::to_string(number)) == 0);
            }
        }
        CHECK(served + refused == static_cast<int>(each.connections));
        CHECK(served >= 1);
        CHECK(refused >= 8); // There is room for three at most.
        auto until = deadlineAfter(milliseconds(1'000)); // The last write may still be ending.
        while (used > 0 && !hasPassed(until, steady_clock::now())) {
            fixture.runOnEventLoop([&](gateway::gateway& gateway) { used = gateway.callerBuffers().used(); });
        }
        CHECK(used == 0);
    }
}

TEST_CASE("A caller that reads late gets all its answers, whole and in order")
{
    constexpr int requests = 200;
    gateway_fixture tested(2);
    for (std::size_t index = 0; index < 2; ++index) {
        tested.upstream(index).setBody(std::string(100'000, 'a'));
    }
    auto connection = tested.connect();
    for (int number = 0; number < requests; ++number) {
        connection.sendRequest("GET", "/repeat/a", "r" + std::to_string(number), 60'000);
    }
    std::this_thread::sleep_for(milliseconds(1'000));
    std::size_t used = 0;
    tested.runOnEventLoop([&](gateway::gateway& gateway) { used = gateway.callerBuffers().used(); });
    CHECK(used <= 64 * 110'000 + 64 * 1'024); // Answers to the requests that are read at a time.
    for (int number = 0; number < requests; ++number) {
        auto answered = connection.receive();
        CHECK(answered.has("X-Request-Id: r" + std::to_string(number) + "\r\n"));
        CHECK(answered.isWhole);
        CHECK((answered.status == 503 || answered.body.size() == 100'000));
    }
}

TEST_CASE("Callers that reset their connections as responses are written do no harm")
{
    // Guards against use of a session that closed between a response and the start of writing it.
    gateway_fixture tested(2);
    for (int round = 0; round < 400; ++round) {
        auto connection = tested.connect();
        connection.sendRequest("GET", round % 2 == 0 ? "/repeat/a" : "/other/a", "r" + std::to_string(round));
        if (round % 4 < 2) {
            std::this_thread::sleep_for(std::chrono::microseconds(50 * (round % 16)));
        }
        connection.reset();
    }
    CHECK(tested.sendAndReceive("GET", "/repeat/a", "last").status == 200);
}

TEST_CASE("Forwarded requests carry the time left and the expected upstream")
{
    gateway_fixture tested(1);
    CHECK(tested.sendAndReceive("GET", "/repeat/a?q=1", "r1", 700).status == 200);
    auto head = tested.upstream(0).lastHead();
    CHECK(head.starts_with("GET /repeat/a?q=1 HTTP/1.1\r\n"));
    CHECK(head.find("X-Expected-Upstream: u0\r\n") != std::string::npos);
    auto left = std::stoi(head.substr(head.find("X-Request-Timeout-Ms: ") + 22));
    CHECK(left <= 700);
    CHECK(left >= 400);
}

TEST_CASE("Malformed requests get an error response and never reach an upstream")
{
    struct bad_case {
        const char* name;
        std::string bytes;
        int status;
    };
    const std::string start = "POST /once/a HTTP/1.1\r\nHost: h.example\r\n";
    const bad_case cases[] = {
        { "two lengths", start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400 },
        { "length and chunks", start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400 },
        { "no host", "GET /once/a HTTP/1.1\r\n\r\n", 400 },
        { "old version", "GET /once/a HTTP/1.0\r\nHost: h.example\r\n\r\n", 400 },
        { "long header", "GET /" + std::string(20'000, 'x'), 431 },
        { "long body", start + "Content-Length: 300000\r\n\r\n", 413 },
        { "unfinished header", "GET /once/a HTTP/1.1\r\nHos", 408 },
        { "time limit", "GET /repeat/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Timeout-Ms: soon\r\n\r\n",
            400 },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        gateway_fixture tested(1);
        auto connection = tested.connect();
        connection.send(each.bytes);
        CHECK(connection.receive().status == each.status);
        CHECK(tested.upstream(0).arrivals() == 0);
    }
}

TEST_CASE("A request that crashed two upstreams is not sent to a third")
{
    gateway_fixture tested(4);
    int totalArrivals = 0;
    for (std::size_t index = 0; index < 4; ++index) {
        tested.upstream(index).plan({ upstream_step::reset });
    }
    // Each upstream that executes the request crashes: it resets the connection and stops listening.
    std::atomic<bool> isOver = false;
    std::thread crasher([&] {
        while (!isOver) {
            for (std::size_t index = 0; index < 4; ++index) {
                if (tested.upstream(index).arrivals() > 0) {
                    tested.upstream(index).crash();
                }
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
    });
    for (int round = 0; round < 6; ++round) {
        tested.sendAndReceive("POST", "/once/poison", "r" + std::to_string(round), 2000, "poison");
        std::this_thread::sleep_for(milliseconds(250));
    }
    isOver = true;
    crasher.join();
    for (std::size_t index = 0; index < 4; ++index) {
        totalArrivals += tested.upstream(index).arrivals();
    }
    CHECK(totalArrivals == 2);
}

TEST_CASE("A request that is quarantined while it waits is refused at once")
{
    // Guards against copies that were admitted before the quarantine and are sent after it.
    constexpr milliseconds slowWork { 700 };
    gateway_fixture tested(1, milliseconds(1'500));
    tested.upstream(0).setWorkTime(slowWork);
    std::vector<std::future<answer>> slow;
    for (int request = 0; request < 4; ++request) {
        slow.push_back(std::async(std::launch::async, [&tested, id = "slow" + std::to_string(request)] {
            return tested.sendAndReceive("POST", "/once/slow", id, 2'000, "b");
        }));
    }
    std::this_thread::sleep_for(milliseconds(100));
    auto sentAt = steady_clock::now();
    auto copy = std::async(
        std::launch::async, [&] { return tested.sendAndReceive("POST", "/once/crash", "copy", 2'000); });
    std::this_thread::sleep_for(milliseconds(100));
    tested.post([](gateway::gateway& target) {
        for (const auto* upstream : { "u8", "u9" }) {
            target.requestForwarder().crashMonitor().applyRecord(
                { gateway_fixture::fingerprintOf("POST", "/once/crash"), upstream, 1, 0,
                    deadlineAfter(std::chrono::seconds(10)) });
        }
    });
    CHECK(copy.get().status == 503);
    CHECK(steady_clock::now() - sentAt < milliseconds(400));
    CHECK(tested.runsOf("copy") == 0);
}

TEST_CASE("A quarantine of a request that crashes nothing ends although the request keeps coming")
{
    // Guards against sound requests that are refused for good, as a refused request cannot succeed.
    gateway::forwarder_options forwarding;
    forwarding.quarantine.probeDelay = milliseconds(300);
    gateway_fixture tested(2, milliseconds(1'000), forwarding);
    tested.post([](gateway::gateway& target) {
        for (const auto* upstream : { "u8", "u9" }) {
            target.requestForwarder().crashMonitor().applyRecord(
                { gateway_fixture::fingerprintOf("GET", "/repeat/listing"), upstream, 1, 0,
                    deadlineAfter(std::chrono::seconds(10)) });
        }
    });
    CHECK(tested.sendAndReceive("GET", "/repeat/listing", "early").status == 503);
    auto until = deadlineAfter(milliseconds(2'000));
    int status = 0;
    for (int request = 0; status != 200 && !hasPassed(until, steady_clock::now()); ++request) {
        status = tested.sendAndReceive("GET", "/repeat/listing", "r" + std::to_string(request)).status;
        std::this_thread::sleep_for(milliseconds(20));
    }
    CHECK(status == 200);
    CHECK(tested.sendAndReceive("GET", "/repeat/listing", "after").status == 200);
}

TEST_CASE("A caller is known by its account, by its address if it names none")
{
    // Guards against callers behind one address that wait for each other's retry times, and against one
    // caller with several addresses that need not wait for its own.
    constexpr milliseconds slowWork { 500 };
    struct caller_case {
        const char* name;
        std::string refusedAccount; // Of the request that is refused, at 127.0.0.1; empty: it names none.
        std::string account; // Of the next one.
        const char* from;
        int status;
    };
    const caller_case cases[] = {
        { "the same account", "a", "a", "127.0.0.1", 503 },
        { "the same account at another address", "a", "a", "127.0.0.2", 503 },
        { "another account at the same address", "a", "b", "127.0.0.1", 200 },
        { "no account", "a", "", "127.0.0.1", 200 },
        { "the same address without accounts", "", "", "127.0.0.1", 503 },
        { "another address without accounts", "", "", "127.0.0.2", 200 },
    };
    const auto accountField = [](const std::string& account) {
        return account.empty() ? std::string() : "X-Client-Account: " + account + "\r\n";
    };
    for (const auto& each : cases) {
        CAPTURE(std::string(each.name));
        gateway_fixture tested(1, milliseconds(3'000));
        tested.upstream(0).setWorkTime(slowWork);
        REQUIRE(tested.sendAndReceive("GET", "/repeat/a", "first").status == 200);
        std::vector<std::future<answer>> slow;
        for (int request = 0; request < 4; ++request) {
            slow.push_back(std::async(std::launch::async, [&tested, id = "slow" + std::to_string(request)] {
                return tested.sendAndReceive("GET", "/repeat/slow", id);
            }));
        }
        std::size_t inFlight = 0;
        for (auto until = deadlineAfter(slowWork);
             inFlight < slow.size() && !hasPassed(until, steady_clock::now());) {
            tested.runOnEventLoop(
                [&](gateway::gateway& entry) { inFlight = entry.requestForwarder().inFlightRequests(); });
        }
        REQUIRE(inFlight == slow.size());
        REQUIRE(
            tested.sendAndReceive("GET", "/repeat/a", "refused", 300, {}, accountField(each.refusedAccount))
                .status
            == 503);
        caller next(tested.address(), each.from, {});
        next.sendRequest("GET", "/repeat/b", "next", 2'500, {}, accountField(each.account));
        CHECK(next.receive().status == each.status);
    }
}

TEST_CASE("A request does not wait for a permit that can be had at once")
{
    // Guards against the VM that issues the permits noticing its own answer at the next poll of the queue.
    constexpr milliseconds tokenInterval { 200 };
    constexpr milliseconds quick { 60 }; // Below the poll interval.
    gateway_fixture tested(1);
    tested.upstream(0).setRateLimit(5);
    for (const auto* each : { "names-limit", "first-permit" }) {
        REQUIRE(tested.sendAndReceive("GET", "/repeat/a", each).status == 200);
    }
    std::this_thread::sleep_for(2 * tokenInterval);
    auto sentAt = steady_clock::now();
    CHECK(tested.sendAndReceive("GET", "/repeat/a", "free-permit").status == 200);
    CHECK(steady_clock::now() - sentAt < quick);
}

TEST_CASE("A request that arrives as a planned stop begins is served or not read at all")
{
    // Guards against a request that is passed on by a session which has already decided to close.
    gateway_fixture tested(1);
    tested.upstream(0).setWorkTime(milliseconds(50));
    auto idle = tested.connect();
    idle.sendRequest("POST", "/once/a", "before", 2'000, "b");
    REQUIRE(idle.receive().status == 200);
    // The request and the stop become ready while the event loop is busy, the stop first.
    tested.post([](gateway::gateway&) { std::this_thread::sleep_for(milliseconds(200)); });
    std::this_thread::sleep_for(milliseconds(50));
    idle.sendRequest("POST", "/once/a", "during", 2'000, "b");
    tested.post([](gateway::gateway& entry) { entry.beginStop(deadlineAfter(milliseconds(4'000)), [] {}); });
    auto response = idle.receive();
    std::this_thread::sleep_for(milliseconds(200)); // A request that was passed on has run by then.
    CHECK((response.status == 200) == (tested.runsOf("during") == 1));
}

TEST_CASE("A request that waits in the socket as a planned stop begins is served")
{
    // Guards against the close of a connection whose next request has arrived but has not been read.
    struct row {
        const char* name;
        bool isPipelined; // It comes behind one whose response is written during the stop.
    };
    const row rows[] = { { "on an idle connection", false }, { "behind another one", true } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        gateway_fixture tested(1);
        auto caller = tested.connect();
        caller.sendRequest("POST", "/once/a", "before", 2'000, "b");
        REQUIRE(caller.receive().status == 200);
        auto beginStop
            = [](gateway::gateway& entry) { entry.beginStop(deadlineAfter(milliseconds(4'000)), [] {}); };
        if (each.isPipelined) {
            tested.upstream(0).setWorkTime(milliseconds(100));
            caller.sendRequest("POST", "/once/a", "first", 2'000, "b");
            std::this_thread::sleep_for(milliseconds(30));
        }
        tested.runOnEventLoop([&](gateway::gateway& entry) {
            if (each.isPipelined) {
                beginStop(entry);
                std::this_thread::sleep_for(milliseconds(200)); // The first response arrives.
            }
            caller.sendRequest("POST", "/once/a", "waiting", 2'000, "b");
            std::this_thread::sleep_for(milliseconds(20));
            if (!each.isPipelined) {
                beginStop(entry);
            }
        });
        if (each.isPipelined) {
            CHECK(caller.receive().status == 200);
        }
        auto last = caller.receive();
        CHECK(last.status == 200);
        CHECK(last.has("Connection: close"));
        CHECK(tested.runsOf("waiting") == 1);
    }
}

TEST_CASE("A planned stop finishes requests in flight and still serves new ones")
{
    gateway_fixture tested(2);
    auto busy = tested.connect();
    auto idle = tested.connect();
    idle.sendRequest("GET", "/repeat/a", "r0");
    CHECK(idle.receive().status == 200);
    tested.planAll({ upstream_step::hang });
    busy.sendRequest("POST", "/once/a", "r1", 800, "b");
    std::this_thread::sleep_for(milliseconds(100));
    tested.planAll({});
    std::promise<void> stopped;
    tested.runOnEventLoop([&](gateway::gateway& entry) {
        entry.beginStop(deadlineAfter(milliseconds(4'000)), [&] { stopped.set_value(); });
    });
    CHECK(idle.isEnded());
    auto late = tested.sendAndReceive("GET", "/repeat/a", "r2");
    CHECK(late.status == 200);
    CHECK(late.has("Connection: close"));
    auto last = busy.receive();
    CHECK(last.status == 504);
    CHECK(last.has("Connection: close"));
    CHECK(stopped.get_future().wait_for(std::chrono::seconds(3)) == std::future_status::ready);
}

TEST_CASE("Requests are rejected with 503 until a configuration is known")
{
    asio::io_context io { 1 };
    gateway::gateway_options options;
    Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
    options.callerEndpoint = { asio::ip::make_address_v4("127.0.0.1"), probe.address().port() };
    probe.close();
    gateway::gateway entry(io, options, gateway::wire_fields());
    REQUIRE_FALSE(entry.start());
    CHECK_FALSE(entry.isReady());
    std::thread loop([&] { io.run(); });
    caller connection("127.0.0.1:" + std::to_string(options.callerEndpoint.port()));
    connection.sendRequest("GET", "/repeat/a", "r1");
    auto response = connection.receive();
    CHECK(response.status == 503);
    CHECK(response.has("Retry-After: "));
    io.stop();
    loop.join();
}

}
