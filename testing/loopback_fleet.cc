#include "testing/loopback_fleet.h"

#include "marlsill/base/random.h"
#include "marlsill/entry/node_settings.h"
#include "marlsill/events/events.h"
#include "marlsill/http/client.h"
#include "marlsill/http/field_names.h"

#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace marlsill::testing {

namespace {

    constexpr const char* operatorKey = "key of the operators";

    void require(bool condition, const std::string& what)
    {
        if (!condition) {
            std::fprintf(stderr, "loopback fleet: %s\n", what.c_str());
            std::abort();
        }
    }

    settings_values makeSettings(const std::vector<std::string>& flags)
    {
        std::vector<const char*> words;
        for (const auto& each : flags) {
            words.push_back(each.c_str());
        }
        reason why;
        auto values = readSettings(entry::nodeSettings, words, {}, why);
        require(values.has_value(), why.text);
        return std::move(*values);
    }

    std::optional<http::response_message> callOperator(
        entry::node& node, std::string_view method, const std::string& target, const std::string& body)
    {
        auto request = http::makeRequest(method, target, body);
        request.head.set("Authorization", std::string("Bearer ") + operatorKey);
        request.head.set("X-Operation-Id", randomId());
        reason why;
        return http::exchange(
            node.operatorAddress(), std::move(request), deadlineAfter(std::chrono::seconds(60)), why);
    }

}

http::request_message get(const std::string& target, const std::string& id)
{
    auto request = http::makeRequest("GET", target);
    request.head.setHost("test");
    request.head.set("X-Request-Id", id);
    return request;
}

http::request_message post(const std::string& id, const std::string& key)
{
    auto request = http::makeRequest("POST", "/jobs/1", "{\"id\":\"" + id + "\"}");
    request.head.setHost("test");
    request.head.set("X-Request-Id", id);
    if (!key.empty()) {
        request.head.set(http::field::idempotencyKey, key);
    }
    return request;
}

loopback_fleet::loopback_fleet(const fleet_shape& shape)
    : m_shape(shape)
    , m_platform(std::make_unique<platform_server>("127.0.0.1:0"))
{
    static bool isLogging = (startLogging(severity::error), true);
    require(isLogging, "logging");
    for (int index = 0; index < shape.upstreams; ++index) {
        m_upstreams.push_back(std::make_unique<upstream_stand_in>(upstream_options {
            .name = "u" + std::to_string(index), .slots = shape.slots, .serviceTime = shape.serviceTime }));
        m_upstreams.back()->start();
    }
    for (int index = 0; index < shape.entries; ++index) {
        addEntry();
    }
    auto answer = callOperator(entry(0), "POST", "/v1/config/inventory", inventoryText());
    require(answer && answer->head.getStatus() == 200, "inventory not accepted");
    require(applyRules(0, "", 0) == "accepted", "rules not accepted");
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        require(eventually([&] { return status(index, "in_force_everywhere") == "2"; }),
            "configuration not in force");
    }
    require(eventually([&] {
        reason why;
        auto listed
            = http::exchange(entry(0).callerAddress(), http::makeRequest("GET", "/v1/addresses?service=work"),
                deadlineAfter(std::chrono::seconds(5)), why);
        auto value = listed ? nlohmann::json::parse(listed->body, nullptr, false) : nlohmann::json();
        return value.is_object() && value.contains("addresses")
            && value["addresses"].size() == std::min<std::size_t>(m_entries.size(), 3);
    }),
        "directory incomplete");
}

loopback_fleet::~loopback_fleet() = default;

