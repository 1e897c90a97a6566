#pragma once

// Keeps the requests of client accounts to their fleet-wide rate limits: takes one token for each request
// from the account's lender, which may be this VM.
//
//     account_limiter limiter(io, { .bound = bound }, counters);
//     limiter.setPeers({ .self = host, .orderOf = ..., .lendersOf = ..., .send = ... });
//     limiter.start(false);
//     auto decision = co_await limiter.take("acme", limit, current);
//     if (decision.status != limit_status::allowed)
//         refuse(decision.retryAfter);
//     ...
//     limiter.giveBack("acme", decision); // If the request was refused unrun.
//
// Not thread safe; used from a single event loop.

#include "marlsill/accounts/limit_borrower.h"
#include "marlsill/accounts/limit_lender.h"
#include "marlsill/gateway/forwarder.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace marlsill::gateway {

// Settings of a limiter.
struct account_limiter_options {
    accounts::limit_bound bound; // The same on all VMs.
    std::chrono::milliseconds maxWait { 400 }; // For an answer of a lender.
    std::chrono::milliseconds retryAfter { 200 }; // Of requests that no lender answered for.
    std::chrono::milliseconds stopRetryAfter { 50 }; // The caller only has to choose another VM.
    std::chrono::milliseconds tickInterval { 20 }; // While a request waits or shares are leased.
    std::chrono::milliseconds forgetInterval { 2'000 };
    std::size_t maxWaiting = 2'000; // Requests; others are refused at once.
};

// How a limiter knows and reaches the other VMs. Without them this VM lends to itself.
struct account_limiter_peers {
    std::string self; // Host of this VM.
    std::function<accounts::lender_order(const std::string& account)> orderOf;
    std::function<std::span<const std::string>(const std::string& account)> lendersOf;
    std::function<void(const std::string& host, accounts::limit_message)> send;
};

enum class limit_status {
    allowed,
    overLimit, // 429: beyond the account's limit until `retryAfter` has passed.
    noLender, // 503: no VM that lends for the account answered.
    stopping, // 503: a planned stop of this VM began.
    cancelled, // The caller has left.
};

struct limit_decision {
    limit_status status = limit_status::allowed;
    boot_clock::time_point tokenUntil {}; // If allowed: when the token's use must have begun.
    std::chrono::milliseconds retryAfter {}; // If refused.
};

// What this VM knows of an account's limit, for the log.
struct limit_knowledge {
    std::size_t shares = 0; // That this VM lends from, of `shareCount`; 0: it does not lend.
    std::size_t shareCount = 0;
    std::optional<std::chrono::milliseconds> answerAge; // Since a lender last answered.
};

class account_limiter {
public:
    account_limiter(asio::io_context& io, account_limiter_options options, traffic_counters& counters);

    void setPeers(account_limiter_peers peers);

    // Begins to lend. `isAlone`: no other VM can exist.
    void start(bool isAlone);

    // Takes a token for a request. Ends early at the request's deadline, when it is cancelled, or when a
    // planned stop begins.
    asio::awaitable<limit_decision> take(
        std::string account, accounts::account_limit limit, std::shared_ptr<active_request> current);

    // Takes back the token of a request that was refused unrun.
    void giveBack(const std::string& account, const limit_decision& decision);

    // Returns whether a token may still be used; asked right before a request is first sent.
    static bool isValid(const limit_decision& decision) { return boot_clock::now() < decision.tokenUntil; }

    // Handles what a peer sent, and returns the answer, which may be empty.
    accounts::limit_message handleMessage(const std::string& from, const accounts::limit_message& message);

    // Refuses the requests that wait.
    void beginStop();

    limit_knowledge knowledgeOf(const std::string& account) const;

private:
    struct waiting_request {
        std::shared_ptr<active_request> request;
        std::optional<limit_decision> decision;
    };

    struct waiting_account {
        std::deque<std::shared_ptr<waiting_request>> requests;
        accounts::account_limit limit; // Of the newest request.
    };

    using waiting_map = std::map<std::string, waiting_account, std::less<>>;

    accounts::lender_order orderOf(const std::string& account) const;
    std::span<const std::string> lendersOf(const std::string& account) const;
    limit_decision decisionOf(const accounts::take_result& taken, boot_clock::time_point now) const;
    void pump(const std::string& account);
    void serveWaiting(const std::string& account, waiting_account& each, boot_clock::time_point now);
    static void decide(waiting_request& each, const limit_decision& decision);
    void removeWaiting(const std::string& account, const std::shared_ptr<waiting_request>& waiting);
    accounts::token_answer lend(const accounts::token_request& request, boot_clock::time_point now);
    void send(std::span<const accounts::limit_lender::addressed_request> requests);
    void armTimer();
    void tick();

    const account_limiter_options m_options;
    traffic_counters& m_counters;
    account_limiter_peers m_peers;
    std::vector<std::string> m_alone; // The order without peers.
    std::unique_ptr<accounts::limit_lender> m_lender;
    accounts::limit_borrower m_borrower;
    waiting_map m_waiting;
    std::size_t m_waitingRequests = 0;
    asio::steady_timer m_timer;
    bool m_isArmed = false;
    steady_clock::time_point m_forgottenAt {};
};

}
