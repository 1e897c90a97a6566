#pragma once

// Counters and latency histograms of the request path, in the Prometheus text format. Not thread safe.

#include "marlsill/gateway/account_counters.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

namespace marlsill::gateway {

// A latency histogram with fixed upper bounds in milliseconds.
class latency_histogram {
public:
    void add(std::chrono::steady_clock::duration latency);

    // Appends the histogram in the Prometheus text format, named `name` with the prefix of all metrics.
    void appendTo(std::string& out, const char* name) const;

private:
    static constexpr std::array<int, 12> boundsMs
        = { 5, 10, 25, 50, 100, 250, 500, 1000, 2000, 4000, 8000, 16000 };

    std::array<std::uint64_t, boundsMs.size() + 1> m_counts {};
    std::uint64_t m_count = 0;
    double m_sumMs = 0;
};

// Totals since the start of the process.
struct traffic_counters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; // Requests that got an upstream's response.
    std::uint64_t refused = 0; // Requests rejected with 503 as not executed.
    std::uint64_t unknown = 0; // Requests that failed without knowing whether an upstream executed them.
    std::uint64_t timedOut = 0;
    std::uint64_t cancelled = 0; // Requests whose callers disconnected.
    std::uint64_t noRoute = 0;
    std::uint64_t malformed = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t upstreamFailures = 0;
    std::uint64_t upstreamRefusals = 0;
    std::uint64_t upstreamCrashes = 0; // Upstreams that crashed under a request of this VM.
    std::uint64_t crashReports = 0; // Received from peers.
    std::uint64_t quarantined = 0; // Requests rejected because they crash upstreams.
    std::uint64_t permitsGranted = 0; // To send one request to an upstream with a limit.
    std::uint64_t permitsRefused = 0;
    std::uint64_t leavingNotices = 0; // Upstreams that said first to this VM that they leave.
    std::uint64_t leavingNoticesFromPeers = 0; // Upstreams of which a peer said so first.
    std::uint64_t leavingFieldsMalformed = 0;
    std::uint64_t turnAways = 0; // 503 answers of upstreams with a time in Retry-After.
    std::uint64_t heldRefusals = 0; // Requests rejected because all upstreams turn requests away.
    std::uint64_t newConnections = 0;
    std::uint64_t reusedConnections = 0;
    std::uint64_t lateAnswersSkipped = 0;
    std::uint64_t directoryAnswers = 0;
    std::uint64_t keysMissing = 0; // Requests refused as they have no key; likewise the next ones.
    std::uint64_t keysMalformed = 0;
    std::uint64_t keysUnknown = 0;
    std::uint64_t keysWithdrawn = 0; // While the request waited.
    std::uint64_t keysStale = 0; // This VM could not tell whether the key had been withdrawn.
    account_counters accounts;
    latency_histogram callerLatency;
    latency_histogram upstreamLatency;

    // Returns all metrics in the Prometheus text format.
    std::string toText() const;
};

}
