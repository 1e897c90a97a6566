#pragma once

// What attempts indicate about the health of their upstreams, and what VMs tell each other of it.

#include <string>

namespace marlsill::placement {

// What the outcome of one attempt indicates about the health of its upstream.
enum class health_signal {
    succeeded,
    failed, // A server error, a malformed response, or no response.
    errorAfterProcessing, // A server error after real processing time; the request may be the cause.
    refused, // The upstream refused the request for lack of capacity.
    unreachable, // No connection to this upstream; the request was not executed.
    inconclusive, // Does not affect the upstream's health.
};

// Returns whether the attempt failed and the upstream may be the cause.
constexpr bool isFailure(health_signal signal)
{
    return signal == health_signal::failed || signal == health_signal::errorAfterProcessing
        || signal == health_signal::unreachable;
}

// Kinds of health evidence that VMs exchange. The numeric values are sent to peers.
enum class evidence_kind {
    failed,
    stalled, // A request in flight takes far longer than the service's usual latency.
    unreachable,
    probe, // The sending VM probes the upstream with one request.
    recovered,
    errorAfterProcessing, // Counts as a failure only if a second one follows within the error window.
};
constexpr auto lastEvidenceKind = evidence_kind::errorAfterProcessing;

// Health evidence about one upstream, as sent to peers.
struct upstream_evidence {
    std::string upstream;
    evidence_kind kind = evidence_kind::failed;

    bool operator==(const upstream_evidence&) const = default;
};

}
