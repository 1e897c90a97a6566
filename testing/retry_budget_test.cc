// Tests of whole entry daemons before upstreams that fail every request. What arrives at the upstreams is
// counted there, against the users' rule.

#include "marlsill/base/time.h"
#include "platform/decode.h"
#include "platform/platform_fields.h"
#include "platform/testing/fake_object_store.h"
#include "platform/testing/store_objects.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"
#include "testing/soak/entry_process.h"
#include "testing/soak/retry_budget_observer.h"

#include <Poco/Exception.h>
#include <atomic>
#include <doctest/doctest.h>
#include <filesystem>
#include <functional>
#include <thread>
#include <unistd.h>
#include <vector>

namespace marlsill::testing {

namespace {

    using platform_adapter::platformFields;
    using std::chrono::milliseconds;

    constexpr int entries = 24;
    constexpr int upstreams = 8;
    constexpr int callsPerSecond = 100;
    constexpr std::size_t callerThreads = 10;
    constexpr int callTimeoutMs = 1'000;
    constexpr std::size_t plannedSteps = 20'000; // More than requests arrive.
    constexpr milliseconds workTime { 10 };
    constexpr const char* service = "s";

    class failing_fleet {
    public:
        failing_fleet()
            : m_folder(std::filesystem::temp_directory_path()
                / ("marlsill-budget-" + std::to_string(::getpid()) + "-"
                    + std::to_string(steady_clock::now().time_since_epoch().count())))
        {
            std::filesystem::create_directories(m_folder);
            m_store.put(platform_adapter::configurationKind, platform_adapter::configurationName,
                platform_adapter::configurationObject(1, "h.example", service,
                    { { .name = "repeat", .pathPrefix = "/repeat/", .attempts = 4 } }));
            for (int index = 0; index < upstreams; ++index) {
                auto id = "u" + std::to_string(index);
                m_upstreams.push_back(std::make_unique<scripted_upstream>(id, platformFields()));
                auto& upstream = *m_upstreams.back();
                upstream.setWorkTime(workTime);
                upstream.plan(std::vector<upstream_step>(plannedSteps, upstream_step::error));
                upstream.setArrivalListener([this](const std::string& request) {
                    m_observer.noteArrival(request, steady_clock::now());
                });
                m_store.put(platform_adapter::upstreamKind, id,
                    platform_adapter::upstreamObject(service, upstream.address(), "ready"));
            }
            m_entries = startFleet(entries, MARLSILL_ENTRY_PROGRAM, m_folder.string(), m_store.address());
        }

        ~failing_fleet()
        {
            m_entries.clear();
            std::filesystem::remove_all(m_folder);
        }

        // Sends requests to the daemons in turn, and calls `disturb` now and then.
        void run(milliseconds length,
            const std::function<void(std::vector<std::unique_ptr<entry_process>>&, int turn)>& disturb)
        {
            std::vector<std::jthread> callers;
            auto interval = milliseconds(1'000) * callerThreads / callsPerSecond;
            for (std::size_t caller = 0; caller < callerThreads; ++caller) {
                callers.emplace_back([this, caller, interval](const std::stop_token& stop) {
                    auto next = steady_clock::now() + interval * caller / callerThreads;
                    for (std::size_t turn = caller; !stop.stop_requested(); turn += callerThreads + 1) {
                        std::this_thread::sleep_until(next);
                        next += interval;
                        call(turn % entries);
                    }
                });
            }
            constexpr milliseconds disturbInterval { 250 };
            for (int turn = 0; turn < length / disturbInterval; ++turn) {
                disturb(m_entries, turn);
                std::this_thread::sleep_for(disturbInterval);
            }
        }

        const retry_budget_observer& observer() const { return m_observer; }

    private:
        void call(std::size_t entry)
        {
            auto id = "r" + std::to_string(++m_requests);
            m_observer.noteRequest(steady_clock::now());
            try {
                raw_caller caller(m_entries[entry]->callerAddress(), platformFields());
                caller.sendRequest("GET", "/repeat/" + id, id, callTimeoutMs);
                caller.receive();
            } catch (const Poco::Exception&) {
                return; // The daemon is being restarted.
            }
        }

        const std::filesystem::path m_folder;
        platform_adapter::fake_object_store m_store;
        std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
        std::vector<std::unique_ptr<entry_process>> m_entries;
        std::atomic<int> m_requests = 0;
        retry_budget_observer m_observer { retryWindow, retryRatio };
    };

}

TEST_CASE("Repeats at the upstreams stay within the fleet's budget in every window")
{
    struct row {
        const char* name;
        std::function<void(std::vector<std::unique_ptr<entry_process>>&, int turn)> disturb;
        std::size_t leastRepeats; // The budget is of use.
    };
    auto restart = [](entry_process& entry) {
        entry.kill();
        entry.start();
    };
    const row rows[] = {
        { "calm", [](auto&, int) {}, 300 },
        { "one VM restarts every 250 ms",
            [&](auto& fleet, int turn) { restart(*fleet[static_cast<std::size_t>(turn) % entries]); }, 0 },
        { "all VMs restart every 6 s",
            [&](auto& fleet, int turn) {
                for (std::size_t entry = 0; turn % 24 == 23 && entry < entries; ++entry) {
                    restart(*fleet[entry]);
                }
            },
            0 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        failing_fleet fleet;
        fleet.run(milliseconds(26'000), each.disturb);
        auto beyond = fleet.observer().mostBeyondRatio();
        MESSAGE(std::string(each.name) << ": " << beyond << " beyond the ratio in 10 s, " << retrySlack
                                       << " allowed; " << fleet.observer().repeats() << " repeats in all");
        CHECK(beyond <= retrySlack);
        CHECK(fleet.observer().repeats() >= each.leastRepeats);
    }
}

}
