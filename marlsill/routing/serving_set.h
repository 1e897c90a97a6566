#pragma once

// Selects the entry VMs that serve a service's traffic.
//
//     auto members = servingSet("bookings", servingSetSize(30), nodes);
//
// A host with more upstreams than a dozen VMs can serve is divided into cells. Each cell is a serving set of
// its own that sends requests to its own part of the upstreams. Cells are small: the VMs of a cell tell each
// other what they observe, and the failures of an upstream are noticed as soon by few VMs that send it all of
// its requests as by many:
//
//     auto plan = planCells(1'044, 5);
//     auto members = servingSet(cellName("bookings", 3), plan.vmsPerCell, nodes);
//     bool isInCell = cellOf("upstream-17", plan.cells) == 3;
//
// Uses weighted rendezvous hashing (Thaler and Ravishankar, 1998): every VM computes the same set without
// coordination, and a VM that joins or leaves changes only the sets that it belongs to. Members are spread
// over the failure domains.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::routing {

// An entry VM that is eligible for serving sets.
struct candidate_node {
    std::string_view incarnation;
    std::string_view failureDomain;
    double weight = 1; // Greater than zero; the expected number of services is proportional to it.
};

// Returns the size of the serving set of a service that has `slots` slots over all its upstreams.
int servingSetSize(int slots);

// How a host's traffic is divided among VMs.
struct cell_plan {
    int cells = 1;
    int vmsPerCell = 0;

    bool operator==(const cell_plan&) const = default;
};

// Returns the division for a host whose services have `slots` slots over all their upstreams, in a fleet of
// `domains` failure domains. The number of VMs is a multiple of `domains`.
cell_plan planCells(int slots, int domains);

// Returns the name of a cell, to select its VMs. The first cell has the host's own name.
std::string cellName(std::string_view host, int cell);

// Returns the cell, from 0 to `cells` - 1, that sends requests to an upstream. A further cell takes over
// upstreams in equal parts from the others and moves none between them (jump consistent hash; Lamping and
// Veach, 2014).
int cellOf(std::string_view upstream, int cells);

// Returns a node's rendezvous score for a service. Nodes with higher scores are preferred.
double servingScore(std::string_view service, const candidate_node& node);

// Returns the indexes of the selected nodes, at most `size`. Nodes are taken in rounds by descending score,
// and each round takes at most one node of every failure domain, so that the domains' numbers of members
// differ by at most one except where a domain has no nodes left.
std::vector<std::size_t> servingSet(
    std::string_view service, int size, std::span<const candidate_node> nodes);

// Returns how many of an upstream's `slots` slots belong to the member with index `member` in a serving set
// of `members` members. The slots of a service are numbered consecutively over all its upstreams, `firstSlot`
// being this upstream's first, and assigned round-robin, so that the members' totals differ by at most one.
int slotShare(int firstSlot, int slots, std::size_t member, std::size_t members);

}
