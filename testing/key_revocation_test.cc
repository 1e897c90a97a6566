// Tests of whole entry daemons that must refuse a withdrawn key in time although they cannot learn of the
// withdrawal: cut off from the store and from peers, stopped for seconds, or restarted while the store is
// away.

#include "platform/decode.h"
#include "platform/platform_fields.h"
#include "platform/testing/fake_object_store.h"
#include "platform/testing/store_objects.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"
#include "testing/soak/entry_process.h"
#include "testing/soak/loopback_proxy.h"

#include <Poco/Exception.h>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <functional>
#include <iostream>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    using platform_adapter::platformFields;
    using std::chrono::milliseconds;

    constexpr milliseconds bound { 5'000 };
    constexpr milliseconds startLimit { 15'000 };
    constexpr milliseconds applyLimit { 2'500 }; // Of a configuration on VMs that reach the store.
    constexpr milliseconds recoveryLimit { 4'000 };
    constexpr const char* withdrawnKey = "key-of-first-account";
    constexpr const char* goodKey = "key-of-second-account";
    constexpr int fleetSize = 6; // Three failure domains of two.

    struct key_call {
        std::string id;
        std::string key;
        std::size_t entry = 0;
        steady_clock::time_point sentAt;
        int status = 0;
        bool hasRetryAfter = false;
    };

    // A fleet of daemons, the last of which knows no other: it reaches the store alone. Each has a link of
    // its own to the store.
    class key_fleet {
    public:
        key_fleet()
            : m_folder(std::filesystem::temp_directory_path()
                / ("marlsill-keys-" + std::to_string(::getpid()) + "-"
                    + std::to_string(steady_clock::now().time_since_epoch().count())))
        {
            std::filesystem::create_directories(m_folder);
            putConfiguration(1, { withdrawnKey });
            for (const auto* id : { "u0", "u1", "u2" }) {
                m_upstreams.push_back(std::make_unique<scripted_upstream>(id, platformFields()));
                m_store.put(platform_adapter::upstreamKind, id,
                    platform_adapter::upstreamObject("s", m_upstreams.back()->address(), "ready"));
            }
            auto plans = planFleet(fleetSize);
            plans.push_back(planFleet(1).front());
            plans.back().name = "alone";
            for (auto& each : plans) {
                m_storeLinks.push_back(std::make_unique<loopback_proxy>(m_store.address()));
                each.program = MARLSILL_ENTRY_PROGRAM;
                each.folder = m_folder.string();
                each.store = m_storeLinks.back()->address();
                each.extraSettings = "key-revocation-ms = " + std::to_string(bound.count()) + "\n";
                m_entries.push_back(std::make_unique<entry_process>(each));
                REQUIRE(m_entries.back()->start());
            }
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                REQUIRE(awaitStatus(entry, withdrawnKey, 200, startLimit));
                REQUIRE(awaitStatus(entry, goodKey, 200, startLimit));
            }
        }

        ~key_fleet()
        {
            m_callers.clear();
            m_entries.clear();
            if (std::getenv("MARLSILL_KEEP_LOGS") != nullptr) {
                std::cout << "logs: " << m_folder.string() << '\n';
            } else {
                std::filesystem::remove_all(m_folder);
            }
        }

        static constexpr std::size_t alone = fleetSize; // The daemon without peers.

        platform_adapter::fake_object_store& store() { return m_store; }
        loopback_proxy& storeLink(std::size_t entry) { return *m_storeLinks[entry]; }
        entry_process& entry(std::size_t index) { return *m_entries[index]; }

        // Withdraws `withdrawnKey`, as the account gets another one.
        void withdraw()
        {
            putConfiguration(2, { "another-key" });
            m_withdrawnAt = steady_clock::now();
        }

        steady_clock::time_point withdrawnAt() const { return m_withdrawnAt.load(); }

        // Sends a request with a key, or to a public route without one.
        key_call call(std::size_t entry, const std::string& key)
        {
            return call(entry, key, [](raw_caller&) {});
        }

        // The same, with something done between the connection and the request.
        key_call call(
            std::size_t entry, const std::string& key, const std::function<void(raw_caller&)>& beforeSending)
        {
            key_call made { .id = "r" + std::to_string(++m_requests), .key = key, .entry = entry };
            try {
                raw_caller caller(m_entries[entry]->callerAddress(), platformFields());
                beforeSending(caller);
                made.sentAt = steady_clock::now();
                auto path = (key.empty() ? "/open/" : "/repeat/") + made.id;
                caller.sendRequest("GET", path, made.id, 2'000, "",
                    key.empty() ? "" : "Authorization: Bearer " + key + "\r\n");
                auto answer = caller.receive();
                made.status = answer.status;
                made.hasRetryAfter = !answer.field("Retry-After").empty();
            } catch (const Poco::Exception&) {
                made.status = 0;
            }
            std::lock_guard lock(m_mutex);
            m_calls.push_back(made);
            return made;
        }

        bool awaitStatus(std::size_t entry, const std::string& key, int status, milliseconds limit)
        {
            auto until = deadlineAfter(limit);
            while (!hasPassed(until, steady_clock::now())) {
                if (call(entry, key).status == status) {
                    return true;
                }
                std::this_thread::sleep_for(milliseconds(20));
            }
            reportNotServing(*m_entries[entry]);
            return false;
        }

        // Calls daemons with both keys and without, until stopCallers().
        void startCallers(const std::vector<std::size_t>& entries)
        {
            for (auto entry : entries) {
                m_callers.emplace_back([this, entry](const std::stop_token& stop) {
                    while (!stop.stop_requested()) {
                        for (const auto* key : { withdrawnKey, goodKey, "" }) {
                            call(entry, key);
                        }
                        std::this_thread::sleep_for(milliseconds(40));
                    }
                });
            }
        }

        void stopCallers() { m_callers.clear(); }

        std::vector<key_call> calls() const
        {
            std::lock_guard lock(m_mutex);
            return m_calls;
        }

        bool hasRun(const key_call& made) const
        {
            int runs = 0;
            for (const auto& each : m_upstreams) {
                runs += each->runsOf(made.id);
            }
            return runs > 0;
        }

        // Counts the requests with the withdrawn key that were sent after the bound, and those that ran.
        std::pair<int, int> lateRequests() const
        {
            int sent = 0;
            int ran = 0;
            for (const auto& each : calls()) {
                bool isLate = each.key == withdrawnKey && each.sentAt > withdrawnAt() + bound;
                sent += isLate ? 1 : 0;
                ran += isLate && hasRun(each) ? 1 : 0;
            }
            return { sent, ran };
        }

        // Counts the calls of a kind by their status.
        int count(const std::function<bool(const key_call&)>& isCounted) const
        {
            auto all = calls();
            return static_cast<int>(std::count_if(all.begin(), all.end(), isCounted));
        }

    private:
        void putConfiguration(int version, const std::vector<std::string>& keysOfFirst)
        {
            using nlohmann::json;
            auto content = platform_adapter::configurationObject(
                version, "h.example", "s", { { "repeat", "/repeat/" }, { "open", "/open/" } });
            content["routes"]["columns"].push_back("public");
            content["routes"]["rows"][0].push_back(false);
            content["routes"]["rows"][1].push_back(true);
            content["tenants"] = { { "columns", { "name", "apiKeys", "priority", "ratePerS", "burst" } },
                { "rows",
                    json::array({ json::array({ "first", keysOfFirst, nullptr, nullptr, nullptr }),
                        json::array({ "second", json::array({ goodKey }), nullptr, nullptr, nullptr }) }) } };
            m_store.put(platform_adapter::configurationKind, platform_adapter::configurationName, content);
        }

        const std::filesystem::path m_folder;
        platform_adapter::fake_object_store m_store;
        std::vector<std::unique_ptr<loopback_proxy>> m_storeLinks;
        std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
        std::vector<std::unique_ptr<entry_process>> m_entries;
        std::atomic<int> m_requests = 0;
        std::atomic<steady_clock::time_point> m_withdrawnAt { steady_clock::time_point::max() };
        mutable std::mutex m_mutex; // Guards m_calls.
        std::vector<key_call> m_calls;
        std::vector<std::jthread> m_callers;
    };

    void checkNoLateRun(const key_fleet& fleet)
    {
        auto [sent, ran] = fleet.lateRequests();
        MESSAGE(sent << " requests with the withdrawn key after the bound, of which " << ran << " ran");
        CHECK(sent > 0);
        CHECK(ran == 0);
    }

}

TEST_CASE("A VM that is cut off from the store and from its peers stops to serve keys before the bound")
{
    key_fleet fleet;
    fleet.storeLink(key_fleet::alone).setTrouble(link_trouble::silent);
    fleet.withdraw();
    fleet.startCallers({ 0, 3, key_fleet::alone });
    std::this_thread::sleep_for(bound + milliseconds(3'000));
    fleet.stopCallers();
    checkNoLateRun(fleet);
    auto afterBound = fleet.withdrawnAt() + bound;
    auto countAlone = [&](const std::string& key, int status) {
        return fleet.count([&](const auto& each) {
            return each.entry == key_fleet::alone && each.key == key && each.status == status
                && each.sentAt > afterBound;
        });
    };
    CHECK(countAlone(goodKey, 503) > 0);
    CHECK(countAlone(goodKey, 200) == 0);
    CHECK(countAlone("", 200) > 0);
    CHECK(countAlone("", 503) == 0); // Public routes are served all the time.
    CHECK(fleet.count([](const auto& each) { return each.status == 503 && !each.hasRetryAfter; }) == 0);
    // Guards against refusals where the store is reached, and against a withdrawal that takes effect late.
    CHECK(fleet.count([&](const auto& each) {
        return each.entry != key_fleet::alone && each.key == goodKey && each.status != 200
            && each.sentAt > fleet.withdrawnAt();
    }) == 0);
    CHECK(fleet.count([&](const auto& each) {
        return each.entry != key_fleet::alone && each.key == withdrawnKey && each.status != 401
            && each.sentAt > fleet.withdrawnAt() + applyLimit;
    }) == 0);
    fleet.storeLink(key_fleet::alone).setTrouble(link_trouble::none);
    CHECK(fleet.awaitStatus(key_fleet::alone, goodKey, 200, recoveryLimit));
    CHECK(fleet.call(key_fleet::alone, withdrawnKey).status == 401);
}

TEST_CASE("VMs that the store does not serve know of withdrawals by their peers, and refuse nothing else")
{
    struct row {
        const char* name;
        std::vector<std::size_t> cut; // Daemons 0 and 3 are one failure domain.
        link_trouble trouble;
    };
    const row rows[] = { { "one VM, silent", { 4 }, link_trouble::silent },
        { "a failure domain, reset", { 0, 3 }, link_trouble::reset } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        key_fleet fleet;
        for (auto entry : each.cut) {
            fleet.storeLink(entry).setTrouble(each.trouble);
        }
        auto cutAt = steady_clock::now();
        fleet.startCallers(each.cut);
        std::this_thread::sleep_for(bound + milliseconds(3'000)); // Without peers, keys would expire.
        fleet.withdraw();
        std::this_thread::sleep_for(bound + milliseconds(1'000));
        fleet.stopCallers();
        checkNoLateRun(fleet);
        CHECK(fleet.count([&](const auto& call) {
            return call.key == goodKey && call.status != 200 && call.sentAt > cutAt;
        }) == 0);
        CHECK(fleet.count([&](const auto& call) {
            return call.key == withdrawnKey && call.status != 401
                && call.sentAt > fleet.withdrawnAt() + applyLimit;
        }) == 0);
    }
}

TEST_CASE("A VM that is stopped for 8 s serves no withdrawn key that waits in its sockets")
{
    struct row {
        const char* name;
        std::size_t entry;
        bool isStoreCut; // From the stop until the requests have been answered.
    };
    // With the store cut off and no peers, nothing but the boot clock tells that the key may be withdrawn.
    const row rows[] = { { "with peers", 2, false }, { "alone", key_fleet::alone, false },
        { "alone, and cut off from the store", key_fleet::alone, true } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        key_fleet fleet;
        std::vector<std::jthread> waiting;
        std::vector<key_call> made(8);
        for (std::size_t index = 0; index < made.size(); ++index) {
            // Half of the connections have been in use before, the others wait to be accepted.
            waiting.emplace_back([&, index] {
                if (index % 2 == 1) {
                    std::this_thread::sleep_for(milliseconds(1'000));
                }
                made[index] = fleet.call(each.entry, withdrawnKey, [&](raw_caller& caller) {
                    if (index % 2 == 0) {
                        caller.sendRequest("GET", "/open/warm" + std::to_string(index),
                            "warm" + std::to_string(index), 2'000);
                        CHECK(caller.receive().status == 200);
                    }
                    while (steady_clock::now() < fleet.withdrawnAt()
                        || steady_clock::now() < fleet.withdrawnAt() + bound + milliseconds(500)) {
                        std::this_thread::sleep_for(milliseconds(10));
                    }
                });
            });
        }
        std::this_thread::sleep_for(milliseconds(500));
        fleet.entry(each.entry).signal(SIGSTOP);
        auto stoppedAt = steady_clock::now();
        fleet.storeLink(each.entry).setTrouble(each.isStoreCut ? link_trouble::silent : link_trouble::none);
        fleet.withdraw();
        std::this_thread::sleep_until(stoppedAt + milliseconds(8'000));
        fleet.entry(each.entry).signal(SIGCONT);
        waiting.clear();
        for (const auto& call : made) {
            CAPTURE(call.id);
            CHECK((call.status == 503 || call.status == 401));
        }
        checkNoLateRun(fleet);
        fleet.storeLink(each.entry).setTrouble(link_trouble::none);
        CHECK(fleet.awaitStatus(each.entry, goodKey, 200, recoveryLimit));
        CHECK(fleet.call(each.entry, withdrawnKey).status == 401);
    }
}

TEST_CASE("A VM that restarts while the store is away does not bring a withdrawn key back")
{
    key_fleet fleet;
    // Ends also watches that the store holds, which would bring the withdrawal.
    fleet.store().setFault(platform_adapter::store_fault::reset);
    std::this_thread::sleep_for(milliseconds(200));
    fleet.withdraw();
    fleet.startCallers({ 0, 1, 4 });
    // While keys of the others are valid, and again when they have expired everywhere.
    for (auto at : { milliseconds(1'000), milliseconds(6'500) }) {
        std::this_thread::sleep_until(fleet.withdrawnAt() + at);
        fleet.entry(4).kill();
        REQUIRE(fleet.entry(4).start());
    }
    // The restarted VM has the configuration of its peers, so that it serves what needs no key.
    CHECK(fleet.awaitStatus(4, "", 200, startLimit));
    CHECK(fleet.awaitStatus(4, goodKey, 503, recoveryLimit));
    std::this_thread::sleep_until(fleet.withdrawnAt() + milliseconds(11'000));
    fleet.stopCallers();
    checkNoLateRun(fleet);
    fleet.store().setFault(platform_adapter::store_fault::none);
    for (std::size_t entry : { 0, 1, 4 }) {
        CHECK(fleet.awaitStatus(entry, goodKey, 200, recoveryLimit));
        CHECK(fleet.call(entry, withdrawnKey).status == 401);
    }
}

}
