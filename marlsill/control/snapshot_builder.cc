#include "marlsill/control/snapshot_builder.h"

#include "marlsill/routing/serving_set.h"

#include <algorithm>
#include <limits>
#include <set>

namespace marlsill::control {

namespace {

    constexpr std::string_view inventoryPrefix = "inventory/";
    constexpr std::string_view rulesPrefix = "rules/";

    // Returns the name of the service that a configuration entry belongs to.
    std::string serviceNameOf(const std::string& key)
    {
        auto prefix = key.starts_with(inventoryPrefix) ? inventoryPrefix : rulesPrefix;
        return key.substr(prefix.size());
    }

    int totalSlots(const routing::routed_service& place)
    {
        int slots = 0;
        for (const auto& each : place.upstreams) {
            slots += each.spec.slots;
        }
        return slots;
    }

    bool isSameNode(const routing::directory_node& left, const routing::directory_node& right)
    {
        return left.incarnation == right.incarnation && left.callerAddress == right.callerAddress
            && left.failureDomain == right.failureDomain && left.peerAddress == right.peerAddress;
    }

}

std::shared_ptr<const routing::snapshot> snapshot_builder::build(
    const config::config_tree& tree, std::vector<routing::directory_node> directory, reason& why)
{
    refreshMembers(std::move(directory));
    std::set<std::string> changed;
    for (const auto& key : tree.keysDifferentFrom(m_lastTree)) {
        changed.insert(serviceNameOf(key));
    }
    for (const auto& name : changed) {
        if (!refreshService(tree, name, why)) {
            return nullptr;
        }
    }
    m_lastTree = tree;
    return assemble(tree.head().generation);
}

std::shared_ptr<const routing::snapshot> snapshot_builder::assemble(std::int64_t generation)
{
    auto next = std::make_shared<routing::snapshot>();
    next->generation = generation;
    next->directory = m_directory;
    next->services.reserve(m_services.size());
    for (const auto& [name, known] : m_services) {
        next->services.push_back(known.place);
    }
    if (!m_routes) {
        std::vector<routing::route> routes;
        for (routing::service_index index = 0; index < next->services.size(); ++index) {
            for (const auto& each : next->services[index]->rules.routes) {
                routes.push_back({ each.host, each.pathPrefix, index });
            }
        }
        m_routes = std::make_shared<routing::route_table>(routes);
    }
    next->routes = m_routes;
    return next;
}

bool snapshot_builder::refreshService(const config::config_tree& tree, const std::string& name, reason& why)
{
    auto known = m_services.find(name);
    place_pointer old = known == m_services.end() ? nullptr : known->second.place;
    auto inventoryText = tree.entry(config::inventoryKey(name));
    if (!inventoryText) {
        if (old) {
            markUnlistedUpstreams(*old, nullptr);
            m_services.erase(known);
            m_routes.reset();
        }
        return true;
    }
    auto rulesText = tree.entry(config::rulesKey(name));
    auto inventory = parseServiceInventory(*inventoryText, why);
    auto rules
        = rulesText ? parseServiceRules(*rulesText, why) : std::optional(service_rules { .name = name });
    if (!inventory || !rules) {
        return false;
    }
    auto place = std::make_shared<routing::routed_service>();
    place->name = name;
    place->rules = std::move(*rules);
    for (auto& upstream : inventory->upstreams) {
        auto state = findOrCreateState(old, upstream);
        const auto& leaving = place->rules.leaving;
        state->isLeaving = std::find(leaving.begin(), leaving.end(), upstream.name) != leaving.end();
        place->upstreams.push_back({ std::move(upstream), std::move(state) });
    }
    if (old) {
        markUnlistedUpstreams(*old, place.get());
    }
    if (!old || old->rules.routes != place->rules.routes) {
        m_routes.reset();
    }
    auto& entry = m_services[name];
    assignServingSet(*place, entry.lowestScore);
    entry.place = std::move(place);
    return true;
}

std::shared_ptr<routing::upstream_state> snapshot_builder::findOrCreateState(
    const place_pointer& old, const upstream_spec& upstream)
{
    if (old) {
        for (const auto& each : old->upstreams) {
            if (each.spec.name == upstream.name && each.spec.address == upstream.address) {
                return each.state;
            }
        }
    }
    return std::make_shared<routing::upstream_state>(upstream.name, upstream.address);
}

// Requests that were routed by an older snapshot must not reach an upstream that is no longer listed.
void snapshot_builder::markUnlistedUpstreams(
    const routing::routed_service& old, const routing::routed_service* next)
{
    for (const auto& each : old.upstreams) {
        bool isListed = next
            && std::any_of(next->upstreams.begin(), next->upstreams.end(),
                [&](const auto& other) { return other.state == each.state; });
        if (!isListed) {
            each.state->isLeaving = true;
        }
    }
}

void snapshot_builder::assignServingSet(routing::routed_service& place, double& lowestScore)
{
    auto members = routing::servingSet(place.name, routing::servingSetSize(totalSlots(place)), m_nodeViews);
    place.members.clear();
    place.isMember = false;
    lowestScore = std::numeric_limits<double>::max();
    std::size_t position = 0;
    for (std::size_t index = 0; index < members.size(); ++index) {
        auto member = members[index];
        place.members.push_back(m_nodes[member]);
        lowestScore = std::min(lowestScore, routing::servingScore(place.name, m_nodeViews[member]));
        if (m_nodeViews[member].incarnation == m_ownIncarnation) {
            place.isMember = true;
            position = index;
        }
    }
    int firstSlot = 0;
    for (auto& each : place.upstreams) {
        each.ownSlots
            = place.isMember ? routing::slotShare(firstSlot, each.spec.slots, position, members.size()) : 0;
        firstSlot += each.spec.slots;
    }
}

void snapshot_builder::refreshMembers(std::vector<routing::directory_node> directory)
{
    std::map<std::string_view, node_pointer> old;
    for (const auto& each : m_nodes) {
        old.emplace(each->incarnation, each);
    }
    std::vector<node_pointer> nodes;
    std::vector<std::size_t> addedIndexes;
    std::set<std::string_view> domains;
    for (auto& each : directory) {
        auto found = old.find(each.incarnation);
        if (found != old.end() && isSameNode(*found->second, each)) {
            nodes.push_back(std::move(found->second));
            old.erase(found);
        } else {
            addedIndexes.push_back(nodes.size());
            nodes.push_back(std::make_shared<routing::directory_node>(std::move(each)));
        }
    }
    std::vector<std::string> removed;
    for (const auto& [incarnation, node] : old) {
        removed.emplace_back(incarnation);
    }
    if (removed.empty() && addedIndexes.empty()) {
        return;
    }
    m_nodes = std::move(nodes);
    m_nodeViews.clear();
    for (const auto& each : m_nodes) {
        m_nodeViews.push_back({ each->incarnation, each->failureDomain });
        domains.insert(each->failureDomain);
    }
    m_minFailureDomainCount = std::min(m_failureDomainCount, domains.size());
    m_failureDomainCount = domains.size();
    m_directory = std::make_shared<std::vector<node_pointer>>(m_nodes);
    std::vector<routing::candidate_node> added;
    for (auto index : addedIndexes) {
        added.push_back(m_nodeViews[index]);
    }
    for (auto& [name, known] : m_services) {
        if (isAffected(known, added, removed)) {
            auto next = std::make_shared<routing::routed_service>(*known.place);
            assignServingSet(*next, known.lowestScore);
            known.place = std::move(next);
        }
    }
}

// A VM that leaves the fleet affects only the serving sets that it is a member of. A VM that joins affects a
// serving set only if its score is not below that of every member, or if there are too few failure domains to
// fill the set with VMs of different ones. A serving set below its target size is always recomputed.
bool snapshot_builder::isAffected(const known_service& known,
    const std::vector<routing::candidate_node>& added, const std::vector<std::string>& removed) const
{
    const auto& place = *known.place;
    auto targetSize = static_cast<std::size_t>(routing::servingSetSize(totalSlots(place)));
    if (place.members.size() < targetSize || (!added.empty() && m_minFailureDomainCount < targetSize)) {
        return true;
    }
    bool losesMember = std::any_of(place.members.begin(), place.members.end(), [&](const auto& member) {
        return std::find(removed.begin(), removed.end(), member->incarnation) != removed.end();
    });
    return losesMember || std::any_of(added.begin(), added.end(), [&](const auto& node) {
        return routing::servingScore(place.name, node) >= known.lowestScore;
    });
}

}
