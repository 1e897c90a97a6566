#pragma once

// A routing rule of the request path, and the choice among its services.
//
//     if (const auto* target = pickWeightedService(matched, uniformRandom))
//         forwardTo(target->service);

#include <chrono>
#include <string>
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
    bool isPublic = false; // Needs no key, and is served without an account.
    std::vector<weighted_service> weightedServices;
};

// Picks one of the route's services in proportion to their weights. `fraction` is a random number from 0
// to 1. Returns nullptr if no service has a positive weight.
const weighted_service* pickWeightedService(const route& from, double fraction);

}
