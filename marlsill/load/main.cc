// The load tool: callers that follow the directory and send requests at a set rate.

#include "marlsill/base/random.h"
#include "marlsill/base/time.h"
#include "marlsill/http/field_names.h"
#include "marlsill/load/caller.h"
#include "marlsill/load/load_report.h"
#include "marlsill/settings/settings.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace marlsill::load {

namespace {

    constexpr setting_spec specs[] = {
        textSetting(
            "entries", "", "caller addresses of entry VMs to ask for the directory, separated by commas", 1),
        textSetting("service", "", "service to call", 1, 128),
        textSetting("path", "/", "path of the requests"),
        choiceSetting("method", "GET", "method of the requests", "GET|POST|PUT"),
        integerSetting(
            "rate", "100", "requests per second, sent whether or not earlier ones were answered", 1, 100000),
        integerSetting("seconds", "5", "how long to send", 1, 3600),
        integerSetting("callers", "64", "requests in flight at most", 1, 4096),
        integerSetting("timeout-ms", "2000", "time that each caller waits", 1, 600000),
        integerSetting("accounts", "1", "caller accounts to spread the requests over", 1, 1000000),
        integerSetting(
            "resends", "0", "times that a keyed request without a known outcome is sent again", 0, 10),
        flagSetting("keys", "send an idempotency key with each request"),
        textSetting("direct", "", "upstream addresses; every second request goes straight to one of them"),
        textSetting("history", "", "file that gets one line of JSON per request"),
        textSetting("host", "", "Host field of the requests"),
        choiceSetting("output", "table", "form of the output", "json|table"),
    };

    std::vector<Poco::Net::SocketAddress> parseList(const std::string& text)
    {
        std::vector<Poco::Net::SocketAddress> addresses;
        std::istringstream words(text);
        for (std::string word; std::getline(words, word, ',');) {
            if (auto parsed = http::parseAddress(word)) {
                addresses.push_back(*parsed);
            }
        }
        return addresses;
    }

    // One line per request, as the history checker reads it.
    class history_file {
    public:
        explicit history_file(const std::string& path)
        {
            if (!path.empty()) {
                m_stream.open(path);
            }
        }

        void add(const std::string& id, const std::string& key, const call_result& result, bool isOwn)
        {
            if (!m_stream.is_open()) {
                return;
            }
            nlohmann::json line { { "id", id }, { "key", key }, { "outcome", result.outcome },
                { "status", result.status }, { "whole", result.isWhole }, { "own", isOwn } };
            std::lock_guard lock(m_mutex);
            m_stream << line.dump() << "\n";
        }

    private:
        std::mutex m_mutex; // Guards m_stream.
        std::ofstream m_stream;
    };

    // What all sending threads share.
    struct load_plan {
        const settings_values& settings;
        directory_view directory;
        std::vector<Poco::Net::SocketAddress> upstreams;
        load_report report;
        history_file history;
        std::string runId = randomId();
        steady_clock::time_point start = steady_clock::now();
        std::atomic<std::int64_t> next = 0;
        std::int64_t total = 0;
    };

    http::request_message makeLoadRequest(const load_plan& plan, std::int64_t index)
    {
        const auto& settings = plan.settings;
        auto method = settings.text("method");
        auto id = plan.runId + "-" + std::to_string(index);
        auto request = http::makeRequest(
            method, settings.text("path"), method == "GET" ? "" : "{\"id\":\"" + id + "\"}");
        request.head.setHost(settings.text("host").empty() ? "load.invalid" : settings.text("host"));
        request.head.set("X-Request-Id", id);
        request.head.set(http::field::requestTimeoutMs, settings.text("timeout-ms"));
        request.head.set(
            http::field::clientAccount, "account-" + std::to_string(index % settings.integer("accounts")));
        return request;
    }

