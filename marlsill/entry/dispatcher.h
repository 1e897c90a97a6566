#pragma once

// Forwards a request to upstreams, with admission control, quarantine, and retries where they are safe.
//
//     auto result = dispatcher.run(job);
//     if (result.requestOutcome == outcome::notRun)
//         respond(makeOutcome(
//             result.requestOutcome, result.outcomeReason, result.status, result.retryAfter));

#include "marlsill/admission/admission_controller.h"
#include "marlsill/dedup/key_ledger.h"
#include "marlsill/entry/outcome.h"
#include "marlsill/entry/quarantine.h"
#include "marlsill/entry/upstream_exchange.h"
#include "marlsill/placement/stop_admission.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace marlsill::entry {

// One request to forward. The referenced objects must outlive the run.
struct dispatch_job {
    const http::request_message& request;
    const routing::routed_service& service;
    std::string account;
    deadline requestDeadline;
    bool isNotRepeatable = false; // Must run at most once.
    bool isIdempotent = false; // May be sent again even if an earlier attempt may have run.
    dedup::key_entry* key
        = nullptr; // Updated as the request proceeds; null if the request has no key of this VM.
    http::channel* caller = nullptr; // Watched for cancellation; receives streamed responses. May be null.
};

// Result of forwarding a request.
struct dispatch_result {
    outcome requestOutcome = outcome::notRun;
    std::string outcomeReason;
    int status = 503; // HTTP status of the response if `response` is null.
    std::chrono::milliseconds retryAfter {};
    std::shared_ptr<http::response_message> response; // The upstream's whole response, if there is one.
    std::string upstream;
    bool wasStreamed = false; // The response was already written to the caller.
    bool mustCloseConnection = false; // The caller's connection must be closed.
};

// Counters since the start of the process, for metrics.
struct dispatch_counts {
    std::atomic<std::uint64_t> attempts = 0;
    std::atomic<std::uint64_t> retries = 0;
    std::atomic<std::uint64_t> refusedByUpstream = 0;
    std::atomic<std::uint64_t> refusedHere = 0;
    std::atomic<std::uint64_t> silentConnections = 0;
    std::atomic<std::uint64_t> cancelled = 0;
};

// Options of a dispatcher.
struct dispatcher_options {
    std::size_t maxBufferedResponseBytes = 1024 * 1024; // Larger response bodies are streamed.
    int maxAttempts = 4;
};

using admission_controller = admission::admission_controller<admission::slot_share_choice>;

// Forwards requests and owns the admission controllers of the services. Thread safe; the pool and the
// quarantine list must outlive it.
class dispatcher {
public:
    dispatcher(upstream_pool& pool, quarantine_list& quarantine, dispatcher_options options = {});
    ~dispatcher();

    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    // Forwards one request until there is a final result. Blocks until the request deadline at most, or
    // slightly longer while it streams a response.
    dispatch_result run(const dispatch_job& job);

    // From now on, starts attempts only as `admission` allows, retries included. Requests that may not be
    // started and have not run are refused as such.
    void beginStop(const placement::stop_admission& admission);

    // Refuses the requests that wait for an upstream, and all later ones.
    void refuseWaiting();

    // Gives up all requests, as if their deadlines had passed.
    void expireRequests();

    // Returns the admission controller of a service and marks the service as active.
    std::shared_ptr<admission_controller> admissionControllerFor(const std::string& service);

    // Makes every admission controller admit the queued requests that can be admitted now.
    void refreshAdmission();

    // Returns the names of the services that received requests since the last call.
    std::set<std::string> takeActiveServices();

    const dispatch_counts& counts() const { return m_counts; }

private:
    class dispatch_run;

    bool mayStart(const routing::routed_service& service, const admission_controller& admission);

    upstream_pool& m_pool;
    quarantine_list& m_quarantine;
    const dispatcher_options m_options;
    dispatch_counts m_counts;
    int m_expiry = -1; // Event descriptor, readable once requests have been given up.
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_isExpired = false;
    std::mutex m_mutex; // Guards everything below.
    std::optional<placement::stop_admission> m_stop;
    bool m_refusesWaiting = false;
    std::map<std::string, std::shared_ptr<admission_controller>> m_admissionControllers;
    std::set<std::string> m_activeServices;
};

}
