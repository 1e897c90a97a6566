#include "marlsill/gateway/route_index.h"

#include <algorithm>
#include <set>
#include <utility>

namespace marlsill::gateway {

namespace {

    const std::vector<std::string> noNames;

}

std::string canonicalHost(std::string_view host)
{
    std::string canonical(host.substr(0, host.find(':')));
    std::transform(canonical.begin(), canonical.end(), canonical.begin(),
        [](char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32) : letter; });
    return canonical;
}

route_index::route_index(std::span<const route> routes)
{
    std::set<std::pair<std::string, std::string_view>> known; // Hosts and services of routes.
    for (const auto& each : routes) {
        auto host = canonicalHost(each.host);
        auto [found, isNew] = m_routesByHost.try_emplace(host);
        if (isNew) {
            m_hosts.push_back(host);
        }
        found->second.byPrefix.push_back({ &each });
        for (const auto& part : each.weightedServices) {
            auto [entry, isNewService] = m_routesByService.try_emplace(part.service);
            auto& service = entry->second;
            if (isNewService) {
                m_services.push_back(part.service);
            }
            if (known.emplace(host, part.service).second) {
                found->second.services.push_back(part.service);
                service.hosts.push_back(host);
            }
            service.isAtMostOnce = service.isAtMostOnce || each.isAtMostOnce;
        }
    }
    for (auto& [host, entries] : m_routesByHost) {
        sortAndLink(entries.byPrefix);
    }
}

void route_index::sortAndLink(std::vector<prefix_entry>& entries)
{
    std::stable_sort(entries.begin(), entries.end(), [](const prefix_entry& left, const prefix_entry& right) {
        return left.target->pathPrefix < right.target->pathPrefix;
    });
    auto hasSamePrefix = [](const prefix_entry& left, const prefix_entry& right) {
        return left.target->pathPrefix == right.target->pathPrefix;
    };
    entries.erase(std::unique(entries.begin(), entries.end(), hasSamePrefix), entries.end());
    for (std::size_t index = 1; index < entries.size(); ++index) {
        auto candidate = static_cast<std::int32_t>(index) - 1;
        const auto& prefix = entries[index].target->pathPrefix;
        while (candidate != noParent
            && !prefix.starts_with(entries[static_cast<std::size_t>(candidate)].target->pathPrefix)) {
            candidate = entries[static_cast<std::size_t>(candidate)].parent;
        }
        entries[index].parent = candidate;
    }
}

const route_index::host_routes* route_index::findHost(std::string_view host) const
{
    auto found = m_routesByHost.find(canonicalHost(host));
    return found == m_routesByHost.end() ? nullptr : &found->second;
}

const route* route_index::find(std::string_view host, std::string_view path) const
{
    const auto* known = findHost(host);
    if (!known) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    const auto& entries = known->byPrefix;
    // Every prefix of the path is the last entry not above the path, or an ancestor of that entry.
    auto above = std::upper_bound(entries.begin(), entries.end(), path,
        [](std::string_view value, const prefix_entry& each) { return value < each.target->pathPrefix; });
    auto candidate = static_cast<std::int32_t>(above - entries.begin()) - 1;
    while (candidate != noParent) {
        const auto& each = entries[static_cast<std::size_t>(candidate)];
        if (path.starts_with(each.target->pathPrefix)) {
            return each.target;
        }
        candidate = each.parent;
    }
    return nullptr;
}

const std::vector<std::string>& route_index::hostsRoutedTo(std::string_view service) const
{
    auto found = m_routesByService.find(service);
    return found == m_routesByService.end() ? noNames : found->second.hosts;
}

const std::vector<std::string>& route_index::servicesOf(std::string_view host) const
{
    const auto* known = findHost(host);
    return known ? known->services : noNames;
}

bool route_index::isAtMostOnce(std::string_view service) const
{
    auto found = m_routesByService.find(service);
    return found != m_routesByService.end() && found->second.isAtMostOnce;
}

}
