// Tests of what callers get from a VM that stops, up to the end of its process.

#include "testing/gateway_thread.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"

#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <thread>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds grace { 2'000 }; // From the begin of the stop to the end of the process.
    constexpr milliseconds usualWork { 100 };
    constexpr int warmUpRequests = 12; // Enough for the average latency to settle.

    // A VM before one upstream with one slot, which ends like a process once its stop is done.
    class stopping_vm {
    public:
        explicit stopping_vm(milliseconds minDrainTime = gateway::gateway_options().minDrainTime)
            : m_upstream("u0", gateway::wire_fields())
        {
            std::vector<gateway::route> routes;
            for (bool isAtMostOnce : { true, false }) {
                routes.push_back({ .name = isAtMostOnce ? "once" : "repeat",
                    .host = "h.example",
                    .pathPrefix = isAtMostOnce ? "/once/" : "/repeat/",
                    .isAtMostOnce = isAtMostOnce,
                    .timeout = milliseconds(10'000),
                    .latencyObjective = 2 * usualWork,
                    .maxUpstreams = 2,
                    .weightedServices = { { "s" } } });
            }
            auto config = std::make_shared<const gateway::configuration>(
                5, std::move(routes), gateway::caller_limits());
            gateway::gateway_options options;
            options.minDrainTime = minDrainTime;
            m_vm = std::make_unique<gateway_thread>(options);
            m_vm->run([&](gateway::gateway& entry) {
                std::vector<placement::upstream_entry> entries {
                    { .id = m_upstream.id(), .service = "s", .address = m_upstream.address(), .slots = 1 }
                };
                entry.requestForwarder().setConfiguration(config);
                entry.requestForwarder().changeUpstreams(entries, {});
                entry.setUpstreamsKnown();
            });
            m_upstream.setWorkTime(usualWork);
            for (int index = 0; index < warmUpRequests; ++index) {
                raw_caller caller(m_vm->address());
                caller.sendRequest("POST", "/once/a", "w" + std::to_string(index), 2'000, "b");
                REQUIRE(caller.receive().status == 200);
            }
        }

        ~stopping_vm()
        {
            if (m_ending.joinable()) {
                m_ending.join();
            }
        }

        scripted_upstream& upstream() { return m_upstream; }
        raw_caller connect() { return raw_caller(m_vm->address()); }

        // Begins the planned stop; the process ends, and closes its connections, once the stop is done.
        void beginStop()
        {
            m_vm->run([this](gateway::gateway& entry) {
                entry.beginStop(deadlineAfter(grace), [this] { m_done.set_value(); });
            });
            if (m_ending.joinable()) {
                return;
            }
            m_ending = std::thread([this] {
                m_done.get_future().wait();
                m_vm.reset();
            });
        }

    private:
        scripted_upstream m_upstream;
        std::unique_ptr<gateway_thread> m_vm;
        std::promise<void> m_done;
        std::thread m_ending;
    };

}

TEST_CASE("A stopping VM does not take requests that it may have to cut")
{
    // Guards against a stop that takes requests by their average run time, and cuts those that take longer.
    struct row {
        const char* name;
        const char* path;
        milliseconds sentAfter; // The begin of the stop.
        milliseconds work;
    };
    const row rows[] = {
        { "soon, usual work", "/once/a", milliseconds(50), usualWork },
        { "soon, ten times the usual work", "/once/a", milliseconds(50), 10 * usualWork },
        { "in the second half, usual work", "/once/a", milliseconds(1'100), usualWork },
        { "in the second half, ten times the usual work", "/once/a", milliseconds(1'100), 10 * usualWork },
        { "in the second half, repeatable", "/repeat/a", milliseconds(1'100), 10 * usualWork },
        { "late, six times the usual work", "/once/a", milliseconds(1'450), 6 * usualWork },
        { "at the end", "/once/a", milliseconds(1'900), 3 * usualWork },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        stopping_vm vm;
        auto busy = vm.connect(); // Keeps the VM from ending early.
        busy.sendRequest("GET", "/repeat/a", "busy", 10'000);
        std::this_thread::sleep_for(milliseconds(20));
        vm.beginStop();
        auto late = vm.connect(); // A connection from before would be closed unread.
        std::this_thread::sleep_for(each.sentAfter);
        vm.upstream().setWorkTime(each.work);
        auto sentAt = steady_clock::now();
        late.sendRequest("POST", each.path, "late", 10'000, "b");
        auto answered = late.receive();
        bool isServed = answered.status == 200 && vm.upstream().runsOf("late") == 1;
        CAPTURE(answered.status);
        CAPTURE(vm.upstream().runsOf("late"));
        bool isRefused = answered.status == 503 && vm.upstream().runsOf("late") == 0;
        CHECK((isServed || isRefused));
        if (isRefused) {
            CHECK(answered.has("Retry-After: "));
            CHECK(steady_clock::now() - sentAt < milliseconds(500));
        }
    }
}

TEST_CASE("Requests that are still unanswered when a stop ends get an answer")
{
    // Guards against the end of the process closing the connections of requests that it had read.
    struct row {
        const char* name;
        int status; // Of the request that came second.
        int runs;
        int firstRequests; // Which the upstream works on when the other one comes.
    };
    constexpr milliseconds longWork { 4'000 }; // Longer than the stop.
    const row rows[] = {
        { "at work", 504, 1, 0 },
        { "waiting for an upstream", 503, 0, 2 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        stopping_vm vm;
        vm.upstream().setWorkTime(longWork);
        std::vector<raw_caller> firsts;
        for (int index = 0; index < each.firstRequests; ++index) {
            firsts.push_back(vm.connect());
            firsts.back().sendRequest("POST", "/once/a", "first" + std::to_string(index), 10'000, "b");
            std::this_thread::sleep_for(milliseconds(50));
        }
        auto second = vm.connect();
        second.sendRequest("POST", "/once/a", "second", 10'000, "b");
        std::this_thread::sleep_for(milliseconds(50));
        vm.beginStop();
        CHECK(second.receive().status == each.status);
        CHECK(vm.upstream().runsOf("second") == each.runs);
    }
}

TEST_CASE("Each request that was read before the end of a stop gets an answer, also on the less usual paths")
{
    // Guards against an end of a stop that reaches only requests that wait for the head of a response.
    struct row {
        const char* name;
        std::vector<upstream_step> plan;
        int requests; // Sent at once on one connection.
        int stops; // How often the stop is asked for, as by several signals.
        std::vector<int> statuses;
    };
    constexpr milliseconds longWork { 4'000 }; // Longer than the stop.
    const row rows[] = {
        { "one behind another on its connection", {}, 2, 1, { 504, 504 } },
        { "many behind one on its connection", {}, 4, 1, { 504, 504, 503, 503 } },
        { "the body of the response is outstanding", { upstream_step::slowBody }, 1, 1, { 504 } },
        { "the upstream never answers", { upstream_step::hang }, 1, 1, { 504 } },
        { "the stop is asked for three times", {}, 1, 3, { 504 } },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        stopping_vm vm;
        vm.upstream().setWorkTime(longWork);
        vm.upstream().plan(each.plan);
        auto caller = vm.connect();
        for (int index = 0; index < each.requests; ++index) {
            caller.sendRequest("POST", "/once/a", "r" + std::to_string(index), 10'000, "b");
        }
        std::this_thread::sleep_for(milliseconds(100));
        auto begunAt = steady_clock::now();
        for (int index = 0; index < each.stops; ++index) {
            vm.beginStop();
            std::this_thread::sleep_for(milliseconds(300));
        }
        for (int index = 0; index < each.requests; ++index) {
            auto status = each.statuses[static_cast<std::size_t>(index)];
            CHECK(caller.receive().status == status);
            CHECK(vm.upstream().runsOf("r" + std::to_string(index)) == (status == 504 ? 1 : 0));
        }
        CHECK(steady_clock::now() - begunAt < grace + milliseconds(250));
    }
}

TEST_CASE("A request whose body is still arriving as a planned stop begins gets an answer")
{
    // Guards against the end of the process in the middle of an upload that it had begun to read.
    struct row {
        const char* name;
        const char* firstPart;
        milliseconds restAfter; // The begin of the stop; 0: never.
        int status;
        int runs;
    };
    const row rows[] = {
        { "the rest comes in time", "bo", milliseconds(700), 200, 1 },
        { "the rest of the head comes in time", "", milliseconds(700), 200, 1 },
        { "the rest comes too late to be run", "bo", milliseconds(1'800), 503, 0 },
        { "the rest never comes", "bo", milliseconds(0), 503, 0 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        stopping_vm vm(milliseconds(300));
        auto caller = vm.connect();
        gateway::wire_fields fields;
        const std::string whole = "POST /once/a HTTP/1.1\r\nHost: h.example\r\n" + fields.requestId
            + ": r\r\n" + fields.timeoutMs + ": 10000\r\nContent-Length: 4\r\n\r\nbody";
        auto sent = *each.firstPart ? whole.size() - 2 : whole.size() - 8;
        caller.send(whole.substr(0, sent));
        std::this_thread::sleep_for(milliseconds(50));
        vm.beginStop();
        if (each.restAfter > milliseconds(0)) {
            std::this_thread::sleep_for(each.restAfter);
            caller.send(whole.substr(sent));
        }
        auto answered = caller.receive();
        CHECK(answered.status == each.status);
        CHECK((answered.status != 503 || answered.has("Retry-After: ")));
        CHECK(vm.upstream().runsOf("r") == each.runs);
    }
}

}
