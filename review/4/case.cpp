// A drill: the store comes back from a copy that is four seconds old. Later a backend leaves. The script
// checks that it gets no more requests once `drainMs` have passed since the store took its report.

#include "../common/stand_ins.hpp"

using namespace review;

namespace {

constexpr const char* host = "hulo84.example";
constexpr int machineCount = 6;
constexpr int drainMs = 2'000;
constexpr int stableWindowMs = 3'000;
constexpr int heartbeatMs = 1'500;
constexpr int warmupMs = 3'000;
constexpr int requests = 36;
constexpr int workMs = 600;

}

int main(int argc, char** argv)
{
    auto run = script::fromArguments(argc, argv);
    recorder record(run.folder + "/record.txt");
    record.line("trouble %d", run.hasTrouble);
    store platform(run.hostAt(200));
    std::mutex mutex;
    std::map<std::string, steady::time_point> sentAt;
    std::map<std::string, int> runs;
    std::optional<steady::time_point> acknowledgedAt;
    std::string leaving;
    std::vector<std::string> late;
    backend_listener events {
        .arrived =
            [&](const std::string& id, const message& request) {
                std::lock_guard lock(mutex);
                auto attempt = request.field("attempt-id");
                record.line("run %s at %s", attempt.c_str(), id.c_str());
                ++runs[attempt];
                if (acknowledgedAt && id == leaving
                    && sentAt[attempt] > *acknowledgedAt + milliseconds(drainMs)) {
                    late.push_back(attempt);
                }
            },
        .ended =
            [&](const std::string& id, const message& request, bool isAnswered) {
                record.line("end %s at %s: %s", request.field("attempt-id").c_str(), id.c_str(),
                    isAnswered ? "answered" : "cut off");
            },
    };
    std::vector<std::unique_ptr<backend>> backends;
    auto addBackend = [&](const std::string& service) -> backend& {
        auto number = static_cast<int>(backends.size());
        backends.push_back(std::make_unique<backend>("i-" + std::to_string(1000 + number), service,
            zones[number % 3], run.hostAt(100 + number), 6, workMs, events));
        return *backends.back();
    };
    auto write = [&](const backend& each, int warmupRemainingMs) {
        auto revision = platform.put("servers", each.id(), each.entry(warmupRemainingMs));
        record.line("entry of %s: %s, warm-up %d ms, revision %llu", each.id().c_str(),
            each.isDraining() ? "draining" : "ready", warmupRemainingMs,
            static_cast<unsigned long long>(revision));
    };
    for (int index = 0; index < 6; ++index) {
        write(addBackend("contratos"), 0);
    }
    platform.put(
        "config", "main", configuration(7, host, { { "contract-sign", "/firmar/", "unsafe", "contratos" } }));
    std::vector<std::unique_ptr<machine>> machines;
    if (!startMachines(
            run, machineCount, [&](int) { return platform.address(); }, machines)) {
        record.line("the machines did not become ready");
        return couldNotRun;
    }
    int number = 0;
    auto sendTo = [&](int machineIndex) {
        std::string attempt;
        {
            std::lock_guard lock(mutex);
            attempt = "9c41d07be2a3" + std::to_string(5000 + number++);
            sentAt[attempt] = steady::now();
        }
        record.line("send %s", attempt.c_str());
        auto answer = call(machines[static_cast<std::size_t>(machineIndex % machineCount)]->clientAddress(),
            "POST", host, "/firmar/" + attempt, attempt, 8'000, {}, "signed");
        record.line("answer %s: %d", attempt.c_str(), answer.status);
        return std::pair(attempt, answer.status);
    };
    sleepMs(1'000);
    for (int index = 0; index < machineCount; ++index) {
        if (sendTo(index).second != 200) {
            record.line("a request before the disruption was not served");
            return couldNotRun;
        }
    }

    // Four backends are added. They are slow for their first seconds.
    std::vector<backend*> added;
    for (int index = 0; index < 4; ++index) {
        added.push_back(&addBackend("contratos"));
        write(*added.back(), warmupMs);
    }
    sleepMs(500);
    platform.copy();
    record.line(
        "the store takes a copy, revision %llu", static_cast<unsigned long long>(platform.revision()));
    sleepMs(heartbeatMs - 500);
    for (auto* each : added) {
        write(*each, warmupMs - heartbeatMs);
    }
    sleepMs(heartbeatMs);
    for (auto* each : added) {
        write(*each, 0);
    }
    sleepMs(500);
    if (run.hasTrouble) {
        record.line("the store is away, revision %llu", static_cast<unsigned long long>(platform.revision()));
        platform.goAway();
        sleepMs(1'000);
        platform.comeBack();
        record.line("the store is back, revision %llu", static_cast<unsigned long long>(platform.revision()));
    } else {
        sleepMs(1'000);
    }
    sleepMs(700); // All write again with their next heartbeat.
    for (auto& each : backends) {
        write(*each, 0);
    }
    sleepMs(stableWindowMs + 1'500);

    // The last of them leaves. Nobody asks for a contract meanwhile.
    auto& last = *added.back();
    last.drain();
    {
        std::lock_guard lock(mutex);
        leaving = last.id();
    }
    write(last, 0);
    {
        std::lock_guard lock(mutex);
        acknowledgedAt = steady::now();
    }
    sleepMs(drainMs + 200);
    std::atomic<int> served = 0;
    std::mutex lostMutex;
    std::vector<std::string> lost;
    std::vector<std::thread> clients;
    for (int index = 0; index < requests; ++index) {
        clients.emplace_back([&, index] {
            auto [attempt, status] = sendTo(index);
            served += status == 200 ? 1 : 0;
            if (status != 200) {
                std::lock_guard lock(lostMutex);
                lost.push_back(attempt + " (" + std::to_string(status) + ")");
            }
        });
    }
    sleepMs(500);
    record.line("%s exits", leaving.c_str());
    last.end();
    platform.remove("servers", leaving);
    for (auto& each : clients) {
        each.join();
    }
    record.line("sent after the drain time %d, served %d, of them at the backend that left %zu", requests,
        served.load(), late.size());
    for (const auto& each : late) {
        record.line("DRAIN: %s reached %s", each.c_str(), leaving.c_str());
    }
    for (const auto& each : lost) {
        record.line("not served: %s, runs %d", each.c_str(), runs[each.substr(0, each.find(' '))]);
    }
    if (served.load() == 0) {
        return couldNotRun;
    }
    return late.empty() ? ruleHeld : ruleBroken;
}
