#pragma once

// Turns configuration and membership into the snapshot that traffic threads route by.
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

// Keeps what is shared between successive snapshots, so that a change costs no more than it must. Not thread
// safe.
class snapshot_builder {
public:
    explicit snapshot_builder(std::string ownIncarnation)
        : m_ownIncarnation(std::move(ownIncarnation))
    {
    }

    // Returns the snapshot of a configuration for the entry VMs in `directory`, or a null pointer if an entry
    // cannot be read. Upstreams that are leaving or gone are marked at once, also for requests that wait.
    std::shared_ptr<const routing::snapshot> build(
        const config::config_tree& tree, std::vector<routing::directory_node> directory, reason& why);

private:
    struct known_service {
        std::shared_ptr<const routing::routed_service> place;
        double lowestScore = 0; // Of the members of its serving set.
    };

    using place_pointer = std::shared_ptr<const routing::routed_service>;
    using node_pointer = std::shared_ptr<const routing::directory_node>;

    bool refreshService(const config::config_tree& tree, const std::string& name, reason& why);
    void refreshMembers(std::vector<routing::directory_node> directory);
    void placeMembers(routing::routed_service& place, double& lowestScore);
    bool isAffected(const known_service& known, const std::vector<routing::candidate_node>& added,
        const std::vector<std::string>& removed) const;
    std::shared_ptr<routing::upstream_state> stateOf(const place_pointer& old, const upstream_spec& upstream);
    void markGone(const routing::routed_service& old, const routing::routed_service* next);
    std::shared_ptr<const routing::snapshot> assemble(std::int64_t generation);

    const std::string m_ownIncarnation;
    config::config_tree m_tree; // Of the last build.
    std::map<std::string, known_service> m_services;
    std::vector<node_pointer> m_nodes;
    std::vector<routing::candidate_node> m_places; // Views into m_nodes, in the same order.
    std::size_t m_domains = 0;
    std::size_t m_fewestDomains = 0; // Before and after the last change of members.
    std::shared_ptr<const std::vector<node_pointer>> m_directory
        = std::make_shared<std::vector<node_pointer>>();
    std::shared_ptr<const routing::route_table> m_routes;
};

}
