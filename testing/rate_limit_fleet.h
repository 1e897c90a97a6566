#pragma once

// A fleet of entry daemons, as processes, before upstreams that name limits, with callers at a set rate.
//
//     rate_limit_fleet fleet(16, 4);
//     auto callers = fleet.startCallers(40);
//     fleet.setLimits(2, 1);
//     ...
//     callers.reset();
//     auto usage = fleet.usageOf(0, since, 2);

#include "marlsill/base/time.h"
#include "platform/testing/fake_object_store.h"
#include "testing/scripted_upstream.h"
#include "testing/soak/entry_process.h"

#include <atomic>
#include <filesystem>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace marlsill::testing {

constexpr std::chrono::milliseconds limitSettleTime { 3'000 }; // The users' `stableWindowMs`.
constexpr std::chrono::milliseconds limitWindow { 4'000 }; // Of the users' rule.
constexpr double limitExcessFactor = 1.5; // Of the users' rule.
constexpr int limitExcessRequests = 5; // Of the users' rule.
constexpr int minSharePercent = 60; // Of a limit, while callers ask for more.
constexpr std::chrono::milliseconds maxRefusalTime { 500 }; // Half of the callers' time limit.

// How many requests an upstream with a limit got.
struct limit_usage {
    int mostInWindow = 0;
    int allowedInWindow = 0;
    int sharePercent = 0; // Of the limit, over the whole time.
};

// What became of the callers' requests.
struct call_totals {
    int sent = 0;
    int served = 0;
    int refused = 0;
    int refusedWithoutRetryAfter = 0;
    std::chrono::milliseconds slowestRefusal {};
};

class rate_limit_fleet {
public:
    // Starts the daemons and waits until they serve.
    rate_limit_fleet(int entries, int upstreams);
    ~rate_limit_fleet();

    // Makes the first `count` upstreams name a limit; 0: none.
    void setLimits(double requestsPerSecond, int count);

    // Makes the upstreams from `first` on fail each other request.
    void setFailures(bool isFailing, std::size_t first);

    // Starts callers that send repeatable requests to the daemons in turn, until the result is destroyed.
    std::unique_ptr<std::vector<std::jthread>> startCallers(int callsPerSecond);

    limit_usage usageOf(int upstream, steady_clock::time_point since, double limit) const;
    int arrivalsSince(int upstream, steady_clock::time_point since) const;
    call_totals calls() const;

private:
    void call(std::size_t entry);

    const std::filesystem::path m_folder;
    platform_adapter::fake_object_store m_store;
    std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
    std::vector<std::unique_ptr<entry_process>> m_entries;
    std::atomic<int> m_requests = 0;
    mutable std::mutex m_mutex; // Guards m_calls.
    call_totals m_calls;
};

}
