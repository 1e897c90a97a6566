// Tests of a whole daemon that is stopped for seconds, as a suspended VM is, and of what it does with what
// waited for it.

#include "platform/decode.h"
#include "platform/platform_fields.h"
#include "platform/testing/store_objects.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"
#include "testing/single_daemon.h"

#include <Poco/Exception.h>
#include <csignal>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds stopTime { 8'000 };
    constexpr int shortTimeoutMs = 1'000; // Over when the daemon runs again.
    constexpr int longTimeoutMs = 20'000;

    // A daemon before an upstream with three slots, which takes requests that may run once.
    class stopped_daemon {
    public:
        stopped_daemon()
            : m_upstream("u-1", platform_adapter::platformFields())
        {
            m_tested.store().put(platform_adapter::upstreamKind, "u-1",
                platform_adapter::upstreamObject("s", m_upstream.address(), "ready"));
            m_tested.store().put(platform_adapter::configurationKind, platform_adapter::configurationName,
                platform_adapter::configurationObject(2, "h.example", "s",
                    { { "once", "/once/", true, longTimeoutMs },
                        { "brief", "/brief/", true, shortTimeoutMs } }));
            REQUIRE(m_tested.daemon().start());
            REQUIRE(m_tested.awaitReady());
        }

        scripted_upstream& upstream() { return m_upstream; }
        void signal(int number) { m_tested.daemon().signal(number); }

        // Returns another process with the settings of this one, which is not started yet.
        std::unique_ptr<spawned_process> makeSuccessor()
        {
            return std::make_unique<spawned_process>(spawn_options { .program = MARLSILL_ENTRY_PROGRAM,
                .environment = { "MARLSILL_NODE_FILE=" + m_tested.daemon().settingsPath() },
                .log = m_tested.daemon().logPath() + ".successor" });
        }

        bool isPredecessorRunning() { return m_tested.daemon().process()->isRunning(); }

        raw_caller connect() const
        {
            return raw_caller(m_tested.at(m_callerPort), platform_adapter::platformFields());
        }

    private:
        scripted_upstream m_upstream;
        single_daemon m_tested;
        const int m_callerPort = m_tested.daemon().options().callerPort;
    };

}

TEST_CASE("A daemon that was stopped does not start requests whose callers have stopped waiting")
{
    // Guards against a time limit that counts from when a request is read: requests that waited in the socket
    // for 8 s would run although their callers were told after 1 s that their fate is unknown.
    stopped_daemon tested;
    auto kept = tested.connect();
    kept.sendRequest("POST", "/once/a", "before", shortTimeoutMs, "b");
    REQUIRE(kept.receive().status == 200);
    auto busy = tested.connect();
    tested.upstream().setWorkTime(milliseconds(300));
    busy.sendRequest("POST", "/once/a", "busy", shortTimeoutMs, "b");
    std::this_thread::sleep_for(milliseconds(100));
    tested.signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(50));
    auto added = tested.connect(); // Waits to be accepted.
    auto patient = tested.connect();
    kept.sendRequest("POST", "/once/a", "kept1", shortTimeoutMs, "b");
    kept.sendRequest("POST", "/once/a", "kept2", shortTimeoutMs, "b");
    added.sendRequest("POST", "/once/a", "added", shortTimeoutMs, "b");
    patient.sendRequest("POST", "/once/a", "patient", longTimeoutMs, "b");
    std::this_thread::sleep_for(stopTime);
    auto late = tested.connect();
    late.sendRequest("POST", "/once/a", "late", shortTimeoutMs, "b");
    std::this_thread::sleep_for(milliseconds(50));
    tested.signal(SIGCONT);
    CHECK(late.receive().status == 200);
    CHECK(patient.receive().status == 200);
    CHECK(kept.receive().status == 503);
    CHECK(kept.receive().status == 503);
    CHECK(added.receive().status == 503);
    auto busyStatus = busy.receive().status; // Its response came in time, or may be given up.
    CHECK((busyStatus == 200 || busyStatus == 504));
    std::this_thread::sleep_for(milliseconds(500));
    for (const char* id : { "kept1", "kept2", "added" }) {
        CAPTURE(std::string(id));
        CHECK(tested.upstream().runsOf(id) == 0);
    }
    for (const char* id : { "busy", "patient", "late" }) {
        CAPTURE(std::string(id));
        CHECK(tested.upstream().runsOf(id) == 1);
    }
}

TEST_CASE("A predecessor and its successor on one VM run each order once")
{
    // Guards against two processes that both act around a handover: the successor is started while its
    // predecessor still finishes what it has taken, and orders keep coming.
    stopped_daemon tested;
    tested.upstream().setWorkTime(milliseconds(100));
    auto successor = tested.makeSuccessor();
    constexpr int ordersBefore = 30;
    constexpr int ordersAfter = 30; // Served by the successor.
    auto until = deadlineAfter(2 * startLimit);
    int servedBefore = 0; // By the predecessor once its stop has begun.
    int servedAfter = 0;
    std::vector<std::string> breaches;
    for (int index = 0; servedAfter < ordersAfter && !hasPassed(until, steady_clock::now()); ++index) {
        auto id = "o" + std::to_string(index);
        if (index == ordersBefore) {
            tested.signal(SIGTERM);
            REQUIRE(successor->start());
        }
        int status = 0;
        try {
            auto caller = tested.connect();
            caller.sendRequest("POST", "/brief/a", id, shortTimeoutMs, "b");
            status = caller.receive().status;
        } catch (const Poco::Exception&) { // Nobody listens between the two.
            std::this_thread::sleep_for(milliseconds(30));
        }
        bool isServed = status == 200 && index >= ordersBefore;
        (tested.isPredecessorRunning() ? servedBefore : servedAfter) += isServed ? 1 : 0;
        int runs = tested.upstream().runsOf(id);
        bool isKept = runs <= 1 && (status != 200 || runs == 1) && (status != 503 || runs == 0);
        if (!isKept) {
            breaches.push_back(id + ": status " + std::to_string(status) + ", runs " + std::to_string(runs));
        }
    }
    CHECK(breaches == std::vector<std::string>());
    CHECK(servedBefore > 0);
    CHECK(servedAfter == ordersAfter);
    CHECK(successor->isRunning());
    CHECK_FALSE(tested.isPredecessorRunning());
}

}
