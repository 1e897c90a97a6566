// Tests of whole entry daemons some of which lose their way to the store, while the store serves the others.

#include "platform/decode.h"
#include "platform/platform_fields.h"
#include "platform/testing/fake_object_store.h"
#include "platform/testing/store_objects.h"
#include "testing/partition_proxy.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"
#include "testing/soak/entry_process.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <iostream>
#include <list>
#include <thread>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    using platform_adapter::platformFields;
    using std::chrono::milliseconds;

    constexpr int entryCount = 12; // Three failure domains of four.
    constexpr int upstreamCount = 9;
    constexpr int leavingCount = 3;
    constexpr int callsPerEntry = 12;
    constexpr milliseconds startLimit { 15'000 };
    constexpr milliseconds electionTime { 5'000 }; // Until only the elected VMs watch the store.
    constexpr milliseconds watchInterval { 1'500 }; // Longer than one watch.
    constexpr milliseconds cutTime { 5'500 };
    constexpr milliseconds returnLimit { 5'000 }; // For VMs to call the store after a cut.
    constexpr milliseconds responseTime { 20 }; // Of the store, on loopback.
    constexpr milliseconds drainTime { 2'000 }; // The users' `drainMs`.
    constexpr milliseconds propagationTime { 2'000 }; // The users' `configPropagationMs`.
    constexpr int otherServiceCount = 3; // Upstreams of the service that a route is moved to.
    constexpr milliseconds changeDelay { 20 }; // From the loss of the watchers.
    constexpr milliseconds momentStep { 250 }; // Between the moments of a watch at which it is lost.
    constexpr milliseconds recoveryTime {
        4'000
    }; // From the end of a cut until only watchers call the store.
    constexpr milliseconds settleTime { 3'000 }; // The users' `stableWindowMs`.

    // Daemons that each reach one store through a proxy of their own.
    class store_fleet {
    public:
        store_fleet()
            : m_folder(std::filesystem::temp_directory_path()
                / ("marlsill-store-cut-" + std::to_string(::getpid()) + "-"
                    + std::to_string(steady_clock::now().time_since_epoch().count())))
        {
            std::filesystem::create_directories(m_folder);
            putConfiguration("s");
            for (int index = 0; index < upstreamCount; ++index) {
                addUpstream();
            }
            for (int index = 0; index < otherServiceCount; ++index) {
                addUpstreamTo(m_others, "t");
            }
            for (auto& options : planFleet(entryCount)) {
                options.program = MARLSILL_ENTRY_PROGRAM;
                options.folder = m_folder.string();
                options.store = m_links.emplace_back().add(m_store.address());
                m_entries.push_back(std::make_unique<entry_process>(options));
                REQUIRE(m_entries.back()->start());
            }
        }

        ~store_fleet()
        {
            m_entries.clear();
            if (std::getenv("MARLSILL_KEEP_LOGS") != nullptr) {
                std::cout << "logs: " << m_folder.string() << '\n';
            } else {
                std::filesystem::remove_all(m_folder);
            }
        }

        // Waits until all daemons serve. Returns false after a long time.
        bool awaitServing()
        {
            auto limit = deadlineAfter(startLimit);
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                while (call(entry) != 200) {
                    if (hasPassed(limit, steady_clock::now())) {
                        reportNotServing(*m_entries[entry]);
                        return false;
                    }
                    std::this_thread::sleep_for(milliseconds(20));
                }
            }
            return true;
        }

        // Returns how many calls to the store of each daemon have passed.
        std::vector<int> storeCalls() const
        {
            std::vector<int> counts;
            for (const auto& each : m_links) {
                counts.push_back(each.piecesFrom(storeCaller));
            }
            return counts;
        }

        // Returns the daemons that call the store within one watch.
        std::vector<std::size_t> watchers() const
        {
            auto before = storeCalls();
            std::this_thread::sleep_for(watchInterval);
            auto after = storeCalls();
            std::vector<std::size_t> found;
            for (std::size_t entry = 0; entry < before.size(); ++entry) {
                if (after[entry] > before[entry]) {
                    found.push_back(entry);
                }
            }
            return found;
        }

        // Waits until some daemons have all called the store since `before`. Returns false after a long time.
        bool awaitStoreCalls(const std::vector<std::size_t>& entries, const std::vector<int>& before) const
        {
            auto limit = deadlineAfter(returnLimit);
            return std::all_of(entries.begin(), entries.end(), [&](auto entry) {
                while (storeCalls()[entry] == before[entry] && !hasPassed(limit, steady_clock::now())) {
                    std::this_thread::sleep_for(milliseconds(1));
                }
                return storeCalls()[entry] > before[entry];
            });
        }

        // Cuts a daemon from the store, silently, or joins it again.
        void setCut(std::size_t entry, bool isCut)
        {
            auto& link = *std::next(m_links.begin(), static_cast<std::ptrdiff_t>(entry));
            link.cut(isCut ? std::vector<std::string> { storeCaller } : std::vector<std::string>(),
                link_cut::silent);
        }

        // Replaces the first upstreams: removes their registrations, though they go on serving, and adds
        // others.
        void replaceUpstreams()
        {
            for (int index = 0; index < leavingCount; ++index) {
                m_store.remove(
                    platform_adapter::upstreamKind, m_upstreams[static_cast<std::size_t>(index)]->id());
                m_removedAt = steady_clock::now();
                addUpstream();
            }
        }

        steady_clock::time_point removedAt() const { return m_removedAt; }

        // Moves the only route to the other one of two services.
        void moveRoute()
        {
            m_isMoved = !m_isMoved;
            putConfiguration(m_isMoved ? "t" : "s");
            m_movedAt = steady_clock::now();
        }

        steady_clock::time_point movedAt() const { return m_movedAt; }

        // Returns how many requests reached the service that the route led to before, later than the time
        // within which a change has to be in force.
        int lateToPreviousService() const
        {
            int late = 0;
            for (const auto& each : m_isMoved ? m_upstreams : m_others) {
                for (auto arrivedAt : each->arrivalTimes()) {
                    late += arrivedAt > m_movedAt + propagationTime ? 1 : 0;
                }
            }
            return late;
        }

        entry_process& entry(std::size_t number) { return *m_entries[number]; }

        // Calls some daemons, or all others. Returns how many calls were not served.
        int callSome(const std::vector<std::size_t>& entries, bool isOthers)
        {
            int failed = 0;
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                bool isListed = std::find(entries.begin(), entries.end(), entry) != entries.end();
                for (int number = 0; isListed != isOthers && number < callsPerEntry; ++number) {
                    failed += call(entry) == 200 ? 0 : 1;
                }
            }
            return failed;
        }

        // Returns how many requests reached the removed upstreams after their drain time.
        int lateArrivals() const
        {
            int late = 0;
            for (int index = 0; index < leavingCount; ++index) {
                for (auto each : m_upstreams[static_cast<std::size_t>(index)]->arrivalTimes()) {
                    late += each > m_removedAt + drainTime ? 1 : 0;
                }
            }
            return late;
        }

    private:
        // The daemons name no source address, so that the system chooses that of the proxies.
        static constexpr const char* storeCaller = "127.0.0.1";

        using upstreams = std::vector<std::unique_ptr<scripted_upstream>>;

        void putConfiguration(const std::string& service)
        {
            m_store.put(platform_adapter::configurationKind, platform_adapter::configurationName,
                platform_adapter::configurationObject(
                    ++m_version, "h.example", service, { { "repeat", "/repeat/", false, 4'000 } }));
        }

        void addUpstream() { addUpstreamTo(m_upstreams, "s"); }

        void addUpstreamTo(upstreams& known, const std::string& service)
        {
            known.push_back(std::make_unique<scripted_upstream>(
                (service == "s" ? "u" : service) + std::to_string(known.size()), platformFields()));
            m_store.put(platform_adapter::upstreamKind, known.back()->id(),
                platform_adapter::upstreamObject(service, known.back()->address(), "ready"));
        }

        int call(std::size_t entry)
        {
            try {
                raw_caller caller(m_entries[entry]->callerAddress(), platformFields());
                caller.sendRequest("GET", "/repeat/a", "r" + std::to_string(++m_requests));
                return caller.receive().status;
            } catch (const Poco::Exception&) {
                return 0;
            }
        }

        const std::filesystem::path m_folder;
        platform_adapter::fake_object_store m_store;
        std::list<partition_proxy> m_links; // One for each daemon.
        upstreams m_upstreams; // Of service "s".
        upstreams m_others; // Of service "t".
        std::vector<std::unique_ptr<entry_process>> m_entries;
        steady_clock::time_point m_removedAt {};
        steady_clock::time_point m_movedAt {};
        bool m_isMoved = false; // Whether the route leads to "t".
        int m_version = 0; // Of the configuration.
        int m_requests = 0;
    };

}

TEST_CASE("Upstreams that leave around a cut of VMs from the store get nothing after their drain time")
{
    // Guards against VMs that take the loss of their own way to the store for an outage of it, in which
    // registrations lapse, and therefore keep upstreams that have left.
    enum class leave_time { beforeReturn, atEndOfCut, afterReturn };
    struct row {
        const char* name;
        bool isOneCut; // Of the VMs that watch the store, else all of them.
        leave_time leaveTime;
    };
    const row rows[] = {
        { "all watchers, before they return", false, leave_time::beforeReturn },
        { "all watchers, at the end of the cut", false, leave_time::atEndOfCut },
        { "all watchers, after they have returned", false, leave_time::afterReturn },
        { "one watcher, after it has returned", true, leave_time::afterReturn },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        store_fleet fleet;
        REQUIRE(fleet.awaitServing());
        std::this_thread::sleep_for(electionTime);
        auto cut = fleet.watchers();
        REQUIRE(!cut.empty());
        REQUIRE(cut.size() <= entryCount / 2);
        cut.resize(each.isOneCut ? 1 : cut.size());
        for (auto entry : cut) {
            fleet.setCut(entry, true);
        }
        std::this_thread::sleep_for(cutTime);
        if (each.leaveTime == leave_time::beforeReturn) {
            fleet.replaceUpstreams();
            std::this_thread::sleep_for(settleTime / 6);
        }
        auto calls = fleet.storeCalls();
        for (auto entry : cut) {
            fleet.setCut(entry, false);
        }
        auto healedAt = steady_clock::now();
        if (each.leaveTime == leave_time::afterReturn) {
            CHECK(fleet.awaitStoreCalls(cut, calls));
            std::this_thread::sleep_for(responseTime);
        }
        if (each.leaveTime != leave_time::beforeReturn) {
            fleet.replaceUpstreams();
        }
        auto drainedAt = fleet.removedAt() + drainTime + milliseconds(1);
        std::this_thread::sleep_until(drainedAt);
        CHECK(fleet.callSome(cut, true) == 0);
        CHECK(fleet.lateArrivals() == 0);
        // The others are bound by their own knowledge once their links have been sound for a while.
        std::this_thread::sleep_until(std::max(drainedAt, healedAt + settleTime));
        CHECK(fleet.callSome(cut, false) == 0);
        CHECK(fleet.lateArrivals() == 0);
    }
}

TEST_CASE("Changes are in force in time, whichever watchers lose the store as they are made")
{
    // Guards against a loss of all watchers that is noticed by one time limit after another, so that routes
    // and upstreams which are gone stay in use longer than operators allow.
    enum class loss { cut, killed, stopped };
    struct row {
        const char* name;
        loss kind;
        int rounds; // At different moments of a watch; in the first upstreams leave, then routes move.
        bool isOneLost;
    };
    const row rows[] = {
        { "all watchers are cut off", loss::cut, 5, false },
        { "one watcher is cut off", loss::cut, 2, true },
        { "all watchers are killed", loss::killed, 2, false },
        { "all watchers are stopped", loss::stopped, 2, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        store_fleet fleet;
        REQUIRE(fleet.awaitServing());
        std::this_thread::sleep_for(electionTime);
        std::vector<std::size_t> away; // Daemons that have lost the store, or were killed earlier.
        for (int round = 0; round < each.rounds; ++round) {
            CAPTURE(round);
            if (each.kind != loss::killed) {
                away.clear();
            }
            auto lost = fleet.watchers();
            REQUIRE(!lost.empty());
            REQUIRE(lost.size() <= entryCount / 2);
            lost.resize(each.isOneLost ? 1 : lost.size());
            away.insert(away.end(), lost.begin(), lost.end());
            std::this_thread::sleep_for(momentStep * round);
            for (auto entry : lost) {
                if (each.kind == loss::cut) {
                    fleet.setCut(entry, true);
                } else {
                    fleet.entry(entry).signal(each.kind == loss::killed ? SIGKILL : SIGSTOP);
                }
            }
            std::this_thread::sleep_for(changeDelay);
            bool isRouteMoved = round > 0; // Else upstreams leave.
            if (isRouteMoved) {
                fleet.moveRoute();
            } else {
                fleet.replaceUpstreams();
            }
            auto limit = isRouteMoved ? fleet.movedAt() + propagationTime : fleet.removedAt() + drainTime;
            std::this_thread::sleep_until(limit + milliseconds(1));
            CHECK(fleet.callSome(away, true) == 0);
            CHECK((isRouteMoved ? fleet.lateToPreviousService() : fleet.lateArrivals()) == 0);
            for (auto entry : lost) {
                fleet.setCut(entry, false);
                if (each.kind == loss::stopped) {
                    fleet.entry(entry).signal(SIGCONT);
                }
            }
            if (round + 1 < each.rounds) {
                std::this_thread::sleep_for(recoveryTime);
            }
        }
    }
}

}
