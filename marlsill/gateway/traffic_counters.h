#pragma once

// Counters and latency histograms of the request path, as text for a metrics reader.

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

namespace marlsill::gateway {

// Counts latencies in buckets with fixed upper bounds.
class latency_histogram {
public:
    void add(std::chrono::steady_clock::duration latency);

    // Appends the histogram in the text format that metrics readers scrape.
    void write(std::string& out, const char* name) const;

private:
    static constexpr std::array<int, 12> boundsMs
        = { 5, 10, 25, 50, 100, 250, 500, 1000, 2000, 4000, 8000, 16000 };

    std::array<std::uint64_t, boundsMs.size() + 1> m_counts {};
    std::uint64_t m_count = 0;
    double m_sumMs = 0;
};

struct traffic_counters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; // With an upstream's answer.
    std::uint64_t refused = 0; // Told that they were not run.
    std::uint64_t unknown = 0; // Told that nobody can tell.
    std::uint64_t timedOut = 0;
    std::uint64_t cancelled = 0; // Their callers left.
    std::uint64_t noRoute = 0;
    std::uint64_t malformed = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t upstreamFailures = 0;
    std::uint64_t upstreamRefusals = 0;
    std::uint64_t newConnections = 0;
    std::uint64_t reusedConnections = 0;
    std::uint64_t lateAnswersSkipped = 0;
    std::uint64_t directoryAnswers = 0;
    latency_histogram callerLatency;
    latency_histogram upstreamLatency;

    // Returns all of them as text.
    std::string toText() const;
};

}