std::size_t loopback_fleet::addEntry()
{
    auto index = m_entries.size();
    auto name = std::to_string(index);
    std::vector<std::string> flags { "--name=e" + name, "--failure-domain=domain" + std::to_string(index % 3),
        "--caller-address=127.0.0.1:0", "--operator-address=127.0.0.1:0", "--peer-address=127.0.0.1:0",
        "--platform=" + m_platform->address(), "--fleet-key=key of the whole fleet",
        std::string("--operator-key=") + operatorKey, "--heartbeat-ms=100", "--directory-ttl-ms=500" };
    std::string seeds = "--seeds=";
    for (const auto& each : m_entries) {
        seeds += each.node ? each.node->peers().address() + "," : "";
    }
    if (!m_entries.empty()) {
        flags.push_back(seeds);
    }
    flags.insert(flags.end(), m_shape.entryFlags.begin(), m_shape.entryFlags.end());
    running_entry started { std::make_unique<settings_values>(makeSettings(flags)), nullptr };
    started.node = std::make_unique<entry::node>(*started.settings);
    started.node->start();
    m_entries.push_back(std::move(started));
    listVms();
    return index;
}

void loopback_fleet::stopEntry(std::size_t index)
{
    m_entries[index].node->stop();
    m_entries[index].node.reset();
    listVms();
}

void loopback_fleet::listVms()
{
    auto vms = nlohmann::json::array();
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (m_entries[index].node) {
            vms.push_back({ { "name", "e" + std::to_string(index) },
                { "peer_address", m_entries[index].node->peers().address() } });
        }
    }
    m_platform->setVms(vms.dump());
}

std::string loopback_fleet::inventoryText() const
{
    auto upstreams = nlohmann::json::array();
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        upstreams.push_back(
            { { "name", "u" + std::to_string(index) }, { "address", m_upstreams[index]->address() },
                { "failure_domain", "domain" + std::to_string(index % 3) }, { "slots", m_shape.slots } });
    }
    nlohmann::json inventory { { "services", { { { "name", "work" }, { "upstreams", upstreams } } } } };
    return inventory.dump();
}

std::string loopback_fleet::applyRules(
    std::size_t index, const std::string& extraFields, std::int64_t baseGeneration)
{
    auto text = R"({"base_generation":)" + std::to_string(baseGeneration)
        + R"(,"services":[{"name":"work","routes":[{"path_prefix":"/jobs"},{"path_prefix":"/large"}],)"
        + R"("not_repeatable":[{"method":"POST","path_prefix":"/jobs"}],"detection_weight":0.8,)"
        + R"("timeout_ms":)" + std::to_string(m_shape.timeoutMilliseconds);
    if (extraFields.find("floor_slots") == std::string::npos) {
        text += R"(,"floor_slots":)" + std::to_string(m_shape.floorSlots);
    }
    text += (extraFields.empty() ? "" : "," + extraFields) + "}]}";
    auto answer = callOperator(entry(index), "POST", "/v1/config/rules", text);
    auto value = answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
    return value.is_object() ? value.value("status", "") : "no answer";
}

std::string loopback_fleet::status(std::size_t index, const std::string& field)
{
    auto answer = callOperator(entry(index), "GET", "/v1/status", "");
    auto value = answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
    return value.is_object() && value.contains(field) ? value[field].dump() : "";
}

load::call_result loopback_fleet::call(std::size_t index, const http::request_message& request)
{
    load::caller client;
    return client.send(entry(index).callerAddress(), request, deadlineAfter(std::chrono::seconds(30)));
}

std::string loopback_fleet::keyPrefix(std::size_t index)
{
    return dedup::keyPrefix(entry(index).incarnation(), dedup::windowOf(wall_clock::now()));
}

int loopback_fleet::runs(const std::string& id) const
{
    int total = 0;
    for (const auto& each : m_upstreams) {
        auto runs = each->runs();
        auto found = runs.find(id);
        total += found == runs.end() ? 0 : found->second;
    }
    return total;
}

int loopback_fleet::crashes() const
{
    int total = 0;
    for (const auto& each : m_upstreams) {
        total += each->crashes();
    }
    return total;
}

int loopback_fleet::started() const
{
    int total = 0;
    for (const auto& each : m_upstreams) {
        total += each->started();
    }
    return total;
}

}
