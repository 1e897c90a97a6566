#pragma once

// Builds the immutable routing snapshot that traffic threads read, from the configuration and the membership.
//
//     snapshot_builder builder(ownIncarnation);
//     reason why;
//     auto next = builder.build(tree, directory, why);

#include "marlsill/config/config_tree.h"
#include "marlsill/routing/serving_set.h"
#include "marlsill/routing/snapshot.h"

#include <map>
#include <memory>
#include <string>

namespace marlsill::control {

// Builds snapshots incrementally: successive snapshots share every service and table that did not change. Not
// thread safe.
class snapshot_builder {
public:
    explicit snapshot_builder(std::string ownIncarnation)
        : m_ownIncarnation(std::move(ownIncarnation))
    {
    }

    // Returns the snapshot of a configuration for the entry VMs in `directory`, or a null pointer with the
    // reason in `why` if an entry of the configuration cannot be parsed. Upstreams that are leaving or no
    // longer listed are marked at once, so that requests queued under an older snapshot avoid them, too.
    std::shared_ptr<const routing::snapshot> build(
        const config::config_tree& tree, std::vector<routing::directory_node> directory, reason& why);

private:
    struct known_service {
        std::shared_ptr<const routing::routed_service> place;
        double lowestScore = 0; // The lowest serving score of a member of the serving set.
    };

    using place_pointer = std::shared_ptr<const routing::routed_service>;
    using node_pointer = std::shared_ptr<const routing::directory_node>;

    // Parses a service that was added, changed or removed. Returns whether its entries are valid.
    bool refreshService(const config::config_tree& tree, const std::string& name, reason& why);
    // Replaces the entry VMs and recomputes the serving sets that the change affects.
    void refreshMembers(std::vector<routing::directory_node> directory);
    // Computes a service's serving set and this VM's share of its slots.
    void assignServingSet(routing::routed_service& place, double& lowestScore);
    // Returns whether a change of the entry VMs can change a service's serving set.
    bool isAffected(const known_service& known, const std::vector<routing::candidate_node>& added,
        const std::vector<std::string>& removed) const;
    // Returns the state of an upstream that has kept its name and address, or a new one.
    std::shared_ptr<routing::upstream_state> findOrCreateState(
        const place_pointer& old, const upstream_spec& upstream);
    // Marks the upstreams of `old` that `next` does not list as leaving; all if `next` is a null pointer.
    void markUnlistedUpstreams(const routing::routed_service& old, const routing::routed_service* next);
    std::shared_ptr<const routing::snapshot> assemble(std::int64_t generation);

    const std::string m_ownIncarnation;
    config::config_tree m_lastTree; // The configuration of the last build.
    std::map<std::string, known_service> m_services;
    std::vector<node_pointer> m_nodes;
    std::vector<routing::candidate_node> m_nodeViews; // Views into m_nodes, in the same order.
    std::size_t m_failureDomainCount = 0; // Distinct failure domains among m_nodes.
    std::size_t m_minFailureDomainCount = 0; // The lower of the counts before and after m_nodes last changed.
    std::shared_ptr<const std::vector<node_pointer>> m_directory
        = std::make_shared<std::vector<node_pointer>>();
    std::shared_ptr<const routing::route_table> m_routes; // Null if it must be built again.
};

}
