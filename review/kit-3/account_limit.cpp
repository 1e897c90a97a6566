// Case 12: after many processes were killed while the store is away, two sets of machines lend the whole limit
// of one tenant at the same time. Writes each request to the record; see ../12/claim.txt.

#include "stand_ins.hpp"

#include <algorithm>
#include <random>

using namespace kit;

namespace {

struct request {
    double sentAt = 0;
    double ranAt = -1; // Negative: it has not run.
    int status = 0; // 0: no answer.
};

constexpr int machines = 13;
constexpr int killed = 7; // 0.54 of the machines: a herd_kill's share is 0.55 at most.
constexpr int ratePerS = 300;
constexpr int burst = 30;
constexpr int clientCount = 141; // At ten requests a second, 7.5 times the usual of the tenant: a hot_tenant.
constexpr double windowS = 5; // quotaWindowS
constexpr double overshoot = 0.1; // quotaOvershoot
constexpr double slack = 20; // quotaSlack
constexpr double storeAwayS = 4.0; // A platform_down lasts 4.5 s at most.

std::mutex mutex;
std::map<std::string, request> requests;
std::atomic<bool> isOver = false;
std::atomic<long> lastId = 0;

// Users of one client: each asks the directory, keeps the answer for its time, some for three times as long,
// and sends ten requests a second on a connection of its own until another user takes its place.
class client {
public:
    client(int index, fleet& all, const ports& used)
        : m_index(index)
        , m_fleet(all)
        , m_ports(used)
        , m_random(static_cast<unsigned>(index))
    {
    }

    void run()
    {
        double next = seconds() + (m_index % 30) / 300.0;
        double leavesAt = 0;
        while (!isOver) {
            if (seconds() >= leavesAt) {
                m_link.end();
                m_addresses.clear();
                m_resolvedUntil = 0;
                leavesAt = seconds() + std::uniform_real_distribution<>(0.5, 3)(m_random);
            }
            if (seconds() >= m_resolvedUntil) {
                resolve();
            }
            next = std::max(next + 0.1, seconds() - 0.2);
            if (auto wait = next - seconds(); wait > 0) {
                sleepMs(static_cast<int>(wait * 1000));
            }
            if (m_link.isOpen() || connect()) {
                send();
            }
        }
    }

private:
    void resolve()
    {
        for (int attempt = 0; attempt < 3; ++attempt) {
            connection asking;
            std::string head;
            std::string body;
            const auto& host = m_fleet.at(m_random() % m_fleet.size()).host();
            bool isAnswered = asking.open(host, m_ports.directory, 1000)
                && asking.send("GET /resolve?name=h.example&region=south&zone=" + fleet::zoneOf(m_index)
                    + " HTTP/1.1\r\nHost: directory\r\n\r\n")
                && asking.receive(head, body, 1000) && head.rfind("HTTP/1.1 200", 0) == 0;
            if (!isAnswered) {
                continue;
            }
            m_addresses.clear();
            m_failed.clear();
            for (auto at = body.find("127."); at != std::string::npos; at = body.find("127.", at + 1)) {
                m_addresses.push_back(body.substr(at, body.find('"', at) - at));
            }
            m_resolvedUntil = seconds() + (m_index % 3 == 0 ? 6 : 2); // ttlS is 2.
            if (std::find(m_addresses.begin(), m_addresses.end(), m_address) == m_addresses.end()) {
                m_link.end();
            }
            return;
        }
    }

    bool connect()
    {
        std::vector<std::string> usable;
        for (const auto& each : m_addresses) {
            if (!m_failed.contains(each)) {
                usable.push_back(each);
            }
        }
        if (usable.empty()) {
            m_resolvedUntil = 0;
            return false;
        }
        m_address = usable[m_random() % usable.size()];
        auto colon = m_address.find(':');
        if (m_link.open(m_address.substr(0, colon), std::atoi(m_address.c_str() + colon + 1), 1000)) {
            return true;
        }
        m_failed.insert(m_address);
        return false;
    }

    void send()
    {
        auto id = "a" + std::to_string(++lastId);
        {
            std::lock_guard lock(mutex);
            requests[id].sentAt = seconds();
        }
        std::string head;
        std::string body;
        bool isAnswered = m_link.send("GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
                              + "\r\nDeadline-Milliseconds: 2000\r\nAuthorization: Bearer key-1\r\n\r\n")
            && m_link.receive(head, body, 2500);
        std::lock_guard lock(mutex);
        requests[id].status = isAnswered ? std::atoi(head.c_str() + 9) : 0;
        if (!isAnswered) {
            m_failed.insert(m_address);
        }
        if (!isAnswered || connection::field(head, "Connection") == "close") {
            m_link.end();
        }
    }

