// Case 11: processes that start again read a store that has come back from a copy, and accept a key that was
// withdrawn. Writes each request to the record; see ../11/claim.txt.

#include "stand_ins.hpp"

using namespace kit;

namespace {

struct request {
    double sentAt = 0;
    double ranAt = -1; // Negative: it has not run.
    std::string key;
    std::string machine;
    int status = 0; // 0: no answer.
};

constexpr int machines = 6;
constexpr int killed = 3; // Half of them: a herd_kill's share is 0.55 at most.
constexpr double revocationS = 5.0; // revocationMs

// Seconds from the ack of the withdrawal.
constexpr double awayAt = 3.2;
constexpr double killedAt = 4.05;
constexpr double startedAt = 4.65;
constexpr double backAt = 5.0;
constexpr double rewrittenAt = 7.0; // The operator writes again what the store has lost.
constexpr double endAt = 9.0;

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record out(argc > 1 ? argv[1] : "record.txt");
    bool isDisturbed = hasTrouble();
    ports used;
    static store platform;
    static std::mutex mutex;
    static std::map<std::string, request> requests;
    std::vector<std::unique_ptr<backend>> backends;
    for (int index = 0; index < 3; ++index) {
        auto onRun = [](const arrival& each) {
            std::lock_guard lock(mutex);
            requests[each.id].ranAt = seconds();
            return std::string();
        };
        backends.push_back(std::make_unique<backend>(
            "127.0.43." + std::to_string(index + 1), "i-" + std::to_string(index), 4, onRun));
        platform.put(
            "servers", backends.back()->id(), backends.back()->entry("svc", fleet::zoneOf(index), 20));
    }
    platform.put("config", "main", configuration(4, "unsafe", "\"key-1\",\"key-2\"", 0, 0));
    auto shared = deploymentFields(used, platform.address());
    addTenantTerms(shared);
    auto all = std::make_unique<fleet>("127.0.42.", machines, killed, "0.2", shared, used);
    if (!all->start()) {
        out.line("the machines did not become ready");
        all.reset();
        std::_Exit(2);
    }
    out.line("all machines are ready");
    std::atomic<bool> isOver = false;
    std::atomic<long> lastId = 0;
    std::vector<std::thread> clients;
    for (int index = 0; index < 2 * machines; ++index) { // At each machine one with key-1 and one with key-2.
        clients.emplace_back([&, index] {
            connection link;
            std::string head;
            std::string body;
            auto host = all->at(static_cast<std::size_t>(index / 2)).host();
            std::string key = index % 2 ? "key-1" : "key-2";
            while (!isOver) {
                sleepMs(40);
                if (!link.isOpen() && !link.open(host, used.frontend, 300)) {
                    continue;
                }
                auto id = "a" + std::to_string(++lastId);
                {
                    std::lock_guard lock(mutex);
                    requests[id] = { seconds(), -1, key, host, 0 };
                }
                bool isAnswered = link.send("POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
                                      + "\r\nDeadline-Milliseconds: 2000\r\nAuthorization: Bearer " + key
                                      + "\r\nContent-Length: 2\r\n\r\nhi")
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
    sleepMs(6'000);
    platform.takeCopy();
    sleepMs(500);
    platform.put("config", "main", configuration(5, "unsafe", "\"key-2\"", 0, 0));
    double ackAt = seconds();
    out.line("the store acknowledges version 5, which takes key-1 away");
    auto awaitTime = [&](double at) {
        if (auto left = ackAt + at - seconds(); left > 0) {
            sleepMs(static_cast<int>(left * 1000));
        }
    };
    if (isDisturbed) {
        awaitTime(awayAt);
        platform.setAway(true);
        out.line("the store is away");
        awaitTime(killedAt);
        for (int index = 0; index < killed; ++index) {
            all->at(static_cast<std::size_t>(index)).kill(SIGKILL);
        }
        out.line("SIGKILL of m1 to m3");
        awaitTime(startedAt);
        for (int index = 0; index < killed; ++index) {
            all->at(static_cast<std::size_t>(index)).start();
        }
        out.line("m1 to m3 are started again");
        awaitTime(backAt);
        platform.restore();
        out.line("the store is back from a copy, 5.5 s old, in the next era; its configuration is version 4");
        awaitTime(rewrittenAt);
        platform.put("config", "main", configuration(5, "unsafe", "\"key-2\"", 0, 0));
        out.line("the operator has written version 5 again");
    }
    awaitTime(endAt);
    isOver = true;
    for (auto& each : clients) {
        each.join();
    }
    all.reset();
    std::lock_guard lock(mutex);
    int late = 0;
    int served = 0;
    int refused = 0;
    double last = 0;
    for (const auto& [id, each] : requests) {
        bool isWithdrawn = each.key == "key-1" && each.sentAt > ackAt + revocationS;
        bool isLate = isWithdrawn && each.ranAt >= 0;
        served += each.key == "key-2" && each.status == 200 ? 1 : 0;
        refused += isWithdrawn && each.status == 401 ? 1 : 0;
        late += isLate ? 1 : 0;
        last = isLate ? std::max(last, each.sentAt - ackAt) : last;
        char line[200];
        std::snprintf(line, sizeof line, "%s %s at %s: sent %.3f s after the ack, status %d, %s%s", id.c_str(),
            each.key.c_str(), each.machine.c_str(), each.sentAt - ackAt, each.status,
            each.ranAt >= 0 ? "ran" : "not run", isLate ? ", TOO LATE" : "");
        out.line(line);
    }
    char result[200];
    std::snprintf(result, sizeof result,
        "requests with key-1 sent later than revocationMs after the ack: %d ran, the last one sent %.2f s after "
        "it, %d got 401; with key-2 %d were served",
        late, last, refused, served);
    out.line(result);
    std::puts(result);
    std::fflush(nullptr);
    bool isSound = served > 500 && refused > 50;
    std::_Exit(late > 0 ? 1 : isSound ? 0 : 2);
}
