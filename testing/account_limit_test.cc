// Tests of whole entry daemons with client accounts whose requests are limited over all VMs together. Guards
// against a limit that each VM applies for itself, refusals without a time, and limits that one VM alone, or
// VMs that stop, restart or pause, exceed.

#include "platform/decode.h"
#include "platform/platform_fields.h"
#include "platform/testing/fake_object_store.h"
#include "platform/testing/store_objects.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"
#include "testing/soak/entry_process.h"

#include <Poco/Exception.h>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    using platform_adapter::account_row;
    using platform_adapter::platformFields;
    using std::chrono::milliseconds;

    constexpr const char* service = "s";
    constexpr milliseconds startLimit { 10'000 };
    constexpr milliseconds lendingStart { 2'500 }; // After the start of a VM.
    constexpr int callTimeoutMs = 1'000;
    constexpr milliseconds window { 5'000 };

    // Returns a configuration in which the key of each account is "key-" and its name.
    nlohmann::json configurationWith(int version, const std::vector<account_row>& accounts)
    {
        auto object = platform_adapter::configurationObject(
            version, "h.example", service, { { "repeat", "/repeat/" } });
        platform_adapter::addAccounts(object, accounts);
        return object;
    }

    // What became of the requests of one account.
    struct account_calls {
        int sent = 0;
        int served = 0;
        int limited = 0; // 429.
        int limitedWithoutTime = 0;
        int refused = 0; // 503.
        int others = 0;
        milliseconds slowestLimited {};
    };

    class limited_fleet {
    public:
        limited_fleet(int entries, const std::vector<account_row>& accounts)
            : m_folder(std::filesystem::temp_directory_path()
                / ("marlsill-account-limit-" + std::to_string(::getpid()) + "-"
                    + std::to_string(steady_clock::now().time_since_epoch().count())))
        {
            std::filesystem::create_directories(m_folder);
            setAccounts(1, accounts);
            for (int index = 0; index < upstreamCount; ++index) {
                auto id = "u" + std::to_string(index);
                m_upstreams.push_back(std::make_unique<scripted_upstream>(id, platformFields()));
                m_upstreams.back()->setRunListener([this](const std::string& request) { noteRun(request); });
                m_store.put(platform_adapter::upstreamKind, id,
                    platform_adapter::upstreamObject(service, m_upstreams.back()->address(), "ready"));
            }
            for (auto& planned : planFleet(entries)) {
                planned.program = MARLSILL_ENTRY_PROGRAM;
                planned.folder = m_folder.string();
                planned.store = m_store.address();
                if (entries == 1) {
                    planned.seeds = planned.host + ":" + std::to_string(planned.peerPort);
                }
                m_entries.push_back(std::make_unique<entry_process>(planned));
            }
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                m_entries[entry]->start();
            }
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                REQUIRE(m_entries[entry]->isRunning());
                awaitServing(entry);
            }
            std::this_thread::sleep_for(lendingStart);
        }

        ~limited_fleet()
        {
            m_entries.clear();
            if (std::getenv("MARLSILL_KEEP_LOGS") != nullptr) {
                std::cout << "logs: " << m_folder.string() << '\n';
            } else {
                std::filesystem::remove_all(m_folder);
            }
        }

        void setAccounts(int version, const std::vector<account_row>& accounts)
        {
            m_store.put(platform_adapter::configurationKind, platform_adapter::configurationName,
                configurationWith(version, accounts));
        }

        // Waits until a VM answers a request of the account "probe", which has no limit.
        void awaitServing(std::size_t entry)
        {
            auto until = deadlineAfter(startLimit);
            while (call(entry, "probe") != 200) {
                bool isOver = hasPassed(until, steady_clock::now());
                if (isOver) {
                    reportNotServing(*m_entries[entry]);
                }
                REQUIRE(!isOver);
                std::this_thread::sleep_for(milliseconds(20));
            }
        }

        // Sends requests of an account to some VMs in turn, at a steady rate.
        void callSteadily(const std::string& account, const std::vector<std::size_t>& entries,
            double perSecond, milliseconds length)
        {
            constexpr std::size_t threads = 8;
            std::vector<std::jthread> callers;
            auto interval = std::chrono::duration_cast<steady_clock::duration>(
                std::chrono::duration<double>(static_cast<double>(threads) / perSecond));
            auto start = steady_clock::now();
            for (std::size_t thread = 0; thread < threads; ++thread) {
                callers.emplace_back([&, thread] {
                    auto next = start + interval * thread / threads;
                    for (std::size_t turn = thread; next < start + length; turn += threads + 1) {
                        std::this_thread::sleep_until(next);
                        next += interval;
                        call(entries[turn % entries.size()], account);
                    }
                });
            }
        }

        int call(std::size_t entry, const std::string& account)
        {
            raw_answer answer;
            auto id = account + "/" + std::to_string(++m_requests);
            auto sentAt = steady_clock::now();
            try {
                raw_caller caller(m_entries[entry]->callerAddress(), platformFields());
                caller.sendRequest("GET", "/repeat/" + id, id, callTimeoutMs, {},
                    "Authorization: Bearer key-" + account + "\r\n");
                answer = caller.receive();
            } catch (const Poco::Exception&) {
                answer.status = 0;
            }
            auto elapsed = std::chrono::duration_cast<milliseconds>(steady_clock::now() - sentAt);
            std::lock_guard lock(m_mutex);
            auto& calls = m_calls[account];
            ++calls.sent;
            calls.served += answer.status == 200 ? 1 : 0;
            calls.refused += answer.status == 503 ? 1 : 0;
            calls.others += answer.status != 200 && answer.status != 429 && answer.status != 503 ? 1 : 0;
            if (answer.status == 429) {
                ++calls.limited;
                calls.limitedWithoutTime
                    += answer.field("Retry-After").find('.') == std::string::npos ? 1 : 0;
                calls.slowestLimited = std::max(calls.slowestLimited, elapsed);
            }
            return answer.status;
        }

        account_calls callsOf(const std::string& account)
        {
            std::lock_guard lock(m_mutex);
            return m_calls[account];
        }

        // Returns the most requests of an account that ran in any window that begins at `from` or later.
        int mostInWindow(const std::string& account, steady_clock::time_point from = {})
        {
            std::lock_guard lock(m_mutex);
            const auto& runs = m_runs[account];
            int most = 0;
            auto first = std::lower_bound(runs.begin(), runs.end(), from);
            for (auto last = first; last != runs.end(); ++last) {
                while (*last - *first > window) {
                    ++first;
                }
                most = std::max(most, static_cast<int>(last - first) + 1);
            }
            return most;
        }

        int runsOf(const std::string& account, steady_clock::time_point from)
        {
            std::lock_guard lock(m_mutex);
            const auto& runs = m_runs[account];
            return static_cast<int>(runs.end() - std::lower_bound(runs.begin(), runs.end(), from));
        }

        entry_process& entry(std::size_t index) { return *m_entries[index]; }

    private:
        static constexpr int upstreamCount = 6;

        void noteRun(const std::string& request)
        {
            std::lock_guard lock(m_mutex);
            m_runs[request.substr(0, request.find('/'))].push_back(steady_clock::now());
        }

        const std::filesystem::path m_folder;
        platform_adapter::fake_object_store m_store;
        std::mutex m_mutex; // Guards m_calls and m_runs.
        std::map<std::string, account_calls> m_calls;
        std::map<std::string, std::vector<steady_clock::time_point>> m_runs;
        std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
        std::vector<std::unique_ptr<entry_process>> m_entries;
        std::atomic<int> m_requests = 0;
    };

    int allowedInWindow(const account_row& account)
    {
        auto seconds = std::chrono::duration<double>(window).count();
        return static_cast<int>((account.requestsPerSecond * seconds + account.burst) * 1.1 + 20);
    }

    void report(const std::string& name, const account_calls& calls, int most, int allowed)
    {
        MESSAGE(name << ": " << calls.sent << " sent, " << calls.served << " served, " << calls.limited
                     << " with 429 (slowest " << calls.slowestLimited.count() << " ms), " << calls.refused
                     << " with 503, " << calls.others << " others; at most " << most
                     << " in a window, allowed " << allowed);
    }

}

