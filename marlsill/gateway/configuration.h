#pragma once

// The configuration that the request path works with, and the lookup of routes.
//
//     if (const auto* found = configuration.findRoute(host, path))
//         forward(*found);

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::gateway {

// A service and its share of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1; // Relative to the other parts of the route.
};

// Where requests of one host and path prefix go, and what may be done with them.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    bool isAtMostOnce = true;
    std::chrono::milliseconds timeout { 10'000 }; // The longest time until the final answer.
    std::chrono::milliseconds latencyObjective { 1'000 }; // Within it an answer has its full worth.
    int priority = 0; // 0 is the highest.
    int maxUpstreams = 1; // To which one request may be sent.
    std::vector<weighted_service> weightedServices;
};

// What a caller may send, and how long it may take.
struct caller_limits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 3'000 };
    std::chrono::milliseconds idleTimeout { 15'000 };
};

// One version of the configuration; a higher version replaces it.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    caller_limits limits;

    // Returns the route of `host` with the longest prefix of `path`, or nullptr. `path` may hold a query.
    const route* findRoute(std::string_view host, std::string_view path) const;

    // Returns whether any route has this host.
    bool hasHost(std::string_view host) const;

    // Returns the hosts with a route that leads to `service`, each once.
    std::vector<std::string> hostsRoutedTo(std::string_view service) const;

    // Returns the services that the routes of a host lead to, each once.
    std::vector<std::string> servicesOf(std::string_view host) const;

    // Returns whether a route that leads to `service` may not be repeated.
    bool isAtMostOnce(std::string_view service) const;
};

// Returns the part that `fraction` (0 to 1) falls on, by weight; nullptr if no part has weight.
const weighted_service* pickPart(const route& from, double fraction);

}
