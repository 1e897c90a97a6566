// Entries of another writer take so much memory where the servers are listed that the platform kills the
// processes, one after the other.

#include "../kit-2/backends.hpp"

using namespace review;

namespace {

constexpr int foreignEntries = 8;
constexpr std::size_t foreignBytes = 1'000'000; // Below `valueBytes`.
constexpr std::int64_t writeMs = 8; // For so many bytes at the 1,000 Mbit/s of the store.
constexpr std::int64_t memoryMb = 160;
constexpr std::int64_t restartMs = 500;

// Returns the resident memory of a process in MB.
std::int64_t memoryOf(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::atoll(line.c_str() + 6) / 1024;
        }
    }
    return 0;
}

}

int main(int, char** arguments)
{
    nowMs();
    record_file record(arguments[1]);
    temporary_folder folder;
    const std::string service = "solde18";
    const std::vector<std::string> zones { "trois-rivieres", "drummondville", "victoriaville" };
    store platform;
    std::vector<std::unique_ptr<backend>> backends;
    for (int number = 0; number < 6; ++number) {
        backends.push_back(std::make_unique<backend>(backend_options { .id = "i-" + std::to_string(number),
            .service = service,
            .zone = zones[static_cast<std::size_t>(number) % zones.size()],
            .slots = 3 }));
        platform.put("servers", backends.back()->options().id, backends.back()->entry("ready"));
    }
    platform.put("config", "main", configuration(7, "safe", service, 1'500));
    auto machines = planMachines(6, zones, platform, folder.path(), 2'500);
    for (auto& each : machines) {
        each->start();
    }
    if (!awaitReady(machines, 15'000)) {
        record.line("the machines did not become ready");
        return 2;
    }
    // The platform kills what takes too much memory, and starts it again.
    std::atomic<bool> isOver = false;
    std::map<std::string, int> kills;
    std::map<std::string, std::int64_t> peaks;
    std::thread keeper([&] {
        while (!isOver) {
            for (auto& each : machines) {
                auto memory = memoryOf(each->process());
                auto& peak = peaks[each->options().name];
                peak = std::max(peak, memory);
                if (memory > memoryMb) {
                    each->kill();
                    ++kills[each->options().name];
                    record.line("%s is killed at %lld MB", each->options().name.c_str(),
                        static_cast<long long>(memory));
                    sleepMs(restartMs);
                    each->start();
                }
            }
            sleepMs(2);
        }
    });
    sleepMs(4'000);
    std::mutex mutex;
    std::map<int, int> statuses; // Of the last seconds.
    thread_group clients;
    for (const auto& each : machines) {
        clients.start([&] {
            client own(each->caller());
            while (!isOver) {
                int status = own.call("GET", "/lepu270/2f", nextAttemptId(), 2'500);
                {
                    std::lock_guard lock(mutex);
                    ++statuses[status];
                }
                sleepMs(100);
            }
        });
    }
    auto recordStatuses = [&](const char* when) {
        std::lock_guard lock(mutex);
        for (const auto& [status, count] : std::exchange(statuses, {})) {
            record.line("%s: %d requests ended with status %d", when, count, status);
        }
    };
    sleepMs(4'000);
    recordStatuses("before");
    if (hasTrouble()) {
        std::string table = R"({"table":[)";
        while (table.size() + 10 < foreignBytes) {
            table += "[0,0],";
        }
        table += "[0,0]]}";
        for (int number = 0; number < foreignEntries; ++number) {
            platform.put("servers", "other-" + std::to_string(number), table);
            sleepMs(writeMs);
        }
        record.line(
            "%d entries of another writer are in the store, each of %zu bytes", foreignEntries, table.size());
    }
    sleepMs(30'000);
    recordStatuses("in the first 30 s");
    sleepMs(30'000);
    recordStatuses("in the next 30 s");
    isOver = true;
    clients.join();
    keeper.join();
    int often = 0;
    for (const auto& each : machines) {
        const auto& name = each->options().name;
        record.line("%s: %d ends, %lld MB at its peak", name.c_str(), kills[name],
            static_cast<long long>(peaks[name]));
        often += kills[name] >= 3 ? 1 : 0;
    }
    record.line("FAULT: %d machines whose process has ended three times", often);
    return often >= 2 ? 1 : 0;
}
