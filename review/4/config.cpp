// A drill: the store comes back from a copy that is three seconds old. Meanwhile the operator has tried to
// write a new configuration, and writes it as soon as the store is back; so do the backends. The script
// checks that the machines follow it.

#include "../common/stand_ins.hpp"

using namespace review;

namespace {

constexpr const char* host = "hulo84.example";
constexpr int machineCount = 6;
constexpr int configPropagationMs = 2'000;
constexpr int stableWindowMs = 3'000;
constexpr int outerMs = 5'000;
constexpr int awayMs = 700;
constexpr int requests = 36;
constexpr int workMs = 100;

}

int main(int argc, char** argv)
{
    auto run = script::fromArguments(argc, argv);
    recorder record(run.folder + "/record-config.txt");
    record.line("trouble %d", run.hasTrouble);
    store platform(run.hostAt(200));
    std::mutex mutex;
    std::set<std::string> checked; // Requests that were sent late enough after the ack.
    std::map<std::string, std::string> services; // By backend.
    int byOld = 0;
    int byNew = 0;
    backend_listener events {
        .arrived =
            [&](const std::string& id, const message& request) {
                std::lock_guard lock(mutex);
                auto attempt = request.field("attempt-id");
                record.line("run %s at %s of %s", attempt.c_str(), id.c_str(), services[id].c_str());
                if (checked.contains(attempt)) {
                    ++(services[id] == "contratos" ? byOld : byNew);
                }
            },
        .ended = [](const std::string&, const message&, bool) {},
    };
    std::vector<std::unique_ptr<backend>> backends;
    auto addBackend = [&](const std::string& service) {
        auto number = static_cast<int>(backends.size());
        auto id = "i-" + std::to_string(1000 + number);
        services[id] = service;
        backends.push_back(std::make_unique<backend>(
            id, service, zones[number % 3], run.hostAt(100 + number), 6, workMs, events));
    };
    auto writeEntries = [&] {
        for (auto& each : backends) {
            auto revision = platform.put("servers", each->id(), each->entry());
            record.line(
                "entry of %s: revision %llu", each->id().c_str(), static_cast<unsigned long long>(revision));
        }
    };
    auto writeConfiguration = [&](int version, const std::string& service) {
        auto revision = platform.put("config", "main",
            configuration(version, host, { { "contract-sign", "/firmar/", "unsafe", service } }));
        record.line("configuration %d, contract-sign goes to %s: %s, revision %llu", version, service.c_str(),
            revision ? "acknowledged" : "the store is away", static_cast<unsigned long long>(revision));
        return revision != 0;
    };
    for (int index = 0; index < 6; ++index) {
        addBackend(index < 3 ? "contratos" : "firmas");
    }
    writeEntries();
    writeConfiguration(7, "contratos");
    std::vector<std::unique_ptr<machine>> machines;
    if (!startMachines(
            run, machineCount, [&](int) { return platform.address(); }, machines)) {
        record.line("the machines did not become ready");
        return couldNotRun;
    }
    sleepMs(2'000);
    platform.copy();
    record.line(
        "the store takes a copy, revision %llu", static_cast<unsigned long long>(platform.revision()));
    sleepMs(500);
    for (int index = 0; index < 3; ++index) {
        addBackend("contratos");
        addBackend("firmas");
    }
    writeEntries();
    sleepMs(2'000);
    if (run.hasTrouble) {
        record.line("the store is away, revision %llu", static_cast<unsigned long long>(platform.revision()));
        platform.goAway();
        sleepMs(awayMs / 2);
        writeConfiguration(12, "firmas");
        sleepMs(awayMs / 2);
        platform.comeBack();
        record.line("the store is back, revision %llu", static_cast<unsigned long long>(platform.revision()));
    } else {
        sleepMs(awayMs);
    }
    // What could not be written, or is lost, is written at once.
    if (!writeConfiguration(12, "firmas")) {
        return couldNotRun;
    }
    writeEntries();
    record.line("revision %llu", static_cast<unsigned long long>(platform.revision()));
    sleepMs(stableWindowMs + outerMs + configPropagationMs + 500);
    record.line("watches that got 410: %d", platform.takeGoneAnswers());
    int served = 0;
    for (int number = 0; number < requests; ++number) {
        auto attempt = "9c41d07be2a3" + std::to_string(5000 + number);
        {
            std::lock_guard lock(mutex);
            checked.insert(attempt);
        }
        record.line("send %s", attempt.c_str());
        auto answer = call(machines[static_cast<std::size_t>(number % machineCount)]->clientAddress(), "POST",
            host, "/firmar/" + attempt, attempt, 8'000, {}, "signed");
        record.line("answer %s: %d", attempt.c_str(), answer.status);
        served += answer.status == 200 ? 1 : 0;
    }
    std::lock_guard lock(mutex);
    record.line("sent %d, served %d, run by the service of the new configuration %d, by the old service %d",
        requests, served, byNew, byOld);
    if (byOld > 0) {
        record.line("CONFIG: %d requests were run by the service of the older configuration", byOld);
    }
    if (served == 0) {
        return couldNotRun;
    }
    return byOld > 0 ? ruleBroken : ruleHeld;
}
