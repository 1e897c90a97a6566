#include "marlsill/gateway/configuration.h"

#include <Poco/String.h>
#include <algorithm>

namespace marlsill::gateway {

namespace {

    std::string_view withoutPort(std::string_view host) { return host.substr(0, host.find(':')); }

    bool routesTo(const route& from, std::string_view service)
    {
        return std::any_of(from.weightedServices.begin(), from.weightedServices.end(),
            [&](const weighted_service& part) { return part.service == service; });
    }

    bool isSameHost(std::string_view left, std::string_view right)
    {
        return Poco::icompare(std::string(withoutPort(left)), std::string(withoutPort(right))) == 0;
    }

}

const route* configuration::findRoute(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    const route* longest = nullptr;
    for (const auto& each : routes) {
        bool isLonger = !longest || each.pathPrefix.size() > longest->pathPrefix.size();
        if (isLonger && path.starts_with(each.pathPrefix) && isSameHost(each.host, host)) {
            longest = &each;
        }
    }
    return longest;
}

bool configuration::hasHost(std::string_view host) const
{
    return std::any_of(
        routes.begin(), routes.end(), [&](const route& each) { return isSameHost(each.host, host); });
}

std::vector<std::string> configuration::hostsRoutedTo(std::string_view service) const
{
    std::vector<std::string> hosts;
    for (const auto& each : routes) {
        bool isListed = std::find(hosts.begin(), hosts.end(), each.host) != hosts.end();
        if (!isListed && routesTo(each, service)) {
            hosts.push_back(each.host);
        }
    }
    return hosts;
}

std::vector<std::string> configuration::servicesOf(std::string_view host) const
{
    std::vector<std::string> services;
    for (const auto& each : routes) {
        for (const auto& part : each.weightedServices) {
            bool isListed = std::find(services.begin(), services.end(), part.service) != services.end();
            if (!isListed && isSameHost(each.host, host)) {
                services.push_back(part.service);
            }
        }
    }
    return services;
}

bool configuration::isAtMostOnce(std::string_view service) const
{
    return std::any_of(routes.begin(), routes.end(),
        [&](const route& each) { return each.isAtMostOnce && routesTo(each, service); });
}

const weighted_service* pickWeightedService(const route& from, double fraction)
{
    double totalWeight = 0;
    for (const auto& each : from.weightedServices) {
        totalWeight += each.weight;
    }
    double remaining = fraction * totalWeight;
    const weighted_service* picked = nullptr;
    for (const auto& each : from.weightedServices) {
        if (each.weight <= 0) {
            continue;
        }
        picked = &each;
        remaining -= each.weight;
        if (remaining < 0) {
            break;
        }
    }
    return picked;
}

}
