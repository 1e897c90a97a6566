#pragma once

// A request in flight, and what tells requests and callers apart.
//
//     auto request = std::make_shared<active_request>(io, std::move(message));
//     request->caller = callerOf(request->request, accountField, address);
//
// Not thread safe; used from a single event loop.

#include "marlsill/accounts/account_directory.h"
#include "marlsill/base/time.h"
#include "marlsill/gateway/configuration.h"
#include "marlsill/gateway/upstream_connection.h"
#include "marlsill/http/message_parser.h"
#include "marlsill/placement/attempt_policy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::gateway {

// Returns a hash of what makes two requests copies of one another: method, host, target, body and the client
// account in the header field `accountField`, if there is one. Upstreams do not see the caller's address.
std::uint64_t fingerprintOf(const http::request_message& request, const std::string& accountField);

// Returns what tells callers apart that compete for room: the client account in the header field
// `accountField`, or the IP address if the request names none. Its length is bounded, and it has no blanks.
std::string callerOf(
    const http::request_message& request, const std::string& accountField, const std::string& address);

// Returns whether the attempt got a response with a status of 2xx.
bool isSuccess(const placement::completed_attempt& attempt);

// A request in flight. The gateway fills in the members above cancel(), and access_control those that name
// it; the forwarder manages the members below cancel().
struct active_request {
    active_request(asio::io_context& io, http::request_message message)
        : request(std::move(message))
        , wakeTimer(io)
    {
    }

    http::request_message request;
    std::string id;
    std::string caller; // See callerOf().
    steady_clock::time_point arrivedAt;
    deadline callerDeadline; // When the caller stops waiting.
    std::shared_ptr<const configuration> config; // The configuration in force when the request arrived.
    const route* matchedRoute = nullptr; // Points into `config`.

    // Set by access_control. Of the key that the request came with, or that a peer has stated; none on a
    // public route and without accounts.
    std::optional<accounts::key_digest> keyDigest;
    // Set by access_control. The account that holds the key, as of the last check; null without a key.
    std::shared_ptr<const accounts::client_account> account;
    // Set by access_control: the caller's fields were checked and replaced, as accounts are in force.
    bool isUnderAccounts = false;

    // Aborts all attempts. Called when the caller has disconnected.
    void cancel();

    bool isCancelled = false;
    bool isRelayed = false; // Sent by a peer for one of its callers; not relayed again.
    int earlierArrivals = 0; // At upstreams, from that peer.
    std::shared_ptr<upstream_connection> relayConnection; // To the peer that works on it; may be null.

    // One attempt to send the request to an upstream.
    struct attempt {
        std::string upstream;
        std::string address;
        std::int64_t upstreamStartedUnixMs = 0; // As registered when the attempt began; 0 if unknown.
        bool isProbe = false; // Tests whether a suspect upstream has recovered.
        steady_clock::time_point startedAt;
        std::shared_ptr<upstream_connection> connection;
        bool isSent = false; // Some bytes may have reached the upstream.
        bool isRecorded = false; // recordAttemptResult() has been called.
        bool isFinished = false;
        bool isEvaluated = false; // evaluateAttempt() has processed its outcome.
        placement::completed_attempt outcome;
        std::string_view failure; // Why the response was given up; empty if it was not.
        http::response_message response;
    };

    asio::steady_timer wakeTimer; // Cancelled to resume processRequest() on an event.

    // Returns whether some upstream may have executed the request or may still execute it.
    bool mayHaveRun() const;

    // Returns whether some upstream has completed the request.
    bool hasSucceeded() const;

    // Aborts all attempts that are not finished.
    void abortAttempts();

    std::string service;
    deadline effectiveDeadline; // The earlier of the caller's deadline and the route's timeout.
    std::vector<std::string> triedUpstreams;
    std::vector<std::shared_ptr<attempt>> attempts;
    placement::retry_state state;
    std::uint64_t fingerprint = 0; // See fingerprintOf().
    bool isCounted = false; // In the retry budget, by this VM or the one that relayed it.
    bool isQueued = false; // Waits in the service's admission queue.
    bool isStopDecisionLogged = false;
    bool isCrashProbe = false; // Quarantined, but sent once to find out whether it crashes upstreams.
};

}
