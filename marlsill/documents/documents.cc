#include "marlsill/documents/documents.h"

#include "marlsill/documents/internal/value_reader.h"

#include <algorithm>
#include <set>

namespace marlsill {

namespace {

    using internal::object_reader;
    using internal::read_failure;
    using nlohmann::json;

    constexpr std::size_t maxNameLength = 128;
    constexpr std::size_t maxPathLength = 1024;
    constexpr internal::integer_range slotRange { 1, 10'000 };
    constexpr internal::integer_range connectionRange { 1, 1'000'000 };
    constexpr internal::integer_range floorRange { 0, 1'000'000'000 };
    constexpr internal::integer_range percentRange { 0, 100 };
    constexpr internal::integer_range timeoutRange { 1, 3'600'000 };
    constexpr internal::integer_range generationRange { 0, 1'000'000'000'000 };

    // Reports a name that occurs a second time.
    class unique_names {
    public:
        explicit unique_names(read_failure& failure)
            : m_failure(failure)
        {
        }

        void add(const std::string& name, const std::string& path)
        {
            if (!m_names.insert(name).second) {
                m_failure.set(path, "repeats the name '" + name + "'");
            }
        }

    private:
        std::set<std::string> m_names;
        read_failure& m_failure;
    };

    bool isAddress(const std::string& text)
    {
        auto colon = text.rfind(':');
        if (colon == std::string::npos) {
            return false;
        }
        auto host = text.substr(0, colon);
        auto port = text.substr(colon + 1);
        bool isNumeric = !host.empty() && host.find_first_not_of("0123456789.") == std::string::npos
            && std::count(host.begin(), host.end(), '.') == 3;
        bool isPort = !port.empty() && port.size() <= 5
            && port.find_first_not_of("0123456789") == std::string::npos && std::stoi(port) >= 1
            && std::stoi(port) <= 65535;
        return isNumeric && isPort;
    }

    std::string readPathPrefix(object_reader& reader, const std::string& path, read_failure& failure)
    {
        auto prefix = reader.text("path_prefix", maxPathLength);
        if (!prefix.empty() && prefix.front() != '/') {
            failure.set(path + ".path_prefix", "must begin with /");
        }
        return prefix;
    }

    upstream_spec readUpstream(const json& value, const std::string& path, read_failure& failure)
    {
        object_reader reader(value, path, failure);
        upstream_spec upstream;
        upstream.name = reader.text("name", maxNameLength);
        upstream.address = reader.text("address", maxNameLength);
        upstream.failureDomain = reader.text("failure_domain", maxNameLength);
        upstream.slots = static_cast<int>(reader.integer("slots", slotRange));
        upstream.connections = static_cast<int>(reader.integer("connections", connectionRange, 300));
        reader.finish();
        if (!isAddress(upstream.address)) {
            failure.set(path + ".address", "must be an IP number and a port");
        }
        return upstream;
    }

    service_inventory readServiceInventory(const json& value, const std::string& path, read_failure& failure)
    {
        object_reader reader(value, path, failure);
        service_inventory service;
        service.name = reader.text("name", maxNameLength);
        unique_names names(failure);
        reader.array("upstreams", [&](const json& each, const std::string& eachPath) {
            service.upstreams.push_back(readUpstream(each, eachPath, failure));
            names.add(service.upstreams.back().name, eachPath);
        });
        reader.finish();
        return service;
    }

    route_spec readRoute(const json& value, const std::string& path, read_failure& failure)
    {
        object_reader reader(value, path, failure);
        route_spec route;
        route.host = reader.text("host", maxNameLength, "");
        route.pathPrefix = readPathPrefix(reader, path, failure);
        reader.finish();
        return route;
    }

    not_repeatable_spec readNotRepeatable(const json& value, const std::string& path, read_failure& failure)
    {
        object_reader reader(value, path, failure);
        not_repeatable_spec match;
        match.method = reader.text("method", maxNameLength, "");
        match.pathPrefix = readPathPrefix(reader, path, failure);
        reader.finish();
        return match;
    }

    objective_spec readObjective(const json& value, const std::string& path, read_failure& failure)
    {
        object_reader reader(value, path, failure);
        objective_spec objective;
        objective.availability = reader.share("availability", objective.availability);
        objective.latencyMilliseconds
            = static_cast<int>(reader.integer("latency_ms", timeoutRange, objective.latencyMilliseconds));
        reader.finish();
        return objective;
    }

    std::string readUpstreamName(const json& value, const std::string& path, read_failure& failure)
    {
        if (!value.is_string()) {
            failure.set(path, "must be the name of an upstream");
            return {};
        }
        return value.get<std::string>();
    }

    service_rules readServiceRules(const json& value, const std::string& path, read_failure& failure)
    {
        object_reader reader(value, path, failure);
        service_rules rules;
        rules.name = reader.text("name", maxNameLength);
        reader.array("routes", [&](const json& each, const std::string& eachPath) {
            rules.routes.push_back(readRoute(each, eachPath, failure));
        });
        rules.floorSlots = static_cast<int>(reader.integer("floor_slots", floorRange, 0));
        reader.array("not_repeatable", [&](const json& each, const std::string& eachPath) {
            rules.notRepeatable.push_back(readNotRepeatable(each, eachPath, failure));
        });
        rules.requiresKey = reader.boolean("require_key", false);
        rules.detectionWeight = reader.share("detection_weight", rules.detectionWeight);
        rules.retryPercent
            = static_cast<int>(reader.integer("retry_percent", percentRange, rules.retryPercent));
        rules.timeoutMilliseconds
            = static_cast<int>(reader.integer("timeout_ms", timeoutRange, rules.timeoutMilliseconds));
        unique_names leaving(failure);
        reader.array("leaving", [&](const json& each, const std::string& eachPath) {
            rules.leaving.push_back(readUpstreamName(each, eachPath, failure));
            leaving.add(rules.leaving.back(), eachPath);
        });
        reader.object("objective", [&](const json& each, const std::string& eachPath) {
            rules.objective = readObjective(each, eachPath, failure);
        });
        reader.finish();
        return rules;
    }

    template <typename Document, typename ReadService>
    std::optional<Document> parseDocument(std::string_view text, reason& why, ReadService readService)
    {
        auto value = internal::parseJson(text, why);
        if (!value) {
            return std::nullopt;
        }
        read_failure failure;
        Document document;
        object_reader reader(*value, "", failure);
        document.baseGeneration = reader.integer("base_generation", generationRange, 0);
        unique_names names(failure);
        reader.array("services", [&](const json& each, const std::string& path) {
            document.services.push_back(readService(each, path, failure));
            names.add(document.services.back().name, path);
        });
        reader.finish();
        if (failure.isSet()) {
            return fail(why, reason_code::invalid, failure.text());
        }
        return document;
    }

    template <typename Part, typename ReadService>
    std::optional<Part> parsePart(std::string_view text, reason& why, ReadService readService)
    {
        auto value = internal::parseJson(text, why);
        if (!value) {
            return std::nullopt;
        }
        read_failure failure;
        Part part = readService(*value, "", failure);
        if (failure.isSet()) {
            return fail(why, reason_code::invalid, failure.text());
        }
        return part;
    }

    json toValue(const service_inventory& service)
    {
        json upstreams = json::array();
        for (const auto& each : service.upstreams) {
            upstreams.push_back({ { "name", each.name }, { "address", each.address },
                { "failure_domain", each.failureDomain }, { "slots", each.slots },
                { "connections", each.connections } });
        }
        return { { "name", service.name }, { "upstreams", std::move(upstreams) } };
    }

    json toValue(const service_rules& service)
    {
        json routes = json::array();
        for (const auto& each : service.routes) {
            routes.push_back({ { "host", each.host }, { "path_prefix", each.pathPrefix } });
        }
        json notRepeatable = json::array();
        for (const auto& each : service.notRepeatable) {
            notRepeatable.push_back({ { "method", each.method }, { "path_prefix", each.pathPrefix } });
        }
        return { { "name", service.name }, { "routes", std::move(routes) },
            { "floor_slots", service.floorSlots }, { "not_repeatable", std::move(notRepeatable) },
            { "require_key", service.requiresKey }, { "detection_weight", service.detectionWeight },
            { "retry_percent", service.retryPercent }, { "timeout_ms", service.timeoutMilliseconds },
            { "leaving", service.leaving },
            { "objective",
                { { "availability", service.objective.availability },
                    { "latency_ms", service.objective.latencyMilliseconds } } } };
    }

    template <typename Document> std::string documentToJson(const Document& document)
    {
        json services = json::array();
        for (const auto& each : document.services) {
            services.push_back(toValue(each));
        }
        json value { { "base_generation", document.baseGeneration }, { "services", std::move(services) } };
        return value.dump(2) + "\n";
    }

    // Checks one service's rules against its inventory.
    bool agreeOnService(const service_inventory& inventory, const service_rules& rules, reason& why)
    {
        std::set<std::string_view> leaving(rules.leaving.begin(), rules.leaving.end());
        std::int64_t slots = 0;
        for (const auto& upstream : inventory.upstreams) {
            slots += leaving.erase(upstream.name) ? 0 : upstream.slots;
        }
        if (!leaving.empty()) {
            why = { reason_code::invalid,
                "services '" + rules.name + "': leaving names '" + std::string(*leaving.begin())
                    + "', which is not in the inventory" };
            return false;
        }
        if (rules.floorSlots > slots) {
            why = { reason_code::invalid,
                "services '" + rules.name + "': floor_slots is " + std::to_string(rules.floorSlots)
                    + ", but the upstreams that stay have " + std::to_string(slots) + " slots" };
            return false;
        }
        return true;
    }

}

std::optional<inventory_document> parseInventory(std::string_view text, reason& why)
{
    return parseDocument<inventory_document>(text, why, readServiceInventory);
}

std::optional<rules_document> parseRules(std::string_view text, reason& why)
{
    return parseDocument<rules_document>(text, why, readServiceRules);
}

std::optional<service_inventory> parseServiceInventory(std::string_view text, reason& why)
{
    return parsePart<service_inventory>(text, why, readServiceInventory);
}

std::optional<service_rules> parseServiceRules(std::string_view text, reason& why)
{
    return parsePart<service_rules>(text, why, readServiceRules);
}

std::string toJson(const service_inventory& service) { return toValue(service).dump(); }

std::string toJson(const service_rules& service) { return toValue(service).dump(); }

std::string toJson(const inventory_document& document) { return documentToJson(document); }

std::string toJson(const rules_document& document) { return documentToJson(document); }

bool agree(
    const std::vector<service_inventory>& inventory, const std::vector<service_rules>& rules, reason& why)
{
    std::map<std::string_view, const service_inventory*> services;
    for (const auto& each : inventory) {
        services[each.name] = &each;
    }
    std::map<std::pair<std::string, std::string>, std::string> routes;
    for (const auto& each : rules) {
        auto found = services.find(each.name);
        if (found == services.end()) {
            why = { reason_code::invalid,
                "services '" + each.name + "': has rules but is not in the inventory" };
            return false;
        }
        if (!agreeOnService(*found->second, each, why)) {
            return false;
        }
        for (const auto& route : each.routes) {
            auto [other, isNew] = routes.emplace(std::pair(route.host, route.pathPrefix), each.name);
            if (!isNew) {
                why = { reason_code::invalid,
                    "services '" + each.name + "': route " + route.host + route.pathPrefix
                        + " is also given to '" + other->second + "'" };
                return false;
            }
        }
    }
    return true;
}

}