TEST_CASE("An account beyond its limit gets 429 with a time on all VMs, and others are served")
{
    struct row {
        const char* name;
        int entries;
        std::vector<std::size_t> used; // VMs that the callers of the large account use.
        account_row account;
        double perSecond;
    };
    const row rows[] = {
        { "one VM", 1, { 0 }, { "large", 20, 20 }, 80 },
        { "two of eight VMs", 8, { 0, 5 }, { "large", 20, 20 }, 140 },
        { "eight VMs", 8, { 0, 1, 2, 3, 4, 5, 6, 7 }, { "large", 20, 20 }, 140 },
        { "a small limit", 8, { 0, 1, 2, 3, 4, 5, 6, 7 }, { "large", 2, 2 }, 14 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        limited_fleet fleet(each.entries, { each.account, { "within", 20, 20 }, { "probe" } });
        std::vector<std::size_t> all;
        for (int entry = 0; entry < each.entries; ++entry) {
            all.push_back(static_cast<std::size_t>(entry));
        }
        auto startedAt = steady_clock::now();
        constexpr milliseconds length { 12'000 };
        std::jthread within([&] { fleet.callSteadily("within", all, 12, length); });
        fleet.callSteadily("large", each.used, each.perSecond, length);
        within.join();
        auto calls = fleet.callsOf("large");
        auto most = fleet.mostInWindow("large");
        report(each.name, calls, most, allowedInWindow(each.account));
        CHECK(most <= allowedInWindow(each.account));
        CHECK(calls.limited > calls.sent / 2);
        CHECK(calls.limitedWithoutTime == 0);
        CHECK(calls.others == 0);
        CHECK(calls.refused <= calls.sent / 50);
        auto expected = each.account.requestsPerSecond * std::chrono::duration<double>(length).count();
        CHECK(fleet.runsOf("large", startedAt) >= static_cast<int>(0.9 * expected));
        auto others = fleet.callsOf("within");
        report(std::string(each.name) + ", the account within its limit", others,
            fleet.mostInWindow("within"), allowedInWindow({ "within", 20, 20 }));
        CHECK(others.served >= others.sent * 98 / 100);
    }
}

TEST_CASE("The bound holds while VMs pause, are killed, stop and start, and the limit is used again")
{
    struct row {
        const char* name;
        int signal;
        int pauseMs; // 0: the VM is started again.
    };
    const row rows[] = {
        { "paused for 3 s", SIGSTOP, 3'000 },
        { "killed", SIGKILL, 0 },
        { "planned stop", SIGTERM, 0 },
    };
    const account_row account { "large", 30, 30 };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        limited_fleet fleet(4, { account, { "probe" } });
        std::jthread calls([&] { fleet.callSteadily("large", { 0, 1, 2, 3 }, 120, milliseconds(18'000)); });
        // Daemons end with the thread that started them.
        for (std::size_t entry = 0; entry < 4; ++entry) {
            std::this_thread::sleep_for(milliseconds(1'500));
            fleet.entry(entry).signal(each.signal);
            if (each.pauseMs > 0) {
                std::this_thread::sleep_for(milliseconds(each.pauseMs));
                fleet.entry(entry).signal(SIGCONT);
            } else {
                fleet.entry(entry).awaitEnd();
                fleet.entry(entry).start();
            }
        }
        calls.join();
        auto most = fleet.mostInWindow("large");
        report(each.name, fleet.callsOf("large"), most, allowedInWindow(account));
        CHECK(most <= allowedInWindow(account));
        std::this_thread::sleep_for(lendingStart);
        auto since = steady_clock::now();
        fleet.callSteadily("large", { 0, 1, 2, 3 }, 120, milliseconds(4'000));
        MESSAGE(std::string(each.name) << ": " << fleet.runsOf("large", since) << " of 120 later");
        CHECK(fleet.runsOf("large", since) >= 108);
    }
}

TEST_CASE("A lowered limit is binding once it is in force, and without a limit nothing is refused")
{
    const account_row lowered { "large", 5, 5 };
    limited_fleet fleet(4, { { "large", 60, 60 }, { "free" }, { "probe" } });
    fleet.callSteadily("large", { 0, 1, 2, 3 }, 100, milliseconds(3'000));
    fleet.setAccounts(2, { lowered, { "free" }, { "probe" } });
    auto inForceAt = steady_clock::now() + milliseconds(2'500);
    std::jthread free([&] { fleet.callSteadily("free", { 0, 1, 2, 3 }, 40, milliseconds(9'000)); });
    fleet.callSteadily("large", { 0, 1, 2, 3 }, 60, milliseconds(12'000));
    free.join();
    auto most = fleet.mostInWindow("large", inForceAt);
    report("lowered", fleet.callsOf("large"), most, allowedInWindow(lowered));
    CHECK(most <= allowedInWindow(lowered));
    CHECK(fleet.callsOf("free").served == fleet.callsOf("free").sent);
}

}
