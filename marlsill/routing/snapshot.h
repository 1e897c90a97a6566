#pragma once

// An immutable snapshot of configuration and membership, by which worker threads route requests.
//
//     snapshot_reader reader(holder);
//     const snapshot& current = reader.current(); // Takes no lock unless a newer one was published.

#include "marlsill/base/time.h"
#include "marlsill/documents/documents.h"
#include "marlsill/routing/route_table.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace marlsill::routing {

// Statistics of finished requests to one upstream since the last call of upstream_state::takeEvidence().
struct upstream_evidence {
    int runs = 0; // Requests with a complete response or a failure attributed to the upstream.
    int failures = 0; // Server errors, connection failures, malformed responses and timeouts.
    int connectionLosses = 0; // Connections that were lost while a request was in flight.
    int refusals = 0; // Requests that the upstream refused to run; not counted as failures.
    double logLatencySum = 0; // Of the natural logarithm of the latency in milliseconds.
    double logLatencySquareSum = 0;
    int latencies = 0; // Number of latencies in the sums.

    // Adds the counts and sums of `other`.
    void add(const upstream_evidence& other);
};

// An entry VM's runtime state of one upstream. Consecutive snapshots share it. Thread safe.
class upstream_state {
public:
    upstream_state(std::string upstreamName, std::string upstreamAddress);

    const std::string name;
    const std::string address;
    std::atomic<int> inFlight = 0; // Requests from this VM that have not finished.
    // Load-balancing weight relative to the slots; above zero and lowered while the upstream is suspect.
    std::atomic<double> weight = 1;
    std::atomic<deadline::rep> ejectedUntil = 0; // Time since the epoch of steady_clock; zero if not ejected.
    std::atomic<bool> isLeaving = false; // Also seen by requests that were routed by an older snapshot.

    // Returns whether an ejection that the entry VMs agreed on is in effect at `now`.
    bool isEjected(steady_clock::time_point now) const;

    // Adds the evidence of one finished request.
    void addEvidence(const upstream_evidence& evidence);

    // Returns the evidence accumulated since the last call and resets it.
    upstream_evidence takeEvidence();

private:
    std::mutex m_mutex; // Guards m_evidence.
    upstream_evidence m_evidence;
};

// One upstream in a snapshot.
struct routed_upstream {
    upstream_spec spec;
    std::shared_ptr<upstream_state> state;
    int ownSlots = 0; // This VM's share of the slots.
};

// An entry VM as the directory announces it to callers.
struct directory_node {
    std::string incarnation;
    std::string failureDomain;
    std::string callerAddress;
    std::string peerAddress;
};

// One service in a snapshot.
struct routed_service {
    std::string name;
    service_rules rules;
    std::vector<routed_upstream> upstreams;
    bool isMember = false; // Whether this VM is in the serving set.
    // The serving set. The first member is the coordinator of failure detection.
    std::vector<std::shared_ptr<const directory_node>> members;
};

// The complete input of routing at one point in time.
struct snapshot {
    std::int64_t generation = 0;
    std::vector<std::shared_ptr<const routed_service>> services; // Sorted by name.
    std::shared_ptr<const route_table> routes = std::make_shared<route_table>();
    std::shared_ptr<const std::vector<std::shared_ptr<const directory_node>>> directory
        = std::make_shared<std::vector<std::shared_ptr<const directory_node>>>();

    // Returns the service with this name, or a null pointer.
    const routed_service* find(std::string_view name) const;
};

// Returns whether the rules declare this request as not repeatable: it may run at most once.
bool isNotRepeatable(const service_rules& rules, std::string_view method, std::string_view path);

// Holds the current snapshot. Thread safe.
class snapshot_holder {
public:
    // Replaces the snapshot. A snapshot_reader returns it from its next call of current().
    void publish(std::shared_ptr<const snapshot> next);

    // Returns the current snapshot.
    std::shared_ptr<const snapshot> load() const;

    // Returns a version that is incremented by every call of publish().
    std::uint64_t version() const { return m_version.load(std::memory_order_acquire); }

private:
    mutable std::mutex m_mutex; // Guards m_current.
    std::shared_ptr<const snapshot> m_current = std::make_shared<snapshot>();
    std::atomic<std::uint64_t> m_version = 1;
};

// A thread's cached access to a snapshot_holder. Not thread safe; the holder must outlive it.
class snapshot_reader {
public:
    explicit snapshot_reader(const snapshot_holder& holder)
        : m_holder(holder)
    {
    }

    // Returns the current snapshot, which stays valid while a copy of the pointer is held.
    const std::shared_ptr<const snapshot>& current();

private:
    const snapshot_holder& m_holder;
    std::shared_ptr<const snapshot> m_cached;
    std::uint64_t m_version = 0;
};

}
