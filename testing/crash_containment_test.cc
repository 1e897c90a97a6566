// Tests of whole entry daemons: how many upstreams a request crashes that crashes every upstream that runs
// it, and whether sound requests are served meanwhile.

#include "marlsill/base/time.h"
#include "platform/decode.h"
#include "platform/platform_fields.h"
#include "platform/testing/fake_object_store.h"
#include "platform/testing/store_objects.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"
#include "testing/soak/entry_process.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <future>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    using platform_adapter::platformFields;
    using std::chrono::milliseconds;

    constexpr const char* service = "s";
    constexpr const char* host = "h.example";
    constexpr const char* crashMark = "/crash"; // In the paths of crashing requests.
    constexpr const char* crashPath = "/once/crash";
    constexpr const char* repeatableCrashPath = "/repeat/crash";
    constexpr const char* crashIdPrefix = "crash-"; // Of the ids of crashing requests.
    constexpr const char* repeatedPath = "/repeat/listing";
    constexpr const char* quarantineText = "upstreams crashed under this request";
    constexpr milliseconds startLimit { 10'000 };
    constexpr milliseconds workTime { 20 };
    constexpr milliseconds settleTime { 3'000 }; // The users' `stableWindowMs`.
    constexpr std::size_t crashesBeforeBound = 3; // The users' bound counts from the third crash.
    constexpr int maxLateRuns = 3; // Runs later than `settleTime` after it.
    constexpr int maxRuns = 6; // Where callers send one copy at a time.

    // What a crashed upstream comes back as.
    enum class restart_kind {
        newId,
        sameId, // With a later start time.
        never,
    };

    // What happens to the fleet while the crashing request keeps coming.
    enum class disturbance {
        none,
        restarts, // A daemon is killed and restarted before each arrival, and gets the request next.
        pauses, // A daemon is stopped for a while before each arrival.
        storeAway, // The store does not answer.
    };

    struct containment_case {
        const char* name;
        restart_kind restart;
        milliseconds restartDelay;
        disturbance during;
        int copies; // Sent at once.
        milliseconds interval; // Between arrivals.
        int arrivals;
        int upstreams = 24;
        int soundCallers = 1;
        const char* path = crashPath;
        bool isSameRequest = true; // Otherwise each arrival is a new crashing request.
    };

    // A fleet of daemon processes before upstreams that crash and come back.
    class crash_fleet {
    public:
        crash_fleet(int entries, int upstreams)
            : m_folder(std::filesystem::temp_directory_path()
                / ("marlsill-crash-" + std::to_string(::getpid()) + "-"
                    + std::to_string(steady_clock::now().time_since_epoch().count())))
        {
            std::filesystem::create_directories(m_folder);
            m_store.put(platform_adapter::configurationKind, platform_adapter::configurationName,
                platform_adapter::configurationObject(
                    1, host, service, { { "once", "/once/", true }, { "repeat", "/repeat/" } }));
            for (int index = 0; index < upstreams; ++index) {
                m_upstreams.push_back({ .number = index });
                startUpstream(m_upstreams.back(), true);
            }
            for (auto& planned : planFleet(entries)) {
                planned.program = MARLSILL_ENTRY_PROGRAM;
                planned.folder = m_folder.string();
                planned.store = m_store.address();
                m_entries.push_back(std::make_unique<entry_process>(planned));
                REQUIRE(m_entries.back()->start());
            }
        }

        ~crash_fleet()
        {
            m_entries.clear();
            bool isKept = std::getenv("MARLSILL_KEEP_LOGS") != nullptr;
            if (isKept) {
                std::cout << "logs: " << m_folder.string() << '\n';
            } else {
                std::filesystem::remove_all(m_folder);
            }
        }

        // Sends a request to a daemon on a connection of its own. Status 0: no answer.
        raw_answer call(std::size_t entry, const std::string& method, const std::string& path)
        {
            try {
                raw_caller caller(m_entries[entry]->callerAddress(), platformFields());
                auto id = (path.find(crashMark) != std::string::npos ? crashIdPrefix : "r")
                    + std::to_string(++m_requests);
                caller.sendRequest(method, path, id, 2'000, method == "POST" ? "body" : "");
                return caller.receive();
            } catch (const Poco::Exception&) {
                return {};
            }
        }

        bool awaitServing(std::size_t entry)
        {
            auto until = deadlineAfter(startLimit);
            while (!hasPassed(until, steady_clock::now())) {
                if (call(entry, "GET", "/repeat/serving").status == 200) {
                    return true;
                }
                std::this_thread::sleep_for(milliseconds(20));
            }
            return false;
        }

        // Restarts the upstreams whose time has come.
        void tick(const containment_case& tested)
        {
            auto now = steady_clock::now();
            for (auto& each : m_upstreams) {
                if (each.server && each.server->hasCrashed()) {
                    each.server.reset();
                    each.restartAt = now + tested.restartDelay;
                } else if (!each.server && tested.restart != restart_kind::never
                    && hasPassed(each.restartAt, now)) {
                    startUpstream(each, tested.restart == restart_kind::newId);
                }
            }
        }

        // Returns when the crashing request has begun to run, in order.
        std::vector<steady_clock::time_point> crashes() const
        {
            std::lock_guard lock(m_mutex);
            return m_crashes;
        }

        entry_process& entry(std::size_t index) { return *m_entries[index]; }
        platform_adapter::fake_object_store& store() { return m_store; }

    private:
        struct upstream_slot {
            int number = 0;
            int starts = 0;
            std::string id;
            unsigned short port = 0;
            std::unique_ptr<scripted_upstream> server;
            steady_clock::time_point restartAt {};
        };

        void startUpstream(upstream_slot& slot, bool hasNewId)
        {
            ++slot.starts;
            if (hasNewId) {
                if (!slot.id.empty()) {
                    m_store.remove(platform_adapter::upstreamKind, slot.id);
                }
                slot.id = "u" + std::to_string(slot.number) + "-" + std::to_string(slot.starts);
            }
            slot.server = std::make_unique<scripted_upstream>(slot.id, platformFields(), slot.port);
            slot.port = Poco::Net::SocketAddress(slot.server->address()).port();
            slot.server->setWorkTime(workTime);
            slot.server->crashOn(crashMark);
            slot.server->setRunListener([this](const std::string& request) {
                if (request.starts_with(crashIdPrefix)) {
                    std::lock_guard lock(m_mutex);
                    m_crashes.push_back(steady_clock::now());
                }
            });
            m_store.put(platform_adapter::upstreamKind, slot.id,
                platform_adapter::upstreamObject(service, slot.server->address(), "ready", slot.starts));
        }

        const std::filesystem::path m_folder;
        platform_adapter::fake_object_store m_store;
        std::vector<upstream_slot> m_upstreams;
        std::vector<std::unique_ptr<entry_process>> m_entries;
        std::atomic<int> m_requests = 0;
        mutable std::mutex m_mutex; // Guards m_crashes.
        std::vector<steady_clock::time_point> m_crashes;
    };

    // Sends sound requests, all alike, to the daemons in turn until it is stopped.
    class sound_caller {
    public:
        sound_caller(crash_fleet& fleet, std::size_t entries, int callers)
        {
            for (int caller = 0; caller < callers; ++caller) {
                m_threads.emplace_back([this, &fleet, entries, first = static_cast<std::size_t>(caller)](
                                           const std::stop_token& stop) {
                    for (std::size_t turn = first; !stop.stop_requested(); ++turn) {
                        auto answer = fleet.call(turn % entries, "GET", repeatedPath);
                        m_answered += answer.status != 0 ? 1 : 0;
                        m_unanswered += answer.status == 0 ? 1 : 0;
                        m_served += answer.status == 200 ? 1 : 0;
                        m_quarantined += answer.body.find(quarantineText) != std::string::npos ? 1 : 0;
                        std::this_thread::sleep_for(milliseconds(10));
                    }
                });
            }
        }

        int answered() const { return m_answered.load(); }
        int unanswered() const { return m_unanswered.load(); }
        int served() const { return m_served.load(); }
        int quarantined() const { return m_quarantined.load(); }

    private:
        std::atomic<int> m_answered = 0;
        std::atomic<int> m_unanswered = 0;
        std::atomic<int> m_served = 0;
        std::atomic<int> m_quarantined = 0;
        std::vector<std::jthread> m_threads;
    };

    void disturb(crash_fleet& fleet, disturbance kind, std::size_t entry)
    {
        switch (kind) {
        case disturbance::none:
            return;
        case disturbance::restarts:
            fleet.entry(entry).kill();
            fleet.entry(entry).start();
            CHECK(fleet.awaitServing(entry));
            return;
        case disturbance::pauses:
            fleet.entry(entry).signal(SIGSTOP);
            std::this_thread::sleep_for(milliseconds(100));
            fleet.entry(entry).signal(SIGCONT);
            return;
        case disturbance::storeAway:
            fleet.store().setFault(platform_adapter::store_fault::unresponsive);
            return;
        }
    }

    std::ptrdiff_t runsAfterBound(const std::vector<steady_clock::time_point>& crashes)
    {
        if (crashes.size() < crashesBeforeBound) {
            return 0;
        }
        auto bound = crashes[crashesBeforeBound - 1] + settleTime;
        return std::count_if(crashes.begin(), crashes.end(), [&](auto at) { return at > bound; });
    }

}

TEST_CASE("A request that crashes every upstream that runs it does not go on crashing them")
{
    constexpr std::size_t entries = 16;
    const containment_case cases[] = {
        { "one copy at a time", restart_kind::newId, milliseconds(2'000), disturbance::none, 1,
            milliseconds(300), 40 },
        { "upstreams keep their ids", restart_kind::sameId, milliseconds(2'000), disturbance::none, 1,
            milliseconds(300), 40 },
        { "the store is away", restart_kind::never, {}, disturbance::storeAway, 1, milliseconds(300), 40 },
        { "several copies at once", restart_kind::newId, milliseconds(2'000), disturbance::none, 4,
            milliseconds(500), 24 },
        { "each daemon is restarted before it gets the request", restart_kind::newId, milliseconds(2'000),
            disturbance::restarts, 1, milliseconds(200), 16 },
        { "a request that may be repeated", restart_kind::newId, milliseconds(2'000), disturbance::none, 1,
            milliseconds(300), 30, 24, 1, repeatableCrashPath },
        { "upstreams are back at once, with new ids", restart_kind::newId, {}, disturbance::none, 1,
            milliseconds(300), 30 },
        { "upstreams are back at once, with the same ids", restart_kind::sameId, {}, disturbance::none, 1,
            milliseconds(300), 30 },
        { "sound requests at work on upstreams that others crash", restart_kind::newId, milliseconds(500),
            disturbance::none, 1, milliseconds(300), 30, 6, 6, crashPath, false },
        { "each daemon is paused before it gets the request", restart_kind::newId, milliseconds(2'000),
            disturbance::pauses, 1, milliseconds(200), 32 },
    };
    for (const auto& each : cases) {
        CAPTURE(std::string(each.name));
        crash_fleet fleet(static_cast<int>(entries), each.upstreams);
        for (std::size_t entry = 0; entry < entries; ++entry) {
            REQUIRE(fleet.awaitServing(entry));
        }
        sound_caller sound(fleet, entries, each.soundCallers);
        for (int arrival = 0; arrival < each.arrivals; ++arrival) {
            auto entry = static_cast<std::size_t>(arrival) % entries;
            disturb(fleet, each.during, entry);
            auto path = each.path + (each.isSameRequest ? "" : std::to_string(arrival));
            std::vector<std::future<raw_answer>> copies;
            for (int copy = 0; copy < each.copies; ++copy) {
                auto receiver = (entry + static_cast<std::size_t>(copy)) % entries;
                copies.push_back(std::async(std::launch::async, [&fleet, receiver, path] {
                    return fleet.call(receiver, path.starts_with(repeatableCrashPath) ? "GET" : "POST", path);
                }));
            }
            for (auto& copy : copies) {
                copy.get();
            }
            auto until = deadlineAfter(each.interval);
            while (!hasPassed(until, steady_clock::now())) {
                fleet.tick(each);
                std::this_thread::sleep_for(milliseconds(10));
            }
        }
        auto crashes = fleet.crashes();
        MESSAGE(std::string(each.name)
            << ": " << crashes.size() << " runs, " << runsAfterBound(crashes)
            << " of them late; sound requests: " << sound.served() << " of " << sound.answered()
            << " served, " << sound.quarantined() << " taken for crashing ones");
        CHECK(crashes.size() >= 1);
        CHECK((!each.isSameRequest || runsAfterBound(crashes) <= maxLateRuns));
        CHECK((!each.isSameRequest || each.copies > 1 || crashes.size() <= maxRuns));
        CHECK(sound.quarantined() == 0);
        CHECK(sound.served() * 100 >= sound.answered() * 95);
        CHECK((each.during == disturbance::restarts || sound.unanswered() == 0)); // Those of killed daemons.
    }
}

}
