#pragma once

// Carries a request through its attempts at upstreams to its one final answer.
//
//     forwarder requests(io, options, wire);
//     requests.setConfiguration(configuration);
//     auto run = std::make_shared<request_run>(io, std::move(request), ...);
//     auto answer = co_await requests.run(run);
//
// Used by one event loop.

#include "marlsill/gateway/configuration.h"
#include "marlsill/gateway/link_pool.h"
#include "marlsill/gateway/traffic_counters.h"
#include "marlsill/gateway/wire_fields.h"
#include "marlsill/placement/admission_queue.h"
#include "marlsill/placement/attempt_policy.h"
#include "marlsill/placement/crash_quarantine.h"
#include "marlsill/placement/idle_limits.h"
#include "marlsill/placement/load_balancer.h"
#include "marlsill/placement/retry_after_gate.h"
#include "marlsill/placement/windowed_retry_budget.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace marlsill::gateway {

// Settings of a forwarder.
struct forwarder_options {
    std::string failureDomain;
    std::uint64_t maxAnswerBytes = 8 * 1024 * 1024;
    std::chrono::milliseconds connectLimit { 400 }; // Far above a round trip between failure domains.
    std::chrono::milliseconds returnTrip { 10 }; // Kept back from the upstream's time for the way back.
    std::chrono::milliseconds patience { 150 }; // Queued for longer, a request takes an upstream of doubt.
    std::chrono::milliseconds queueCheck { 100 }; // Known work of peers expires meanwhile.
    std::chrono::milliseconds maxIdleForOnce { 1'500 }; // A connection idle for longer may be lost unnoticed.
    std::chrono::milliseconds maxIdleRepeatable { 8'000 };
    double hedgeFactor = 2.0; // Of the usual latency, after which a second upstream is asked.
    std::chrono::milliseconds minHedge { 300 };
    double budgetForFailures = 0.5; // Of the extra arrivals; a hedge saves less than a retry.
    double retryRatio = 0.2; // Extra arrivals at a service per request, fleet-wide.
    double fleetRetrySlack = 10; // Extra arrivals per window beside the ratio, fleet-wide.
    std::chrono::milliseconds retryWindow { 10'000 };
};

// One request in work.
struct request_run {
    request_run(asio::io_context& io, http::request_message message)
        : request(std::move(message))
        , event(io)
    {
    }

    http::request_message request;
    std::string id;
    std::string caller; // IP number.
    steady_clock::time_point arrivedAt;
    deadline callerLimit; // When the caller stops waiting.
    std::shared_ptr<const configuration> rules; // In force when the request arrived.
    const route* routed = nullptr; // In `rules`.

    // Ends the work, as the caller has gone.
    void cancel();

    bool isCancelled = false;

    // What follows is the forwarder's.
    struct attempt {
        std::string upstream;
        std::string address;
        bool isTrial = false;
        steady_clock::time_point startedAt;
        std::shared_ptr<upstream_link> link;
        bool isSent = false; // Some byte may have reached the upstream.
        bool isOver = false;
        bool isConcluded = false; // Its end has been taken into account.
        placement::completed_attempt ended;
        http::response_message answer;
    };

    asio::steady_timer event; // Cancelled whenever something has happened.
    // Returns whether some upstream may have run the request or may still do so.
    bool mayHaveRun() const;

    std::string service;
    deadline limit;
    std::vector<std::string> tried;
    std::vector<std::shared_ptr<attempt>> attempts;
    placement::retry_state state;
    std::uint64_t print = 0;
    bool isQueued = false;
};

// The final answer to a request.
struct final_answer {
    http::response_message message;
    bool isFromUpstream = false;
};

// One VM's part in a service.
struct service_share {
    int servingVms = 1; // That share its requests.
    double slack = 1; // This VM's part of the fleet's slack of retries, 0 to 1.
};

// How the forwarder tells peers what it has seen; may be empty.
struct peer_notices {
    std::function<void(const placement::upstream_evidence&)> evidence;
    std::function<void(std::uint64_t print, int crashes)> crash;
};

class forwarder {
public:
    forwarder(asio::io_context& io, forwarder_options options, wire_fields wire);

    // Returns the one answer to a request; nothing if it was cancelled.
    asio::awaitable<std::optional<final_answer>> run(std::shared_ptr<request_run> current);

    // Puts a configuration in force for later requests; an older version is ignored. Returns whether it is.
    bool setConfiguration(std::shared_ptr<const configuration> next);

    // Takes the registered upstreams.
    void setUpstreams(std::span<const placement::upstream_entry> upstreams);

    void setPeerNotices(peer_notices notices) { m_notices = std::move(notices); }

    // Sets who tells this VM's part in a service.
    void setShares(std::function<service_share(const std::string&)> shareOf)
    {
        m_shareOf = std::move(shareOf);
    }

    // Takes a peer's evidence, load or crash count.
    void learn(const placement::upstream_evidence& evidence);
    void learnLoad(std::string_view peer, const placement::upstream_load& load);
    void learnCrash(std::uint64_t print, int crashes);

    // Looks for stalled upstreams and idle connections that are over. Call a few times a second.
    void sweep();

    placement::load_balancer& board() { return m_board; }
    const std::shared_ptr<const configuration>& rules() const { return m_rules; }
    const wire_fields& wire() const { return m_wire; }
    traffic_counters& counters() { return m_counters; }
    int inWork() const { return m_inWork; }

    // Makes an answer of our own.
    http::response_message makeAnswer(int status, std::string_view why) const;
    http::response_message makeRefusal(std::string_view why, std::chrono::milliseconds expectedWait);

private:
    using attempt = request_run::attempt;

    asio::awaitable<void> runAttempt(std::shared_ptr<request_run> current, std::shared_ptr<attempt> each);
    asio::awaitable<std::optional<final_answer>> work(std::shared_ptr<request_run> current);
    bool startAttempt(const std::shared_ptr<request_run>& current, steady_clock::time_point now,
        placement::choice_status& status);
    std::optional<final_answer> conclude(request_run& current, attempt& each, bool& needsAnother);
    final_answer refuseOrGiveUp(request_run& current, placement::next_step step, std::string_view why);
    final_answer refuseForLoad(request_run& current, std::string_view why, steady_clock::time_point now);
    final_answer timeOut(request_run& current);
    std::chrono::milliseconds spreadReturn(std::chrono::milliseconds expectedWait);
    http::response_message makeRefusalUntil(std::string_view why, std::chrono::milliseconds pause) const;
    void abortAttempts(request_run& current);
    void finishAttempt(request_run& current, attempt& each, steady_clock::time_point now);
    void checkForCrash(request_run& current, const attempt& each);
    bool mayRetry(request_run& current, bool isArrival, steady_clock::time_point now);
    bool mayHedge(request_run& current, steady_clock::time_point now);
    static placement::answer_deadlines limitsOf(const request_run& current);
    deadline hedgeTime(const request_run& current) const;
    placement::queue_load outlookOf(const std::string& service, steady_clock::time_point now) const;
    std::string serializeFor(
        const request_run& current, const attempt& each, steady_clock::time_point now) const;
    bool isInUse(const std::string& upstream) const;
    bool isOwnAnswer(const request_run& current, const http::response_message& answer) const;
    placement::windowed_retry_budget& budgetOf(const std::string& service);
    void wakeWaiter(const std::string& service);
    void joinQueue(const std::shared_ptr<request_run>& current);
    void leaveQueue(request_run& current);
    void logEnd(const request_run& current, const final_answer& answer, std::string_view why);

    asio::io_context& m_io;
    const forwarder_options m_options;
    const wire_fields m_wire;
    placement::load_balancer m_board;
    placement::crash_quarantine m_crashes;
    placement::idle_limits m_idleLimits;
    placement::retry_after_gate m_returnGate;
    link_pool m_pool;
    traffic_counters m_counters;
    peer_notices m_notices;
    std::shared_ptr<const configuration> m_rules;
    std::map<std::string, placement::windowed_retry_budget, std::less<>> m_budgets;
    std::map<std::string, placement::admission_queue<request_run>, std::less<>> m_lines;
    std::mt19937_64 m_random { std::random_device {}() };
    std::function<service_share(const std::string&)> m_shareOf = [](const auto&) { return service_share(); };
    int m_inWork = 0;
};

}
