#include "marlsill/ctl/commands.h"

#include "marlsill/base/random.h"
#include "marlsill/base/time.h"
#include "marlsill/documents/documents.h"
#include "marlsill/http/client.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace marlsill::ctl {

const char* const commandSummary = R"(the command line for operators

Commands:
  apply inventory|rules FILE   submit a document; - reads standard input
  get inventory|rules          print the document in force, ready to edit and apply
  status                       what this VM is and knows
  explain service|upstream|key NAME
                               what was decided on it and why
  drain UPSTREAM               mark an upstream as leaving
  undrain UPSTREAM             take that back)";

namespace {

    using nlohmann::json;

    constexpr std::chrono::seconds callLimit { 65 };
    constexpr std::chrono::seconds waitLimit { 60 };
    constexpr std::chrono::milliseconds waitPause { 100 };

    std::optional<http::response_message> call(const connection_options& options, std::string_view method,
        const std::string& target, std::string body, const std::string& operation, reason& why)
    {
        auto request = http::makeRequest(method, target, std::move(body));
        request.head.set("Authorization", "Bearer " + options.operatorKey);
        if (!operation.empty()) {
            request.head.set("X-Operation-Id", operation);
        }
        return http::exchange(options.address, std::move(request), deadlineAfter(callLimit), why);
    }

    int failWith(int status, const std::string& text)
    {
        std::cerr << "marlsillctl: " << text << "\n";
        return status;
    }

    void printTable(const json& value, const std::string& prefix)
    {
        for (const auto& [name, each] : value.items()) {
            std::string path = prefix;
            path.append(prefix.empty() ? "" : ".").append(name);
            if (each.is_structured()) {
                printTable(each, path);
            } else {
                auto text = each.is_string() ? each.get<std::string>() : each.dump();
                std::cout << path << std::string(path.size() < 40 ? 40 - path.size() : 1, ' ') << text
                          << "\n";
            }
        }
    }

    void print(const connection_options& options, const json& value)
    {
        if (options.isJson) {
            std::cout << value.dump(2) << "\n";
        } else {
            printTable(value, "");
        }
    }

    int printResource(const connection_options& options, const std::string& target)
    {
        reason why;
        auto answer = call(options, "GET", target, {}, {}, why);
        if (!answer) {
            return failWith(exitUnavailable, why.text);
        }
        auto value = json::parse(answer->body, nullptr, false);
        if (answer->head.getStatus() != 200) {
            return failWith(exitRefused, value.is_object() ? value.value("text", "") : answer->body);
        }
        print(options, value);
        return 0;
    }

    // Polls the VM until the whole fleet has confirmed a generation.
    int waitInForce(const connection_options& options, std::int64_t generation)
    {
        auto started = steady_clock::now();
        auto limit = deadlineAfter(waitLimit);
        while (!hasPassed(limit, steady_clock::now())) {
            reason why;
            auto answer = call(options, "GET", "/v1/status", {}, {}, why);
            auto value = answer ? json::parse(answer->body, nullptr, false) : json();
            if (value.is_object() && value.value("in_force_everywhere", std::int64_t(0)) >= generation) {
                auto elapsed = std::chrono::duration<double>(steady_clock::now() - started).count();
                std::printf(
                    "in force: generation %lld after %.2f s\n", static_cast<long long>(generation), elapsed);
                return 0;
            }
            std::this_thread::sleep_for(waitPause);
        }
        return failWith(exitUnknown,
            "accepted as generation " + std::to_string(generation)
                + ", but not yet confirmed by every entry VM");
    }

