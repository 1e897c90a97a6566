// The machines that watch the store were cut from it and are back: servers that leave just then stay in use.

#include "../kit-2/backends.hpp"

#include <algorithm>

using namespace review;

namespace {

constexpr std::int64_t drainMs = 2'000;
constexpr std::int64_t cutMs = 5'500;
constexpr int rounds = 5;
constexpr int leavingServers = 3; // In each round.

}

int main(int, char** arguments)
{
    nowMs();
    record_file record(arguments[1]);
    temporary_folder folder;
    const std::string service = "huvo11a";
    const std::vector<std::string> zones { "cardiff-depot", "newport-depot" };
    store platform;
    std::vector<std::unique_ptr<backend>> backends;
    auto addBackend = [&] {
        auto number = backends.size();
        backends.push_back(std::make_unique<backend>(backend_options {
            .id = "i-" + std::to_string(number), .service = service, .zone = zones[number % zones.size()] }));
        platform.put("servers", backends.back()->options().id, backends.back()->entry("ready"));
    };
    for (int number = 0; number < 9; ++number) {
        addBackend();
    }
    platform.put("config", "main", configuration(7, "safe", service, 1'500));
    auto machines = planMachines(12, zones, platform, folder.path(), drainMs);
    for (auto& each : machines) {
        each->start();
    }
    if (!awaitReady(machines, 15'000)) {
        record.line("the machines did not become ready");
        return 2;
    }
    sleepMs(5'000);
    std::mutex mutex;
    std::map<int, int> statuses;
    int late = 0;
    std::size_t nextLeaving = 0;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t index = 0; index < machines.size(); ++index) {
            platform.takeWatches(static_cast<int>(index));
        }
        sleepMs(1'500);
        std::vector<int> watching;
        for (std::size_t index = 0; index < machines.size(); ++index) {
            if (platform.takeWatches(static_cast<int>(index)) > 0) {
                watching.push_back(static_cast<int>(index));
            }
        }
        if (watching.empty() || watching.size() > 4) {
            record.line("%zu machines watch the store", watching.size());
            sleepMs(5'000);
            continue;
        }
        for (int each : watching) {
            if (hasTrouble()) {
                platform.setCut(each, true);
                const auto& name = machines[static_cast<std::size_t>(each)]->options().name;
                record.line("%s is cut from the store", name.c_str());
            }
        }
        sleepMs(cutMs);
        auto endMs = nowMs();
        for (int each : watching) {
            if (hasTrouble()) {
                platform.setCut(each, false);
            }
        }
        record.line("the time of the cut is over");
        // The last of them has an answer again.
        auto until = nowMs() + 5'000;
        for (int each : watching) {
            while (platform.lastAnswerMs(each) < endMs && nowMs() < until) {
                sleepMs(5);
            }
        }
        struct left_server {
            backend* server;
            std::int64_t ackedAt;
        };
        std::vector<left_server> left;
        for (int number = 0; number < leavingServers; ++number) {
            auto* server = backends[nextLeaving++].get();
            platform.remove("servers", server->options().id);
            server->leave();
            left.push_back({ server, nowMs() });
            record.line("the store takes that %s is gone", server->options().id.c_str());
            addBackend();
            sleepMs(40);
        }
        sleepMs(left.back().ackedAt + drainMs + 20 - nowMs());
        {
            thread_group clients;
            for (std::size_t index = 0; index < machines.size(); ++index) {
                if (std::find(watching.begin(), watching.end(), static_cast<int>(index)) != watching.end()) {
                    continue; // Not in touch yet.
                }
                for (int number = 0; number < 2; ++number) {
                    clients.start([&, index] {
                        client own(machines[index]->caller());
                        int status = own.call("GET", "/lepu270/2f", nextAttemptId(), 3'000);
                        std::lock_guard lock(mutex);
                        ++statuses[status];
                    });
                }
            }
        }
        for (const auto& each : left) {
            for (const auto& seen : each.server->arrivals()) {
                if (seen.hasRun && seen.atMs > each.ackedAt + drainMs) {
                    ++late;
                    record.line("request %s runs on %s %.3f s after the ack", seen.attempt.c_str(),
                        each.server->options().id.c_str(),
                        static_cast<double>(seen.atMs - each.ackedAt) / 1000.0);
                }
            }
        }
        sleepMs(6'000);
    }
    for (const auto& [status, count] : statuses) {
        record.line("%d answers with status %d", count, status);
    }
    record.line("DRAIN: %d requests by machines in touch reached a server too late", late);
    return late > 0 ? 1 : 0;
}
