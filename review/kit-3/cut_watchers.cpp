// Case 13: the machines that watch the store for all others lose their way to it, and a change of the
// configuration reaches the others too late. Writes each request to the record; see ../13/claim.txt.

#include "stand_ins.hpp"

#include <algorithm>
#include <numeric>

using namespace kit;

namespace {

struct request {
    double sentAt = 0;
    std::string ranBy; // The service; empty if it has not run.
    std::size_t machine = 0;
    int status = 0; // 0: no answer.
};

constexpr int machines = 18;
constexpr std::size_t cutOff = 3; // A node_cut's share is 0.17 at most.
constexpr double propagationS = 2.0; // configPropagationMs
constexpr int rounds = 5;
constexpr int changeDelayMs = 20; // From the cut to the change.
constexpr double cutS = 5.5; // A node_cut lasts 5.5 s at most.

struct change {
    double ackAt = 0;
    std::string service;
};

std::mutex mutex;
std::map<std::string, request> requests;

// Returns the machines that have read the store most within some seconds.
std::set<std::size_t> readersOfStore(const store& platform)
{
    std::vector<long> before(machines);
    for (std::size_t index = 0; index < machines; ++index) {
        before[index] = platform.calls(index);
    }
    sleepMs(3'000);
    std::vector<std::size_t> order(machines);
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](auto left, auto right) {
        return platform.calls(left) - before[left] > platform.calls(right) - before[right];
    });
    return { order.begin(), order.begin() + cutOff };
}

// Returns a configuration whose only route, /a/, leads to `service`.
std::string routeTo(const std::string& service, int version)
{
    return "{\"version\":" + std::to_string(version)
        + ",\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeoutMs\",\"targetLatencyMs\","
          "\"priority\",\"service\",\"attempts\"],\"rows\":[[\"r-1\",\"h.example\",\"/a/\",\"unsafe\",2000,1000,0,\""
        + service
        + "\",2]]},\"services\":{\"columns\":[\"name\",\"healthCheckPath\",\"connectionLimit\",\"protocol\",\"tls\"],"
          "\"rows\":[[\"old\",\"/health\",330,\"h1\",false],[\"new\",\"/health\",330,\"h1\",false]]},"
          "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,"
          "\"idleTimeoutMs\":15000}}";
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record out(argc > 1 ? argv[1] : "record.txt");
    ports used;
    static store platform;
    std::vector<std::unique_ptr<backend>> backends;
    for (int index = 0; index < 6; ++index) {
        std::string service = index % 2 ? "new" : "old";
        auto onRun = [service](const arrival& each) {
            std::lock_guard lock(mutex);
            requests[each.id].ranBy = service;
            return std::string();
        };
        backends.push_back(std::make_unique<backend>(
            "127.0.45." + std::to_string(index + 1), "i-" + std::to_string(index), 4, onRun));
        platform.put(
            "servers", backends.back()->id(), backends.back()->entry(service, fleet::zoneOf(index / 2), 20));
    }
    platform.put("config", "main", routeTo("old", 4));
    auto shared = deploymentFields(used, "");
    auto all = std::make_unique<fleet>(
        "127.0.44.", machines, 0, "0.2", shared, used, [] { return platform.addWay(); });
    if (!all->start()) {
        out.line("the machines did not become ready");
        all.reset();
        std::_Exit(2);
    }
    out.line("all machines are ready");
    std::atomic<bool> isOver = false;
    std::atomic<long> lastId = 0;
    std::vector<std::thread> clients;
    for (std::size_t index = 0; index < machines; ++index) {
        clients.emplace_back([&, index] {
            connection link;
            std::string head;
            std::string body;
            auto host = all->at(index).host();
            while (!isOver) {
                sleepMs(25);
                if (!link.isOpen() && !link.open(host, used.frontend, 300)) {
                    continue;
                }
                auto id = "a" + std::to_string(++lastId);
                {
                    std::lock_guard lock(mutex);
                    requests[id] = { seconds(), "", index, 0 };
                }
                bool isAnswered = link.send("POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
                                      + "\r\nDeadline-Milliseconds: 2000\r\nContent-Length: 2\r\n\r\nhi")
                    && link.receive(head, body, 2500);
                {
                    std::lock_guard lock(mutex);
                    requests[id].status = isAnswered ? std::atoi(head.c_str() + 9) : 0;
                }
                if (!isAnswered || connection::field(head, "Connection") == "close") {
                    link.end();
                }
            }
        });
    }
    sleepMs(8'000);
    std::set<std::size_t> everCut;
    std::vector<change> changes;
    for (int round = 0; round < rounds; ++round) {
        auto readers = readersOfStore(platform);
        sleepMs(190 * round); // The watchers read the store at a steady pace; each cut meets it elsewhere.
        std::string names;
        for (auto each : readers) {
            names += " " + all->at(each).name();
            if (hasTrouble()) {
                platform.cut(each, true);
            }
        }
        everCut.insert(readers.begin(), readers.end());
        double cutAt = seconds();
        out.line("the readers of the store are" + names + (hasTrouble() ? "; they are cut off from it" : ""));
        sleepMs(changeDelayMs);
        std::string service = round % 2 ? "old" : "new";
        platform.put("config", "main", routeTo(service, 5 + round));
        changes.push_back({ seconds(), service });
        out.line("the store acknowledges version " + std::to_string(5 + round) + ", in which /a/ leads to " + service);
        sleepMs(static_cast<int>((cutAt + cutS - seconds()) * 1000));
        for (auto each : readers) {
            platform.cut(each, false);
        }
        out.line("the cut has healed");
        sleepMs(6'000);
    }
    isOver = true;
    for (auto& each : clients) {
        each.join();
    }
    all.reset();
    std::lock_guard lock(mutex);
    int late = 0;
    int served = 0;
    double last = 0;
    std::set<std::string> lateMachines;
    for (const auto& [id, each] : requests) {
        const change* newest = nullptr;
        for (const auto& other : changes) {
            newest = other.ackAt < each.sentAt ? &other : newest;
        }
        double age = newest ? each.sentAt - newest->ackAt : 0;
        bool isInTouch = !everCut.contains(each.machine);
        bool hasRun = !each.ranBy.empty();
        bool isLate = isInTouch && hasRun && age > propagationS && each.ranBy != newest->service;
        late += isLate ? 1 : 0;
        served += hasRun ? 1 : 0;
        if (isLate) {
            last = std::max(last, age);
            lateMachines.insert("m" + std::to_string(each.machine + 1));
        }
        char line[200];
        std::snprintf(line, sizeof line, "%s at m%zu: sent %.3f s after the newest ack, status %d, run by %s%s", id.c_str(),
            each.machine + 1, age, each.status, each.ranBy.empty() ? "none" : each.ranBy.c_str(),
            isLate ? ", TOO LATE" : "");
        out.line(line);
    }
    char result[200];
    std::snprintf(result, sizeof result,
        "requests that machines in touch gave to the old service later than configPropagationMs after the ack: %d, "
        "at %zu machines, the last one sent %.2f s after it; all services ran %d",
        late, lateMachines.size(), last, served);
    out.line(result);
    std::puts(result);
    std::fflush(nullptr);
    std::_Exit(late > 0 ? 1 : served > 500 ? 0 : 2);
}
