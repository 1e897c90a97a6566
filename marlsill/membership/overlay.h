#pragma once

// The gossip graph between entry VMs, and the tree in which configuration confirmations are aggregated.
//
//     auto neighbours = neighboursOf(self, present);
//     auto parent = parentOf(self, present);
//
// Every VM computes both from its own member table, without consensus. In the graph, a VM links to its two
// successors on a hash ring, so that every VM is monitored by two others, and to a few VMs chosen by
// rendezvous hashing, which keep the paths short.

#include "marlsill/peer/messages.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::membership {

using peer::member_record;

// Returns the peer addresses of the VMs to which `self` keeps links. Their number is bounded, whatever the
// size of the fleet.
std::vector<std::string> neighboursOf(const member_record& self, std::span<const member_record> present);

// Returns the parent of a VM in the confirmation tree, or std::nullopt if it is the root or not in `present`,
// which is ordered by incarnation.
std::optional<member_record> parentOf(std::string_view self, std::span<const member_record> present);

// Returns the incarnations of a VM's children in the confirmation tree. `present` is ordered by incarnation.
std::vector<std::string> childrenOf(std::string_view self, std::span<const member_record> present);

// Returns whether `self` is one of the `watchersPerRegion` VMs of its region that watch the platform.
bool isWatcher(const member_record& self, std::span<const member_record> present, int watchersPerRegion);

}
