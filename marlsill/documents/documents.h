#pragma once

// The operators' documents: the inventory of services and upstreams, and the rules.
//
//     reason why;
//     auto inventory = parseInventory(text, why);
//     if (!inventory)
//         refuse(why.text); // Such as: services[0].upstreams[2].slots: must be a whole number from 1 to
//         10000.

#include "marlsill/base/reason.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill {

// One upstream, as the operators' asset register lists it.
struct upstream_spec {
    std::string name;
    std::string address; // ip:port
    std::string failureDomain;
    int slots = 1; // Requests that it runs at the same time.
    int connections = 300; // Connections that it accepts from the whole fleet.

    bool operator==(const upstream_spec&) const = default;
};

// The upstreams of one service.
struct service_inventory {
    std::string name;
    std::vector<upstream_spec> upstreams;

    bool operator==(const service_inventory&) const = default;
};

// The requests that a service receives. An empty host matches every host.
struct route_spec {
    std::string host;
    std::string pathPrefix;

    bool operator==(const route_spec&) const = default;
};

// Requests that may run at most once. An empty method matches every method.
struct not_repeatable_spec {
    std::string method;
    std::string pathPrefix;

    bool operator==(const not_repeatable_spec&) const = default;
};

// What a service promises to its callers, for the service-level report.
struct objective_spec {
    double availability = 0.999; // Share of requests, between 0 and 1.
    int latencyMilliseconds = 1000;

    bool operator==(const objective_spec&) const = default;
};

// The rules of one service.
struct service_rules {
    std::string name;
    std::vector<route_spec> routes;
    int floorSlots = 0; // Admitted capacity that ejections must leave.
    std::vector<not_repeatable_spec> notRepeatable;
    bool requiresKey = false; // Refuse requests that are not repeatable and carry no idempotency key.
    double detectionWeight = 0.5; // 0 avoids false ejections above all, 1 detects as fast as possible.
    int retryPercent = 10; // Retries per hundred requests.
    int timeoutMilliseconds = 5000; // Of a request whose caller states no deadline.
    std::vector<std::string> leaving; // Upstreams that get no new work because of a planned stop.
    objective_spec objective;

    bool operator==(const service_rules&) const = default;
};

// A whole document. `baseGeneration` is the generation of the document that its author had read, 0 for none.
struct inventory_document {
    std::int64_t baseGeneration = 0;
    std::vector<service_inventory> services;
};

struct rules_document {
    std::int64_t baseGeneration = 0;
    std::vector<service_rules> services;
};

// Parses and checks a whole document. On failure the reason names the path of the offending value. Unknown
// fields and repeated names are refused.
std::optional<inventory_document> parseInventory(std::string_view text, reason& why);
std::optional<rules_document> parseRules(std::string_view text, reason& why);

// Parses one service's part of a document, as it is stored.
std::optional<service_inventory> parseServiceInventory(std::string_view text, reason& why);
std::optional<service_rules> parseServiceRules(std::string_view text, reason& why);

// Returns the compact JSON of one service's part; equal parts give equal bytes.
std::string toJson(const service_inventory& service);
std::string toJson(const service_rules& service);

// Returns a whole document as indented JSON that can be edited and submitted again.
std::string toJson(const inventory_document& document);
std::string toJson(const rules_document& document);

// Checks an inventory and rules against each other: rules name existing services and upstreams, floors can be
// met by the upstreams that are not leaving, and no route is given twice. Returns whether they agree.
bool agree(
    const std::vector<service_inventory>& inventory, const std::vector<service_rules>& rules, reason& why);

}
