#pragma once

// A fleet of entry daemons, as processes, before upstreams that crash under marked requests and come back.
//
//     crash_fleet fleet(16, 24);
//     fleet.call(0, "POST", crashPath);
//     fleet.tick({ restart_kind::newId, std::chrono::milliseconds(2'000) }); // Every few milliseconds.
//     auto crashes = fleet.crashes();

#include "marlsill/base/time.h"
#include "platform/testing/fake_object_store.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"
#include "testing/soak/entry_process.h"

#include <atomic>
#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace marlsill::testing {

constexpr const char* crashMark = "/crash"; // In the path, body or account of a crashing request.
constexpr const char* crashPath = "/once/crash"; // Crashes the upstream; at most once.
constexpr const char* repeatableCrashPath = "/repeat/crash"; // The same; may be repeated.
constexpr const char* soundPath = "/repeat/listing";

constexpr std::size_t crashesBeforeBound = 3; // The users' bound counts from the third crash.
constexpr std::chrono::milliseconds settleTime { 3'000 }; // The users' `stableWindowMs`.
constexpr int maxLateRuns = 3; // Runs later than `settleTime` after the third crash.
constexpr int maxRuns = 6; // Where callers send one copy at a time.

// What a crashed upstream comes back as.
enum class restart_kind {
    newId,
    sameId, // With a later start time.
    never,
};

// When and how crashed upstreams come back.
struct restart_policy {
    restart_kind kind = restart_kind::newId;
    std::chrono::milliseconds delay {};
};

// A request to a fleet.
struct fleet_request {
    std::string method = "POST";
    std::string path;
    std::string body = "body"; // Of a POST.
    std::string account; // Client account; empty: the request names none.
    std::string from; // Local IP address; empty: any.
};

class crash_fleet {
public:
    // Starts the daemons; awaitServing() waits for one. Sound requests take `workTime`.
    crash_fleet(
        int entries, int upstreams, std::chrono::milliseconds workTime = std::chrono::milliseconds(20));
    ~crash_fleet();

    // Sends a request to a daemon on a connection of its own, from another address than the request before.
    // Status 0: no answer.
    raw_answer call(std::size_t entry, const std::string& method, const std::string& path);

    // The same from the address that the request names.
    raw_answer call(std::size_t entry, const fleet_request& request);

    // Waits until a daemon serves. Returns false after a long time.
    bool awaitServing(std::size_t entry);

    // Restarts the upstreams whose time has come.
    void tick(const restart_policy& policy);

    // Calls tick() for a while.
    void tickFor(const restart_policy& policy, std::chrono::milliseconds length);

    // Returns when crashing requests have begun to run, in order.
    std::vector<steady_clock::time_point> crashes() const;

    // Returns how many of the crashes came later than the users' bound.
    std::ptrdiff_t lateCrashes() const;

    std::size_t entries() const { return m_entries.size(); }
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

    void startUpstream(upstream_slot& slot, bool hasNewId);

    const std::filesystem::path m_folder;
    const std::chrono::milliseconds m_workTime;
    platform_adapter::fake_object_store m_store;
    std::vector<upstream_slot> m_upstreams;
    std::vector<std::unique_ptr<entry_process>> m_entries;
    std::atomic<int> m_requests = 0;
    mutable std::mutex m_mutex; // Guards m_crashes.
    std::vector<steady_clock::time_point> m_crashes;
};

// Sends sound requests to the daemons in turn until it is stopped.
class sound_caller {
public:
    // Each caller sends one of the requests, over and over.
    sound_caller(crash_fleet& fleet, int callers,
        std::vector<fleet_request> requests = { { .method = "GET", .path = soundPath } });

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

}
