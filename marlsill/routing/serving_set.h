#pragma once

// Chooses the entry VMs that take a service's traffic.
//
//     auto members = servingSet("bookings", servingSetSize(30), nodes);
//
// Rendezvous hashing (Thaler and Ravishankar, 1998) gives every VM the same answer without agreement, and a
// VM that comes or goes changes only its own places. Picks are spread over the failure domains.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::routing {

// One entry VM that may take traffic.
struct candidate_node {
    std::string_view incarnation;
    std::string_view failureDomain;
    double weight = 1; // Above zero; a VM of twice the weight gets twice the services.
};

// Returns how many entry VMs a service with `slots` slots in all is given.
int servingSetSize(int slots);

// Returns a node's score for a service; the nodes with the highest scores are chosen.
double servingScore(std::string_view service, const candidate_node& node);

// Returns the indexes of at most `size` nodes, best first. No failure domain gets a further member while
// another one that still has nodes has fewer.
std::vector<std::size_t> servingSet(
    std::string_view service, int size, std::span<const candidate_node> nodes);

// Returns how many slots of one upstream belong to the member at `member` of a serving set of `members`. A
// service's slots are numbered through all its upstreams, the first of this one being `firstSlot`, and dealt
// out in turn, so that the members' totals differ by one at most.
int slotShare(int firstSlot, int slots, std::size_t member, std::size_t members);

}
