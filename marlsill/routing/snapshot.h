#pragma once

// The immutable view of configuration and membership that traffic threads route by.
//
//     snapshot_reader reader(cell);
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

// Counts of finished requests on one upstream since they were last taken.
struct upstream_evidence {
    int runs = 0; // Requests with a whole answer or a failure that the upstream answers for.
    int failures = 0; // Server errors, broken answers and timeouts.
    int connectionLosses = 0; // Connections that ended under a request.
    int refusals = 0; // Refusals by the upstream; no failure.
    double logLatencySum = 0; // Natural logarithms of milliseconds.
    double logLatencySquareSum = 0;
    int latencies = 0;

    // Adds another's counts.
    void add(const upstream_evidence& other);
};

// What an entry VM knows of one upstream beyond its configuration. It outlives snapshots. Thread safe.
class upstream_state {
public:
    upstream_state(std::string upstreamName, std::string upstreamAddress);

    const std::string name;
    const std::string address;
    std::atomic<int> inFlight = 0; // Requests from this VM.
    std::atomic<double> weight = 1; // Share of work relative to its slots; lowered by suspicion, above zero.
    std::atomic<deadline::rep> ejectedUntil = 0; // Of the monotonic clock; zero for not ejected.
    std::atomic<bool> isLeaving = false; // Holds for requests that were routed by an older snapshot, too.

    // Returns whether an agreed ejection is in effect at `now`.
    bool isEjected(steady_clock::time_point now) const;

    // Adds the result of one finished request.
    void addEvidence(const upstream_evidence& evidence);

    // Returns the evidence since the last call.
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

// One entry VM as callers are told of it.
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
    // The serving set; the first one coordinates detection.
    std::vector<std::shared_ptr<const directory_node>> members;
};

// Everything that routing needs, at one moment.
struct snapshot {
    std::int64_t generation = 0;
    std::vector<std::shared_ptr<const routed_service>> services; // Ordered by name.
    std::shared_ptr<const route_table> routes = std::make_shared<route_table>();
    std::shared_ptr<const std::vector<std::shared_ptr<const directory_node>>> directory
        = std::make_shared<std::vector<std::shared_ptr<const directory_node>>>();

    // Returns the service with this name, or a null pointer.
    const routed_service* find(std::string_view name) const;
};

// Returns whether the rules say that this request may run at most once.
bool isNotRepeatable(const service_rules& rules, std::string_view method, std::string_view path);

// Holds the current snapshot. Thread safe.
class snapshot_holder {
public:
    // Replaces the snapshot; readers see it at their next request.
    void publish(std::shared_ptr<const snapshot> next);

    // Returns the current snapshot.
    std::shared_ptr<const snapshot> load() const;

    // Returns a number that grows with every publication.
    std::uint64_t version() const { return m_version.load(std::memory_order_acquire); }

private:
    mutable std::mutex m_mutex; // Guards m_current.
    std::shared_ptr<const snapshot> m_current = std::make_shared<snapshot>();
    std::atomic<std::uint64_t> m_version = 1;
};

// One traffic thread's view of the cell. Not thread safe; the cell must outlive it.
class snapshot_reader {
public:
    explicit snapshot_reader(const snapshot_holder& cell)
        : m_cell(cell)
    {
    }

    // Returns the current snapshot, which stays valid while the pointer is held.
    const std::shared_ptr<const snapshot>& current();

private:
    const snapshot_holder& m_cell;
    std::shared_ptr<const snapshot> m_seen;
    std::uint64_t m_version = 0;
};

}
