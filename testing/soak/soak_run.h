#pragma once

// Plays random faults on a small fleet of entry daemons and checks the promises to callers and upstreams.
//
//     soak_run soak({ .seed = 7, .program = "build/platform/marlsill-platform-entry", .folder = "/tmp/soak-7"
//     }); auto report = soak.run(); if (!report.broken.empty())
//         ...
//
// The daemons are processes; the store, the upstreams and the links are stand-ins of this process.

#include "platform/testing/fake_object_store.h"
#include "testing/scripted_upstream.h"
#include "testing/soak/entry_process.h"
#include "testing/soak/leaving_observer.h"
#include "testing/soak/loopback_proxy.h"
#include "testing/soak/promise_checker.h"
#include "testing/soak/retry_budget_observer.h"
#include "testing/soak/upgrade_plan.h"

#include <atomic>
#include <memory>
#include <random>
#include <set>
#include <thread>
#include <vector>

namespace marlsill::testing {

struct soak_options {
    std::uint64_t seed = 1;
    std::chrono::milliseconds length { 20'000 };
    int entries = 5;
    int upstreams = 6;
    int callers = 8;
    std::string program;
    std::string earlierProgram; // Of an earlier build, which the fleet is upgraded from; empty: no upgrade.
    std::string folder;
};

struct soak_report {
    std::vector<std::string> broken; // Promises, in words.
    int sent = 0;
    int served = 0;
    int refused = 0;
    int faults = 0;
    int drainsChecked = 0;
    int limitsChecked = 0;
    int leavingsChecked = 0; // Notices of upstreams that leave, one for each process that passed them on.
    int turnAwaysChecked = 0;
    int upgrades = 0; // Starts of another build, rollbacks included.
    int repeats = 0; // Arrivals of requests at upstreams beyond the first.
};

class soak_run {
public:
    explicit soak_run(soak_options options);
    ~soak_run();

    soak_report run();

private:
    struct upstream_place {
        std::unique_ptr<scripted_upstream> upstream;
        std::unique_ptr<loopback_proxy> link;
        steady_clock::time_point troubleUntil {};
        deadline failsUntil {}; // Set while it fails all requests.
        deadline turnsAwayUntil {}; // Set while it turns all requests away.
        steady_clock::time_point drainBound {}; // In the future while it drains.
        bool isDraining = false;
        bool isLeaving = false; // Says in its answers that it leaves, whatever the store says.
        deadline leavingUntil {};
        std::int64_t startedUnixMs = 0;
        bool isDrainChecked = false;
        double limit = 0; // That it names, in requests per second; 0: none.
        deadline limitUntil {};
        steady_clock::time_point limitCheckedFrom {}; // VMs that were away before are excused.
    };

    struct entry_place {
        std::unique_ptr<entry_process> process;
        std::unique_ptr<loopback_proxy> storeLink;
        steady_clock::time_point linkTroubleUntil {};
        steady_clock::time_point pausedUntil {};
        bool isPaused = false;
        std::mutex mutex; // Guards the process's life against callers that ask for its name.
    };

    void startFleet();
    bool awaitServing(entry_place& entry, std::chrono::milliseconds limit);
    void callerLoop(int number);
    void callOn(std::size_t entry, std::mt19937_64& random, const std::string& prefix, int& count);
    std::string lifeOf(std::size_t entry);
    void publishConfiguration();
    void writeConfiguration(int version);
    void publishUpstream(const upstream_place& place, const std::string& state);
    void faultLoop();
    void playFault();
    void killEntry(entry_place& entry);
    void stopEntry(entry_place& entry);
    void upgradeEntries();
    void pauseEntry(entry_place& entry);
    void cutStoreLink(entry_place& entry);
    void troubleStore();
    void restoreStore();
    void troubleUpstream(upstream_place& place);
    void troubleUpstreamLink(upstream_place& place);
    void drainUpstream(upstream_place& place);
    bool mayLeave(const upstream_place& place) const;
    void replaceUpstream(upstream_place& place);
    void sayLeaving();
    void endLeavings();
    void nameLimit();
    void failUpstreams();
    void answerWithoutEnd();
    void turnRequestsAway();
    void noteTurnedAway(
        const std::string& request, const std::string& upstream, const std::string& retryAfter);
    void endLimits();
    void delayLimitChecks(steady_clock::time_point troubleUntil);
    void endTroubles(bool isAll);
    void spoilDrains();
    bool isKnowledgeTroubled() const;
    int draw(int limit) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(limit)); }
    std::chrono::milliseconds drawLength(int shortestMs, int longestMs);

    const soak_options m_options;
    std::mt19937_64 m_random; // Of the faults' thread.
    std::mt19937_64 m_limitRandom; // Of limits; apart, so that the other faults of a seed stay the same.
    std::mt19937_64 m_failureRandom; // Of upstreams that fail for long or answer without end; apart likewise.
    std::mt19937_64 m_leavingRandom; // Of upstreams that say in their answers that they leave; likewise.
    std::mt19937_64 m_turnAwayRandom; // Of upstreams that turn requests away; apart likewise.
    std::mt19937_64 m_upgradeRandom; // Likewise.
    std::mt19937_64 m_restoreRandom; // Of cut watches and of a store that comes back from a copy; likewise.
    std::vector<upgrade_step> m_upgrade; // Steps that are left.
    deadline m_nextUpgrade {};
    int m_upgrades = 0;
    promise_checker m_checker;
    retry_budget_observer m_retryObserver { retryWindow, retryRatio };
    leaving_observer m_leavingObserver { std::chrono::milliseconds(2'000) }; // The users' drain time.
    platform_adapter::fake_object_store m_store;
    steady_clock::time_point m_storeTroubleUntil {};
    std::vector<std::unique_ptr<upstream_place>> m_upstreams;
    std::vector<std::unique_ptr<entry_place>> m_entries;
    std::atomic<int> m_version = 0;
    std::atomic<bool> m_isOver = false;
    int m_probes = 0; // Requests that ask whether an entry serves.
    int m_faults = 0;
    int m_drainsChecked = 0;
    int m_limitsChecked = 0;
};

}
