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

void latency_histogram::appendTo(std::string& out, const char* name) const
{
    const std::string metric = std::string("marlsill_") + name;
    out += "# TYPE " + metric + " histogram\n";
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < boundsMs.size(); ++index) {
        cumulative += m_counts[index];
        out += metric + "_bucket{le=\"" + std::to_string(boundsMs[index]) + "\"} "
            + std::to_string(cumulative) + "\n";
    }
    out += metric + "_bucket{le=\"+Inf\"} " + std::to_string(m_count) + "\n";
    out += metric + "_sum " + std::to_string(m_sumMs) + "\n";
    out += metric + "_count " + std::to_string(m_count) + "\n";
}

std::string traffic_counters::toText() const
{
    std::string out;
    auto appendCounter = [&out](const char* name, std::uint64_t value) {
        out += std::string("# TYPE marlsill_") + name + " counter\nmarlsill_" + name + " "
            + std::to_string(value) + "\n";
    };
    appendCounter("requests_total", requests);
    appendCounter("answered_total", answered);
    appendCounter("refused_total", refused);
    appendCounter("unknown_total", unknown);
    appendCounter("timed_out_total", timedOut);
    appendCounter("cancelled_total", cancelled);
    appendCounter("no_route_total", noRoute);
    appendCounter("malformed_total", malformed);
    appendCounter("attempts_total", attempts);
    appendCounter("retries_total", retries);
    appendCounter("hedges_total", hedges);
    appendCounter("upstream_failures_total", upstreamFailures);
    appendCounter("upstream_refusals_total", upstreamRefusals);
    appendCounter("upstream_crashes_total", upstreamCrashes);
    appendCounter("crash_reports_total", crashReports);
    appendCounter("quarantined_total", quarantined);
    appendCounter("permits_granted_total", permitsGranted);
    appendCounter("permits_refused_total", permitsRefused);
    appendCounter("leaving_notices_total", leavingNotices);
    appendCounter("leaving_notices_from_peers_total", leavingNoticesFromPeers);
    appendCounter("leaving_fields_malformed_total", leavingFieldsMalformed);
    appendCounter("upstream_turn_aways_total", turnAways);
    appendCounter("held_refusals_total", heldRefusals);
    appendCounter("limit_token_queries_total", tokenQueries);
    appendCounter("limit_tokens_lent_total", tokensLent);
    appendCounter("limit_refusals_total", overLimitRefusals);
    appendCounter("limit_no_lender_total", noLenderRefusals);
    appendCounter("new_connections_total", newConnections);
    appendCounter("reused_connections_total", reusedConnections);
    appendCounter("late_answers_skipped_total", lateAnswersSkipped);
    appendCounter("directory_answers_total", directoryAnswers);
    appendCounter("keys_missing_total", keysMissing);
    appendCounter("keys_malformed_total", keysMalformed);
    appendCounter("keys_unknown_total", keysUnknown);
    appendCounter("keys_withdrawn_total", keysWithdrawn);
    appendCounter("keys_stale_total", keysStale);
    accounts.appendTo(out);
    callerLatency.appendTo(out, "caller_latency_ms");
    upstreamLatency.appendTo(out, "upstream_latency_ms");
    return out;
}

}