    const int m_index;
    fleet& m_fleet;
    const ports m_ports;
    std::mt19937 m_random;
    connection m_link;
    std::string m_address;
    std::vector<std::string> m_addresses;
    std::set<std::string> m_failed;
    double m_resolvedUntil = 0;
};

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record out(argc > 1 ? argv[1] : "record.txt");
    ports used;
    static store platform;
    std::vector<std::unique_ptr<backend>> backends;
    for (int index = 0; index < 6; ++index) {
        auto onRun = [](const arrival& each) {
            std::lock_guard lock(mutex);
            requests[each.id].ranAt = seconds();
            return std::string();
        };
        backends.push_back(std::make_unique<backend>(
            "127.0.41." + std::to_string(index + 1), "i-" + std::to_string(index), 4, onRun));
        platform.put(
            "servers", backends.back()->id(), backends.back()->entry("svc", fleet::zoneOf(index), 20));
    }
    platform.put("config", "main", configuration(7, "safe", "\"key-1\"", ratePerS, burst));
    auto shared = deploymentFields(used, platform.address());
    addTenantTerms(shared);
    auto all = std::make_unique<fleet>("127.0.40.", machines, killed, "0.1", shared, used);
    if (!all->start()) {
        out.line("the machines did not become ready");
        all.reset();
        std::_Exit(2);
    }
    out.line("all machines are ready");
    std::vector<std::thread> clients;
    for (int index = 0; index < clientCount; ++index) {
        clients.emplace_back([&, index] { client(index, *all, used).run(); });
    }
    sleepMs(12'000);
    double killedAt = seconds();
    if (hasTrouble()) {
        platform.setAway(true);
        out.line("the store is away");
        for (int index = 0; index < killed; ++index) {
            all->at(static_cast<std::size_t>(index)).kill(SIGKILL);
        }
        out.line("SIGKILL of m1 to m7");
        sleepMs(500);
        for (int index = 0; index < killed; ++index) {
            all->at(static_cast<std::size_t>(index)).start();
        }
        out.line("m1 to m7 are started again");
        sleepMs(static_cast<int>((killedAt + storeAwayS - seconds()) * 1000));
        platform.setAway(false);
        out.line("the store answers again");
    }
    sleepMs(static_cast<int>((killedAt + 14 - seconds()) * 1000));
    isOver = true;
    for (auto& each : clients) {
        each.join();
    }
    all.reset();
    std::lock_guard lock(mutex);
    std::vector<request> runs;
    for (const auto& [id, each] : requests) {
        char line[120];
        std::snprintf(line, sizeof line, "%s sent %.3f ran %.3f status %d", id.c_str(), each.sentAt, each.ranAt,
            each.status);
        out.line(line);
        if (each.ranAt >= 0) {
            runs.push_back(each);
        }
    }
    for (double from = 0; from < seconds(); from += 0.5) {
        auto count = std::count_if(runs.begin(), runs.end(),
            [&](const auto& each) { return each.ranAt >= from && each.ranAt < from + 0.5; });
        char line[80];
        std::snprintf(line, sizeof line, "ran from %.1f to %.1f: %ld", from, from + 0.5, static_cast<long>(count));
        out.line(line);
    }
    // The most requests that were sent and run within one window.
    long most = 0;
    double at = 0;
    for (double from = 0; from < seconds(); from += 0.05) {
        auto count = static_cast<long>(std::count_if(runs.begin(), runs.end(),
            [&](const auto& each) { return each.sentAt >= from && each.ranAt <= from + windowS; }));
        if (count > most) {
            most = count;
            at = from;
        }
    }
    double bound = (ratePerS * windowS + burst) * (1 + overshoot) + slack;
    char result[200];
    std::snprintf(result, sizeof result,
        "most requests of the tenant that were sent and run within %.0f s: %ld, from %.2f; allowed: %.0f", windowS,
        most, at, bound);
    out.line(result);
    std::puts(result);
    std::fflush(nullptr);
    bool isSound = static_cast<double>(most) > 0.8 * ratePerS * windowS;
    std::_Exit(static_cast<double>(most) > bound ? 1 : isSound ? 0 : 2);
}
