// Tests of whole entry daemons some of which lose their links to all upstreams, while callers, the store and
// the other daemons reach them.

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
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    using platform_adapter::platformFields;
    using std::chrono::milliseconds;
    using time_point = std::chrono::steady_clock::time_point;

    constexpr int entryCount = 9; // Three failure domains of three.
    constexpr int upstreamCount = 8;
    constexpr std::size_t callerThreads = 48;
    constexpr milliseconds callInterval { 960 }; // Of one thread; 50 calls a second in all.
    constexpr milliseconds workTime { 60 };
    constexpr int callTimeoutMs = 4'000;
    constexpr milliseconds startLimit { 15'000 };
    constexpr milliseconds settleTime { 3'000 }; // The users' `stableWindowMs`.
    constexpr milliseconds cutTime { 8'000 };
    constexpr double minShareOfOthers = 2.0 / 3; // Of the users' rule.
    constexpr int allowedFailures = 10; // Of the users' rule, and one in `requestsPerFailure`.
    constexpr int requestsPerFailure = 50;

    struct call_record {
        std::string id;
        std::size_t entry = 0;
        bool isAtMostOnce = false;
        time_point sentAt;
        int status = 0;
    };

    struct tally {
        int sent = 0;
        int served = 0;
    };

    class cut_off_fleet {
    public:
        cut_off_fleet()
            : m_folder(std::filesystem::temp_directory_path()
                / ("marlsill-cut-off-" + std::to_string(::getpid()) + "-"
                    + std::to_string(std::chrono::steady_clock::now().time_since_epoch().count())))
        {
            std::filesystem::create_directories(m_folder);
            m_store.put(platform_adapter::configurationKind, platform_adapter::configurationName,
                platform_adapter::configurationObject(1, "h.example", "s",
                    { { "once", "/once/", true, callTimeoutMs },
                        { "repeat", "/repeat/", false, callTimeoutMs } }));
            for (int index = 0; index < upstreamCount; ++index) {
                auto id = "u" + std::to_string(index);
                m_upstreams.push_back(std::make_unique<scripted_upstream>(id, platformFields()));
                m_upstreams.back()->setWorkTime(workTime);
                m_store.put(platform_adapter::upstreamKind, id,
                    platform_adapter::upstreamObject(
                        "s", m_proxy.add(m_upstreams.back()->address()), "ready"));
            }
            m_entries = startFleet(entryCount, MARLSILL_ENTRY_PROGRAM, m_folder.string(), m_store.address());
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                awaitServing(entry);
            }
        }

        ~cut_off_fleet()
        {
            m_callers.clear();
            m_entries.clear();
            if (std::getenv("MARLSILL_KEEP_LOGS") != nullptr) {
                std::cout << "logs: " << m_folder.string() << '\n';
            } else {
                std::filesystem::remove_all(m_folder);
            }
        }

        std::string hostOf(std::size_t entry) const
        {
            auto address = m_entries[entry]->callerAddress();
            return address.substr(0, address.rfind(':'));
        }

        void cut(const std::vector<std::size_t>& entries, link_cut kind)
        {
            std::vector<std::string> hosts;
            for (auto each : entries) {
                hosts.push_back(hostOf(each));
            }
            m_proxy.cut(std::move(hosts), kind);
        }

        void startCallers()
        {
            for (std::size_t caller = 0; caller < callerThreads; ++caller) {
                m_callers.emplace_back([this, caller](const std::stop_token& stop) {
                    auto next = std::chrono::steady_clock::now() + callInterval * caller / callerThreads;
                    for (std::size_t turn = caller; !stop.stop_requested(); ++turn) {
                        std::this_thread::sleep_until(next);
                        next += callInterval;
                        call(turn % m_entries.size(), turn % 2 == 0);
                    }
                });
            }
        }

        void stopCallers() { m_callers.clear(); }

        // Counts the calls to some daemons, or to all others, that were sent within a time.
        tally callsTo(
            const std::vector<std::size_t>& entries, bool isOthers, time_point from, time_point to) const
        {
            std::lock_guard lock(m_mutex);
            tally found;
            for (const auto& each : m_calls) {
                bool isListed = std::find(entries.begin(), entries.end(), each.entry) != entries.end();
                if (isListed != isOthers && each.sentAt >= from && each.sentAt < to) {
                    ++found.sent;
                    found.served += each.status == 200 ? 1 : 0;
                }
            }
            return found;
        }

        // Returns the at-most-once requests that ran twice, or ran although they were refused.
        std::vector<std::string> brokenPromises() const
        {
            std::lock_guard lock(m_mutex);
            std::vector<std::string> broken;
            for (const auto& each : m_calls) {
                int runs = 0;
                for (const auto& upstream : m_upstreams) {
                    runs += upstream->runsOf(each.id);
                }
                bool isRefused = each.status == 503 || each.status == 429 || each.status == 421;
                if (each.isAtMostOnce && runs > (isRefused ? 0 : 1)) {
                    broken.push_back(each.id);
                }
            }
            return broken;
        }

        // Returns how many upstreams the daemons believe to have crashed.
        int suspectedCrashes() const
        {
            int lines = 0;
            for (const auto& each : std::filesystem::directory_iterator(m_folder)) {
                std::ifstream log(each.path());
                for (std::string line; std::getline(log, line);) {
                    lines += line.find("upstream_crashed") != std::string::npos ? 1 : 0;
                }
            }
            return lines;
        }

        int piecesFrom(std::size_t entry) const { return m_proxy.piecesFrom(hostOf(entry)); }
        void heal() { m_proxy.heal(); }

    private:
        int call(std::size_t entry, bool isAtMostOnce)
        {
            call_record record { .id = "r" + std::to_string(++m_requests),
                .entry = entry,
                .isAtMostOnce = isAtMostOnce,
                .sentAt = std::chrono::steady_clock::now() };
            try {
                raw_caller caller(m_entries[entry]->callerAddress(), platformFields());
                auto path = (isAtMostOnce ? "/once/" : "/repeat/") + record.id;
                caller.sendRequest(isAtMostOnce ? "POST" : "GET", path, record.id, callTimeoutMs,
                    isAtMostOnce ? "body" : "");
                record.status = caller.receive().status;
            } catch (const Poco::Exception&) {
                record.status = 0;
            }
            std::lock_guard lock(m_mutex);
            m_calls.push_back(record);
            return record.status;
        }

        void awaitServing(std::size_t entry)
        {
            auto until = std::chrono::steady_clock::now() + startLimit;
            while (call(entry, false) != 200) {
                bool isOver = std::chrono::steady_clock::now() >= until;
                if (isOver) {
                    reportNotServing(*m_entries[entry]);
                }
                REQUIRE(!isOver);
                std::this_thread::sleep_for(milliseconds(20));
            }
        }

        const std::filesystem::path m_folder;
        platform_adapter::fake_object_store m_store;
        partition_proxy m_proxy;
        std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
        std::vector<std::unique_ptr<entry_process>> m_entries;
        std::atomic<int> m_requests = 0;
        mutable std::mutex m_mutex; // Guards m_calls.
        std::vector<call_record> m_calls;
        std::vector<std::jthread> m_callers;
    };

}

TEST_CASE("Callers of VMs that are cut off from all upstreams are served nearly as often as others")
{
    struct row {
        const char* name;
        link_cut kind;
        std::vector<std::size_t> cutOff; // Daemons 0, 3 and 6 are one failure domain.
    };
    const row rows[] = {
        { "one VM, silent", link_cut::silent, { 4 } },
        { "most VMs, silent", link_cut::silent, { 0, 3, 6, 1, 4 } },
        { "a failure domain, reset", link_cut::reset, { 0, 3, 6 } },
        { "a failure domain, old connections live on", link_cut::newReset, { 0, 3, 6 } },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        cut_off_fleet fleet;
        fleet.startCallers();
        std::this_thread::sleep_for(milliseconds(2'000));
        auto cutAt = std::chrono::steady_clock::now();
        fleet.cut(each.cutOff, each.kind);
        std::this_thread::sleep_for(cutTime);
        fleet.heal();
        auto healedAt = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(milliseconds(1'500));
        std::map<std::size_t, int> piecesBefore;
        for (auto entry : each.cutOff) {
            piecesBefore[entry] = fleet.piecesFrom(entry);
        }
        std::this_thread::sleep_for(milliseconds(2'500));
        for (auto entry : each.cutOff) {
            CHECK(fleet.piecesFrom(entry) > piecesBefore[entry]); // Serves by itself again.
        }
        fleet.stopCallers();
        auto at = fleet.callsTo(each.cutOff, false, cutAt + settleTime, healedAt);
        auto others = fleet.callsTo(each.cutOff, true, cutAt + settleTime, healedAt);
        auto after = fleet.callsTo(each.cutOff, false, healedAt + settleTime, time_point::max());
        MESSAGE(std::string(each.name)
            << ": cut-off VMs served " << at.served << " of " << at.sent << ", the others " << others.served
            << " of " << others.sent << "; afterwards " << after.served << " of " << after.sent);
        auto share
            = [](const tally& calls) { return static_cast<double>(calls.served) / std::max(1, calls.sent); };
        auto allowed = allowedFailures + (at.sent + others.sent) / requestsPerFailure;
        CHECK((share(at) >= minShareOfOthers * share(others) || at.sent - at.served <= allowed));
        CHECK(share(others) >= 0.95);
        CHECK(after.sent == after.served);
        CHECK(fleet.brokenPromises().empty());
        // An upstream that resets and refuses looks as if it had crashed.
        CHECK((each.kind != link_cut::silent || fleet.suspectedCrashes() == 0));
    }
}

}
