#include "marlsill/cluster/serving_cells.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace marlsill::cluster {

serving_cells::serving_cells(
    const member_list& members, serving_cells_sources sources, serving_cells_options options)
    : m_members(members)
    , m_sources(std::move(sources))
    , m_options(options)
{
}

void serving_cells::refresh(steady_clock::time_point now)
{
    bool haveMembersChanged = m_members.generation() != m_generation && hasPassed(m_nextRefresh, now);
    if (!m_isStale && !haveMembersChanged) {
        return;
    }
    m_isStale = false;
    m_generation = m_members.generation();
    m_nextRefresh = now
        + std::max<steady_clock::duration>(
            m_options.minRefreshInterval, m_options.refreshIntervalPerCost * m_refreshCost);
    m_refreshCost = {};
    m_candidates.clear();
    for (const auto* each : m_members.eligibleMembers()) {
        m_candidates.push_back(*each);
    }
    m_nodes.clear();
    for (const auto& each : m_candidates) {
        m_nodes.push_back({ each.host, each.failureDomain, each.capacity });
    }
    std::set<std::string_view> domains;
    for (const auto& each : m_nodes) {
        domains.insert(each.failureDomain);
    }
    m_domains = std::max(1, static_cast<int>(domains.size()));
    m_cells.clear();
    m_views.clear();
}

void serving_cells::noteUpstreamsChanged()
{
    auto isOutdated = [this](const auto& each) { return !(planOf(each.first) == each.second.plan); };
    if (std::erase_if(m_cells, isOutdated) > 0) {
        m_views.clear();
    }
}

routing::cell_plan serving_cells::planOf(std::string_view host) const
{
    return routing::planCells(m_sources.slotsOf(host), m_domains);
}

const serving_cells::host_cells& serving_cells::cellsOf(std::string_view host)
{
    if (auto found = m_cells.find(host); found != m_cells.end()) {
        return found->second;
    }
    auto startedAt = steady_clock::now();
    auto plan = planOf(host);
    host_cells result { .plan = plan };
    std::set<std::size_t> listed;
    for (int cell = 0; cell < plan.cells; ++cell) {
        auto chosen = routing::servingSet(routing::cellName(host, cell), plan.vmsPerCell, m_nodes);
        bool isOwn = false;
        std::vector<std::string> peers;
        for (auto index : chosen) {
            const auto& vm = m_candidates[index];
            if (vm.host == m_members.self().host) {
                isOwn = true;
            } else {
                peers.push_back(vm.host);
            }
            if (listed.insert(index).second) {
                result.vms.push_back({ vm.host, vm.failureDomain, vm.callerAddress });
            }
        }
        if (isOwn) {
            result.ownCells.push_back(cell);
        }
        std::sort(peers.begin(), peers.end());
        result.peers.push_back(std::move(peers));
        result.cells.push_back(std::move(chosen));
    }
    m_refreshCost += steady_clock::now() - startedAt;
    return m_cells.emplace(std::string(host), std::move(result)).first->second;
}

const std::vector<serving_vm>& serving_cells::servingVms(std::string_view host, steady_clock::time_point now)
{
    refresh(now);
    return cellsOf(host).vms;
}

std::vector<serving_vm> serving_cells::offeredVms(std::string_view host, steady_clock::time_point now)
{
    const auto& all = servingVms(host, now);
    std::vector<serving_vm> reachable;
    std::copy_if(all.begin(), all.end(), std::back_inserter(reachable), [this](const auto& each) {
        return !m_members.isSuspect(each.host) && !m_members.isCutOff(each.host);
    });
    if (reachable.empty()) {
        return all;
    }
    std::vector<serving_vm> offered;
    std::copy_if(reachable.begin(), reachable.end(), std::back_inserter(offered),
        [this](const auto& each) { return !m_members.hasStaleKeys(each.host); });
    return offered.empty() ? reachable : offered;
}

service_view serving_cells::makeView(std::string_view service)
{
    std::set<std::string> all;
    std::set<std::string_view> sharing { m_members.self().host };
    placement::upstream_partition partition;
    for (const auto& host : m_sources.hostsOf(service)) {
        const auto& cells = cellsOf(host);
        for (const auto& vm : cells.vms) {
            all.insert(vm.host);
        }
        // Callers with stale directory data also use VMs outside the cells; those join one of them.
        auto own = cells.ownCells;
        if (own.empty()) {
            own.push_back(routing::cellOf(m_members.self().host, static_cast<int>(cells.cells.size())));
        }
        std::vector<std::vector<placement::sharing_vm>> vms;
        for (int cell : own) {
            auto& ofCell = vms.emplace_back();
            for (auto index : cells.cells[static_cast<std::size_t>(cell)]) {
                const auto& vm = m_candidates[index];
                sharing.insert(vm.host);
                ofCell.push_back({ vm.host, vm.failureDomain });
            }
        }
        partition.divisions.push_back(
            { static_cast<int>(cells.cells.size()), std::move(own), std::move(vms) });
    }
    partition.self = m_members.self().host;
    service_view view { .hosts = { all.begin(), all.end() },
        .isServing = all.contains(m_members.self().host),
        .sharingVms = static_cast<int>(sharing.size()),
        .partition = std::make_shared<const placement::upstream_partition>(std::move(partition)) };
    return view;
}

const service_view& serving_cells::viewOf(std::string_view service, steady_clock::time_point now)
{
    refresh(now);
    auto found = m_views.find(service);
    return found != m_views.end() ? found->second
                                  : m_views.emplace(std::string(service), makeView(service)).first->second;
}

std::vector<std::string> serving_cells::peersSharing(
    std::string_view service, std::string_view upstream, steady_clock::time_point now)
{
    refresh(now);
    std::vector<std::string> peers;
    for (const auto& host : m_sources.hostsOf(service)) {
        const auto& cells = cellsOf(host).peers;
        const auto& ofCell
            = cells[static_cast<std::size_t>(routing::cellOf(upstream, static_cast<int>(cells.size())))];
        std::vector<std::string> merged;
        std::set_union(peers.begin(), peers.end(), ofCell.begin(), ofCell.end(), std::back_inserter(merged));
        peers = std::move(merged);
    }
    return peers;
}

std::vector<std::string> serving_cells::evidencePeers(
    std::string_view service, std::string_view upstream, steady_clock::time_point now)
{
    auto peers = viewOf(service, now).hosts;
    if (peers.size() > m_options.maxEvidencePeers) {
        return peersSharing(service, upstream, now);
    }
    std::erase(peers, m_members.self().host);
    return peers;
}

bool serving_cells::isSharing(
    std::string_view service, std::string_view upstream, steady_clock::time_point now)
{
    refresh(now);
    auto hosts = m_sources.hostsOf(service);
    return std::any_of(hosts.begin(), hosts.end(), [&](const auto& host) {
        const auto& known = cellsOf(host);
        int cell = routing::cellOf(upstream, static_cast<int>(known.cells.size()));
        return std::find(known.ownCells.begin(), known.ownCells.end(), cell) != known.ownCells.end();
    });
}

}