    int submit(const connection_options& options, const std::string& kind, const std::string& document)
    {
        reason why;
        auto operation = options.operation.empty() ? randomId() : options.operation;
        auto answer = call(options, "POST", "/v1/config/" + kind, document, operation, why);
        if (!answer) {
            bool isUncertain = why.code == reason_code::uncertain;
            return failWith(isUncertain ? exitUnknown : exitUnavailable,
                isUncertain
                    ? "unknown whether accepted (" + why.text + "); repeat with --operation=" + operation
                    : "not accepted: " + why.text);
        }
        auto value = json::parse(answer->body, nullptr, false);
        if (!value.is_object()) {
            return failWith(exitUnknown, "the answer is malformed; repeat with --operation=" + operation);
        }
        auto status = value.value("status", "");
        auto text = value.value("text", "");
        if (status == "accepted") {
            auto generation = value.value("generation", std::int64_t(0));
            std::printf("accepted: generation %lld\n", static_cast<long long>(generation));
            return options.waits ? waitInForce(options, generation) : 0;
        }
        if (status == "unknown") {
            return failWith(exitUnknown, "unknown: " + text + " (--operation=" + operation + ")");
        }
        return failWith(status == "not-accepted" ? exitUnavailable : exitRefused, status + ": " + text);
    }

    int apply(const connection_options& options, const std::string& kind, const std::string& file)
    {
        std::ostringstream text;
        if (file == "-") {
            text << std::cin.rdbuf();
        } else {
            std::ifstream stream(file);
            if (!stream) {
                return failWith(exitUsage, "cannot read " + file);
            }
            text << stream.rdbuf();
        }
        return submit(options, kind, text.str());
    }

    int get(const connection_options& options, const std::string& kind)
    {
        reason why;
        auto answer = call(options, "GET", "/v1/config/" + kind, {}, {}, why);
        if (!answer || answer->head.getStatus() != 200) {
            return failWith(exitUnavailable, answer ? answer->body : why.text);
        }
        std::cout << answer->body;
        return 0;
    }

    // Adds an upstream to the leaving ones of its service, or removes it there.
    bool setLeaving(
        rules_document& rules, const inventory_document& inventory, const std::string& upstream, bool leaves)
    {
        for (const auto& service : inventory.services) {
            bool isHere = std::any_of(service.upstreams.begin(), service.upstreams.end(),
                [&](const auto& each) { return each.name == upstream; });
            if (!isHere) {
                continue;
            }
            auto found = std::find_if(rules.services.begin(), rules.services.end(),
                [&](const auto& each) { return each.name == service.name; });
            if (found == rules.services.end()) {
                found = rules.services.insert(found, service_rules { .name = service.name });
            }
            std::erase(found->leaving, upstream);
            if (leaves) {
                found->leaving.push_back(upstream);
            }
            return true;
        }
        return false;
    }

    int drain(const connection_options& options, const std::string& upstream, bool leaves)
    {
        reason why;
        auto rulesAnswer = call(options, "GET", "/v1/config/rules", {}, {}, why);
        auto inventoryAnswer = call(options, "GET", "/v1/config/inventory", {}, {}, why);
        if (!rulesAnswer || !inventoryAnswer) {
            return failWith(exitUnavailable, why.text);
        }
        auto rules = parseRules(rulesAnswer->body, why);
        auto inventory = parseInventory(inventoryAnswer->body, why);
        if (!rules || !inventory) {
            return failWith(exitRefused, why.text);
        }
        if (!setLeaving(*rules, *inventory, upstream, leaves)) {
            return failWith(exitRefused, "no upstream " + upstream + " in the inventory");
        }
        return submit(options, "rules", toJson(*rules));
    }

    bool isDocumentKind(const std::string& word) { return word == "inventory" || word == "rules"; }

}

int runCommand(const connection_options& options, std::span<const std::string> words)
{
    auto is = [&](const char* command, std::size_t count) {
        return words.size() == count && words[0] == command;
    };
    if (is("apply", 3) && isDocumentKind(words[1])) {
        return apply(options, words[1], words[2]);
    }
    if (is("get", 2) && isDocumentKind(words[1])) {
        return get(options, words[1]);
    }
    if (is("status", 1)) {
        return printResource(options, "/v1/status");
    }
    if (is("explain", 3)) {
        return printResource(options, "/v1/explain/" + words[1] + "/" + words[2]);
    }
    if (is("drain", 2) || is("undrain", 2)) {
        return drain(options, words[1], words[0] == "drain");
    }
    return failWith(exitUsage, "unknown command or wrong arguments; see --help");
}

}
