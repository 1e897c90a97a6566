#include "marlsill/gateway/traffic_counters.h"

#include <algorithm>

namespace marlsill::gateway {

void latency_histogram::add(std::chrono::steady_clock::duration latency)
{
    auto milliseconds = std::chrono::duration<double, std::milli>(latency).count();
    auto bound = std::lower_bound(boundsMs.begin(), boundsMs.end(), milliseconds);
    ++m_counts[static_cast<std::size_t>(bound - boundsMs.begin())];
    ++m_count;
    m_sumMs += milliseconds;
}

void latency_histogram::write(std::string& out, const char* name) const
{
    const std::string metric = std::string("marlsill_") + name;
    out += "# TYPE " + metric + " histogram\n";
    std::uint64_t sum = 0;
    for (std::size_t index = 0; index < boundsMs.size(); ++index) {
        sum += m_counts[index];
        out += metric + "_bucket{le=\"" + std::to_string(boundsMs[index]) + "\"} " + std::to_string(sum)
            + "\n";
    }
    out += metric + "_bucket{le=\"+Inf\"} " + std::to_string(m_count) + "\n";
    out += metric + "_sum " + std::to_string(m_sumMs) + "\n";
    out += metric + "_count " + std::to_string(m_count) + "\n";
}

std::string traffic_counters::toText() const
{
    std::string out;
    auto line = [&out](const char* name, std::uint64_t value) {
        out += std::string("# TYPE marlsill_") + name + " counter\nmarlsill_" + name + " "
            + std::to_string(value) + "\n";
    };
    line("requests_total", requests);
    line("answered_total", answered);
    line("refused_total", refused);
    line("unknown_total", unknown);
    line("timed_out_total", timedOut);
    line("cancelled_total", cancelled);
    line("no_route_total", noRoute);
    line("malformed_total", malformed);
    line("attempts_total", attempts);
    line("retries_total", retries);
    line("hedges_total", hedges);
    line("upstream_failures_total", upstreamFailures);
    line("upstream_refusals_total", upstreamRefusals);
    line("new_connections_total", newConnections);
    line("reused_connections_total", reusedConnections);
    line("late_answers_skipped_total", lateAnswersSkipped);
    line("directory_answers_total", directoryAnswers);
    callerLatency.write(out, "caller_latency_ms");
    upstreamLatency.write(out, "upstream_latency_ms");
    return out;
}

}
