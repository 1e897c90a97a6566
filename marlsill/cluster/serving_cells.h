#pragma once

// Which VMs serve a host, and which of them send requests to the same upstreams.
//
//     serving_cells cells(members, { .hostsOf = ..., .slotsOf = ... });
//     for (const auto& vm : cells.servingVms("depot.example", now))
//         offer(vm.callerAddress);
//     auto peers = cells.peersSharing("bookings", "upstream-17", now);
//
// A host's VMs follow from the member list and from the slots behind the host, see routing::planCells(), so
// that all VMs come to the same result without agreement. A result is worked out when it is first asked for
// and kept until the members, the configuration or the upstreams change. Not thread safe.

#include "marlsill/cluster/member_list.h"
#include "marlsill/placement/upstream_partition.h"
#include "marlsill/routing/serving_set.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::cluster {

// What the cells follow from besides the member list. Both must be set.
struct serving_cells_sources {
    // Returns the hosts with a route to a service.
    std::function<std::span<const std::string>(std::string_view service)> hostsOf;
    // Returns the slots of all upstreams behind a host.
    std::function<int(std::string_view host)> slotsOf;
};

// Settings of serving cells.
struct serving_cells_options {
    // Between recalculations for changed members, which change often in a fleet of hundreds.
    std::chrono::milliseconds minRefreshInterval { 100 };
    // The interval is at least this many times as long as the last recalculation took, which was a
    // millisecond of a core with hundreds of VMs, and many on a VM with a small share of one.
    int refreshIntervalPerCost = 20;
    // A service that more VMs serve tells of an upstream's failures only those that share the upstream. Off
    // by default: with 160, VMs of other parts left upstreams out as well, and the capacity floor was missed
    // in half of the plays of a day on which few upstreams were sound.
    std::size_t maxEvidencePeers = 0;
};

// A VM that serves a host.
struct serving_vm {
    std::string host;
    std::string failureDomain;
    std::string callerAddress;
};

// What one VM needs to know to share a service's traffic with the others.
struct service_view {
    std::vector<std::string> hosts; // Of all VMs that serve the service, sorted.
    bool isServing = false; // Whether this VM is one of them.
    int sharingVms = 1; // VMs that send requests to the same upstreams as this one, itself included.
    std::shared_ptr<const placement::upstream_partition> partition; // This VM's.
};

class serving_cells {
public:
    serving_cells(
        const member_list& members, serving_cells_sources sources, serving_cells_options options = {});

    // Must be called when the configuration has changed.
    void invalidate() { m_isStale = true; }

    // Must be called when the upstreams have changed. The results stay if the number of cells does.
    void noteUpstreamsChanged();

    // Returns the VMs that serve a host, each once. Valid until the next call. VMs that know the same members
    // agree on them, even if they suspect different ones.
    const std::vector<serving_vm>& servingVms(std::string_view host, steady_clock::time_point now);

    // Returns those of the VMs that serve a host to which callers should be sent now: without those that this
    // VM suspects, that are cut off from all upstreams, or that cannot check keys. If that leaves none, those
    // that cannot check keys count, and then all.
    std::vector<serving_vm> offeredVms(std::string_view host, steady_clock::time_point now);

    // Returns this VM's view of a service. Valid until the next call.
    const service_view& viewOf(std::string_view service, steady_clock::time_point now);

    // Returns the hosts of the other VMs that send requests to an upstream of a service, sorted.
    std::vector<std::string> peersSharing(
        std::string_view service, std::string_view upstream, steady_clock::time_point now);

    // Returns the hosts of the other VMs to tell of an upstream's failures and recoveries, sorted: all VMs
    // that serve the service, or those that peersSharing() returns if they are too many. Callers with old
    // directory data, and requests that find no room in their part, reach an upstream through many more VMs
    // than those that share it, and each would meet the same failure.
    std::vector<std::string> evidencePeers(
        std::string_view service, std::string_view upstream, steady_clock::time_point now);

    // Returns whether this VM is among those that peersSharing() of others names.
    bool isSharing(std::string_view service, std::string_view upstream, steady_clock::time_point now);

private:
    // The cells of one host.
    struct host_cells {
        routing::cell_plan plan;
        std::vector<std::vector<std::size_t>> cells; // Indexes into m_candidates.
        std::vector<std::vector<std::string>> peers; // Hosts of the other VMs of each cell, sorted.
        std::vector<int> ownCells;
        std::vector<serving_vm> vms;
    };

    void refresh(steady_clock::time_point now);
    routing::cell_plan planOf(std::string_view host) const;
    const host_cells& cellsOf(std::string_view host);
    service_view makeView(std::string_view service);

    const member_list& m_members;
    const serving_cells_sources m_sources;
    const serving_cells_options m_options;
    bool m_isStale = true;
    std::uint64_t m_generation = 0; // Of the members that the results follow from.
    deadline m_nextRefresh {};
    steady_clock::duration m_refreshCost {}; // Of all recalculations since the last refresh.
    int m_domains = 1; // Failure domains of the candidates.
    std::vector<member> m_candidates;
    std::vector<routing::candidate_node> m_nodes; // Views into m_candidates.
    std::map<std::string, host_cells, std::less<>> m_cells; // By host.
    std::map<std::string, service_view, std::less<>> m_views; // By service.
};

}
