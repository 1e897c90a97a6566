#pragma once

// The routing configuration of the request path, and the lookup of routes in it.
//
//     if (const auto* found = configuration.findRoute(host, path))
//         forward(*found);

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::gateway {

// A service and its share of a route's traffic.
struct weighted_service {
    std::string service;
    double weight = 1; // Relative to the route's other services.
};

// A routing rule: which services handle the requests for a host and path prefix, and under which limits.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    bool isAtMostOnce = true; // A request is resent only if no upstream can have executed it.
    std::chrono::milliseconds timeout { 10'000 }; // From the request's arrival to its final response.
    std::chrono::milliseconds latencyObjective { 1'000 }; // A response within it counts as on time.
    int priority = 0; // 0 is the highest.
    int maxUpstreams = 1; // Upstreams that may execute one request, the first included.
    std::vector<weighted_service> weightedServices;
};

// Limits on the size and the timing of callers' requests.
struct caller_limits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 3'000 }; // From the first byte to the end of the header.
    std::chrono::milliseconds idleTimeout { 15'000 }; // Without a request in flight.
};

// One version of the configuration. A higher version replaces a lower one.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    caller_limits limits;

    // Returns the route of `host` with the longest matching path prefix, or nullptr if none matches. The port
    // of `host` and the query of `path` are ignored; host names are compared without regard to case.
    const route* findRoute(std::string_view host, std::string_view path) const;

    // Returns whether any route matches this host. Ports are ignored.
    bool hasHost(std::string_view host) const;

    // Returns the distinct hosts that have a route to `service`.
    std::vector<std::string> hostsRoutedTo(std::string_view service) const;

    // Returns the distinct services that the routes of `host` send requests to.
    std::vector<std::string> servicesOf(std::string_view host) const;

    // Returns whether any route to `service` forbids executing a request twice.
    bool isAtMostOnce(std::string_view service) const;
};

// Picks one of the route's services in proportion to their weights. `fraction` is a random number from 0
// to 1. Returns nullptr if no service has a positive weight.
const weighted_service* pickWeightedService(const route& from, double fraction);

}
