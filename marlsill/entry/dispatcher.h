#pragma once

// Runs an admitted request on upstreams, with retries where they are safe.
//
//     auto result = dispatcher.run(job);
//     if (result.told == outcome::notRun)
//         answer(makeOutcome(result.told, result.why, result.status, result.retryAfter));

#include "marlsill/admission/admission_controller.h"
#include "marlsill/dedup/key_ledger.h"
#include "marlsill/entry/outcome.h"
#include "marlsill/entry/quarantine.h"
#include "marlsill/entry/upstream_exchange.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace marlsill::entry {

// One request on its way to an upstream. The references outlive the run.
struct dispatch_job {
    const http::request_message& request;
    const routing::routed_service& service;
    std::string account;
    deadline limit;
    bool isNotRepeatable = false; // Runs at most once.
    bool isIdempotent = false; // May be sent again when its fate is unknown.
    dedup::key_entry* key
        = nullptr; // Moved along with the request; null for requests without a key of this VM.
    http::channel* caller = nullptr; // For cancellation and for streaming large answers.
};

// What came of a request.
struct dispatch_result {
    outcome told = outcome::notRun;
    std::string why;
    int status = 503; // For answers of our own.
    std::chrono::milliseconds retryAfter {};
    std::shared_ptr<http::response_message> answer; // The upstream's, when it ran and is whole.
    std::string upstream;
    bool wasStreamed = false; // The answer went to the caller already.
    bool isCallerBroken = false; // The caller's connection must be closed.
};

// Counters since the start, for metrics.
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
    std::size_t wholeAnswerBytes = 1024 * 1024; // Larger answers are streamed.
    int maxAttempts = 4;
};

using admission_controller = admission::admission_controller<admission::slot_share_choice>;

// Thread safe.
class dispatcher {
public:
    dispatcher(upstream_pool& pool, quarantine_list& quarantine, dispatcher_options options = {});

    // Runs one request to its end. Blocks until the job's limit at most, and a little longer only while
    // streaming.
    dispatch_result run(const dispatch_job& job);

    // Returns the gate of a service and notes that it has requests.
    std::shared_ptr<admission_controller> gateOf(const std::string& service);

    // Lets all gates look again at who can be admitted.
    void refreshGates();

    // Returns the names of the services that had requests since the last call.
    std::set<std::string> takeTouched();

    const dispatch_counts& counts() const { return m_counts; }

private:
    class run_state;

    upstream_pool& m_pool;
    quarantine_list& m_quarantine;
    const dispatcher_options m_options;
    dispatch_counts m_counts;
    std::mutex m_mutex; // Guards m_gates and m_touched.
    std::map<std::string, std::shared_ptr<admission_controller>> m_gates;
    std::set<std::string> m_touched;
};

}