    bool isOwnAnswer(const call_result& result, const std::string& id)
    {
        bool isUpstreamAnswer = result.isWhole && result.outcome == "ran" && result.status == 200;
        return !isUpstreamAnswer || result.answer.body.find("\"id\":\"" + id + "\"") != std::string::npos;
    }

    void sendDirect(load_plan& plan, caller& client, std::int64_t index, deadline due)
    {
        auto request = makeLoadRequest(plan, index);
        const auto& upstream = plan.upstreams[static_cast<std::size_t>(index / 2) % plan.upstreams.size()];
        auto limit = due + std::chrono::milliseconds(plan.settings.integer("timeout-ms"));
        auto result = client.send(upstream, request, limit);
        if (result.isWhole && result.status == 200) {
            plan.report.addDirect(steady_clock::now() - due);
        }
    }

    std::string describe(const call_result& result)
    {
        if (!result.isWhole) {
            return "no-answer";
        }
        return result.outcome.empty() ? "no-outcome" : result.outcome;
    }

    void sendThroughEntry(load_plan& plan, caller& client, std::int64_t index, deadline due)
    {
        auto addresses = plan.directory.addresses();
        if (addresses.empty()) {
            plan.report.addThroughEntry("no-directory", {});
            return;
        }
        auto request = makeLoadRequest(plan, index);
        auto id = request.head.get("X-Request-Id");
        auto first = threadRandom()() % addresses.size();
        std::string key;
        if (plan.settings.isSet("keys")) {
            key = addresses[first].keyPrefix + id;
            request.head.set(http::field::idempotencyKey, key);
        }
        auto timeout = std::chrono::milliseconds(plan.settings.integer("timeout-ms"));
        call_result result;
        for (std::int64_t sending = 0; sending <= plan.settings.integer("resends"); ++sending) {
            auto& address = addresses[(first + static_cast<std::size_t>(sending)) % addresses.size()].address;
            auto limit = std::max(due, steady_clock::now() - std::chrono::milliseconds(1)) + timeout;
            result = client.send(address, request, limit);
            plan.history.add(id, key, result, isOwnAnswer(result, id));
            if (result.isWhole && result.outcome != "unknown") {
                break;
            }
        }
        plan.report.addThroughEntry(
            isOwnAnswer(result, id) ? describe(result) : "WRONG-ANSWER", steady_clock::now() - due);
    }

    void sendLoop(load_plan& plan)
    {
        caller client;
        auto pause = std::chrono::duration<double>(1.0 / static_cast<double>(plan.settings.integer("rate")));
        while (true) {
            auto index = plan.next.fetch_add(1);
            if (index >= plan.total) {
                return;
            }
            auto due = plan.start + std::chrono::duration_cast<steady_clock::duration>(pause * index);
            std::this_thread::sleep_until(due);
            if (!plan.upstreams.empty() && index % 2 == 1) {
                sendDirect(plan, client, index, due);
            } else {
                sendThroughEntry(plan, client, index, due);
            }
        }
    }

    int run(const settings_values& settings)
    {
        auto total = settings.integer("rate") * settings.integer("seconds");
        load_plan plan { settings, { parseList(settings.text("entries")), settings.text("service") },
            parseList(settings.text("direct")), load_report(static_cast<std::size_t>(total) + 1),
            history_file(settings.text("history")) };
        plan.total = total;
        plan.directory.addresses();
        plan.start = steady_clock::now();
        {
            std::vector<std::jthread> threads;
            for (std::int64_t index = 0; index < settings.integer("callers"); ++index) {
                threads.emplace_back([&plan] { sendLoop(plan); });
            }
        }
        std::fputs((settings.text("output") == "json" ? plan.report.toJson() : plan.report.toText()).c_str(),
            stdout);
        return 0;
    }

}

}

int main(int argc, char** argv)
{
    auto start = marlsill::startProgram(
        "marlsill-load", "sends requests as callers do", marlsill::load::specs, argc, argv);
    return start.settings ? marlsill::load::run(*start.settings) : start.exitStatus;
}
