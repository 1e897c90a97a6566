#pragma once

// Looks up the routes of one configuration by host and path, by service and by host.
//
//     route_index index(routes);
//     if (const auto* found = index.find("depot.example", "/bookings/17"))
//         forward(*found);
//
// The cost of a lookup grows with the logarithm of the number of a host's routes. Immutable; the routes must
// outlive it.

#include "marlsill/gateway/route.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marlsill::gateway {

// Returns a host name as lookups compare it: in lower case and without a port.
std::string canonicalHost(std::string_view host);

// See the file comment.
class route_index {
public:
    route_index() = default;
    explicit route_index(std::span<const route> routes);

    // Returns the route of `host` with the longest path prefix that `path` begins with, or nullptr. The port
    // of `host` and the query of `path` are ignored; host names are compared without regard to case. Of two
    // routes with the same host and prefix the first one is returned.
    const route* find(std::string_view host, std::string_view path) const;

    // Returns the distinct canonical hosts that have routes.
    const std::vector<std::string>& hosts() const { return m_hosts; }

    // Returns the distinct services that routes send requests to.
    const std::vector<std::string>& services() const { return m_services; }

    // Returns the distinct canonical hosts that have a route to `service`.
    const std::vector<std::string>& hostsRoutedTo(std::string_view service) const;

    // Returns the distinct services that the routes of `host` send requests to.
    const std::vector<std::string>& servicesOf(std::string_view host) const;

    // Returns whether any route to `service` forbids executing a request twice.
    bool isAtMostOnce(std::string_view service) const;

private:
    static constexpr std::int32_t noParent = -1;

    // A route in the sorted list of its host. `parent` is the index of the longest other prefix that its
    // prefix begins with.
    struct prefix_entry {
        const route* target = nullptr;
        std::int32_t parent = noParent;
    };

    struct host_routes {
        std::vector<prefix_entry> byPrefix; // Sorted by prefix; each prefix once.
        std::vector<std::string> services;
    };

    struct service_routes {
        std::vector<std::string> hosts;
        bool isAtMostOnce = false;
    };

    static void sortAndLink(std::vector<prefix_entry>& entries);
    const host_routes* findHost(std::string_view host) const;

    std::vector<std::string> m_hosts;
    std::vector<std::string> m_services;
    std::unordered_map<std::string, host_routes> m_routesByHost; // By canonical host.
    std::map<std::string, service_routes, std::less<>> m_routesByService;
};

}
