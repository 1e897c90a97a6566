#include "marlsill/cluster/peer_mesh.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <map>

namespace marlsill::cluster {

namespace {

    using std::chrono::milliseconds;

    constexpr const char* firstHost = "127.0.2.1";
    constexpr const char* secondHost = "127.0.2.2";
    constexpr milliseconds learnLimit { 3'000 }; // The users' `stableWindowMs`.

    unsigned short freePort()
    {
        Poco::Net::DatagramSocket probe(Poco::Net::SocketAddress(firstHost, 0));
        return probe.address().port();
    }

    // One VM's mesh and what it knows of crashes.
    class mesh_vm {
    public:
        mesh_vm(asio::io_context& io, const std::string& host, const std::string& seed, unsigned short port,
            const std::string& build = "0.2.0")
            : m_mesh(io, { .port = port, .seeds = { seed }, .build = build },
                { .host = host, .callerAddress = host + ":80" }, {},
                { .evidence = [this](const auto& each) { heard.push_back(each.upstream); },
                    .load = [](auto, const auto&) {},
                    .crash = [this](const auto& each) { quarantine.merge(each, steady_clock::now()); },
                    .crashDigest = [this] { return quarantine.digest(steady_clock::now()); },
                    .nextCrashRecords
                    = [this](auto max) { return quarantine.nextRecords(max, steady_clock::now()); },
                    .allCrashRecords
                    = [this](auto max) -> std::optional<std::vector<placement::crash_record>> {
                        return isUpToDate
                            ? std::optional(quarantine.mostImportantRecords(max, steady_clock::now()))
                            : std::nullopt;
                    },
                    .crashesComplete = [this](const auto&) { ++completeAnswers; },
                    .limit = [this](const auto&) { ++limitNotices; },
                    .leaving = [this](const auto& notice) { leaving.push_back(notice); },
                    .permitRequest = [](const auto&) { return placement::permit_answer(); },
                    .permit = [](const auto&) {},
                    .changedLoads = [] { return std::vector<placement::upstream_load>(); },
                    .storeUpdate = [](const auto&) {},
                    .servicePeers = [this](const auto& upstream) { return sharing[upstream.front()]; },
                    .evidencePeers = [this](const auto& upstream) { return sharing[upstream.front()]; },
                    .isServicePeer
                    = [this](const auto& upstream) { return own.find(upstream.front()) != own.npos; } })
        {
            REQUIRE_FALSE(m_mesh.start());
        }

        std::string builds() const { return m_mesh.builds().summary(); }
        bool requestCrashes() { return m_mesh.requestCrashes(); }
        void setStaleKeys(bool hasStaleKeys) { m_mesh.setStaleKeys(hasStaleKeys); }
        bool knowsStaleKeysOf(const std::string& host) const { return m_mesh.members().hasStaleKeys(host); }
        bool knows(const std::string& host) const { return m_mesh.members().isKnown(host); }
        void publishEvidence(const std::string& upstream)
        {
            m_mesh.publish(placement::upstream_evidence { upstream });
        }
        void publishLimit(const placement::rate_limit_notice& limit) { m_mesh.publish(limit); }

        placement::crash_quarantine quarantine;
        bool isUpToDate = true;
        int completeAnswers = 0;
        void publishLeaving(const placement::leaving_notice& notice) { m_mesh.publish(notice); }

        int limitNotices = 0;
        std::vector<placement::leaving_notice> leaving; // Of which peers told.
        // Of upstreams by the first letter of their ids: hosts of the VMs that share them, and whether it
        // does.
        std::map<char, std::vector<std::string>> sharing;
        std::string own;
        std::vector<std::string> heard; // Upstreams that peers sent evidence about.

    private:
        peer_mesh m_mesh;
    };

}

TEST_CASE("VMs learn which builds run in the fleet, also of those that state none")
{
    struct row {
        const char* name;
        const char* first;
        const char* second;
        const char* onFirst;
        const char* onSecond;
    };
    const row rows[] = {
        { "the same build", "0.2.0", "0.2.0", "0.2.0=2", "0.2.0=2" },
        { "two builds", "0.2.0", "0.3.0", "0.2.0=1,0.3.0=1", "0.2.0=1,0.3.0=1" },
        { "a build that states none", "0.2.0", "", "0.2.0=1,unstated=1", "0.2.0=1,unstated=1" },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        asio::io_context io;
        auto port = freePort();
        mesh_vm first(io, firstHost, secondHost, port, each.first);
        mesh_vm second(io, secondHost, firstHost, port, each.second);
        auto until = deadlineAfter(learnLimit);
        while (!hasPassed(until, steady_clock::now())
            && (first.builds() != each.onFirst || second.builds() != each.onSecond)) {
            io.run_for(milliseconds(50));
        }
        CHECK(first.builds() == each.onFirst);
        CHECK(second.builds() == each.onSecond);
    }
}

TEST_CASE("Senders that are no members of the fleet do not count among its builds")
{
    asio::io_context io;
    auto port = freePort();
    mesh_vm vm(io, firstHost, firstHost, port);
    Poco::Net::DatagramSocket stranger(Poco::Net::SocketAddress(secondHost, 0));
    for (int index = 0; index < 10; ++index) {
        peer_message message;
        message.sender = "10.9.9." + std::to_string(index);
        message.ping = 1;
        message.build = "9.9." + std::to_string(index);
        auto bytes = encode(message);
        stranger.sendTo(
            bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(firstHost, port));
    }
    io.run_for(milliseconds(100));
    CHECK(vm.builds() == "0.2.0=1");
}

TEST_CASE("Crash records reach VMs that were not told when the crash happened")
{
    // Guards against requests that crash one upstream for each VM that starts late or lost a report.
    struct row {
        const char* name;
        std::uint64_t onFirst; // Records that only this VM has.
        std::uint64_t onSecond;
    };
    const row rows[] = {
        { "a VM that joins learns of one", 1, 0 },
        { "the fleet learns from a VM that joins", 0, 1 },
        { "both have some", 3, 2 },
        { "more than a datagram holds", 40, 0 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        asio::io_context io;
        auto port = freePort();
        auto now = steady_clock::now();
        mesh_vm first(io, firstHost, secondHost, port);
        for (std::uint64_t request = 1; request <= each.onFirst; ++request) {
            first.quarantine.recordCrash(request, "u1", now, now);
        }
        io.run_for(milliseconds(100));
        mesh_vm second(io, secondHost, firstHost, port);
        for (std::uint64_t request = 1; request <= each.onSecond; ++request) {
            second.quarantine.recordCrash(request, "u2", now, now);
        }
        auto until = deadlineAfter(learnLimit);
        auto areEqual = [&] {
            auto at = steady_clock::now();
            return first.quarantine.digest(at) == second.quarantine.digest(at);
        };
        while (!areEqual() && !hasPassed(until, steady_clock::now())) {
            io.run_for(milliseconds(10));
        }
        CHECK(areEqual());
        CHECK(
            second.quarantine.crashesOf(1, now) == (each.onFirst > 0 ? 1 : 0) + (each.onSecond > 0 ? 1 : 0));
    }
}

TEST_CASE("A VM outside the serving set is told the limit of an upstream")
{
    // Guards against each VM outside the set sending one request without a permit.
    asio::io_context io;
    auto port = freePort();
    mesh_vm observer(io, firstHost, secondHost, port);
    mesh_vm outsider(io, secondHost, firstHost, port);
    io.run_for(milliseconds(100));
    observer.publishLimit({ "u1", 2.0, steady_clock::now() });
    io.run_for(milliseconds(200));
    CHECK(outsider.limitNotices == 1);
}

TEST_CASE("Peers learn at once that a VM cannot check keys, and that it can again")
{
    asio::io_context io;
    auto port = freePort();
    mesh_vm stale(io, firstHost, secondHost, port);
    mesh_vm peer(io, secondHost, firstHost, port);
    io.run_for(milliseconds(100));
    REQUIRE(stale.knows(secondHost));
    for (bool isStale : { true, false }) {
        stale.setStaleKeys(isStale);
        io.run_for(milliseconds(50)); // Less than the time to the next ping.
        CHECK(peer.knowsStaleKeysOf(firstHost) == isStale);
    }
}

TEST_CASE("VMs that share an upstream are told that it leaves, and others are not")
{
    struct row {
        const char* name;
        const char* upstream;
        std::size_t told;
    };
    const row rows[] = { { "shared", "a1", 1 }, { "not shared", "b1", 0 } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        asio::io_context io;
        auto port = freePort();
        mesh_vm observer(io, firstHost, secondHost, port);
        mesh_vm peer(io, secondHost, firstHost, port);
        observer.sharing['a'] = { secondHost };
        io.run_for(milliseconds(100));
        observer.publishLeaving({ each.upstream, 77, steady_clock::now() });
        io.run_for(milliseconds(200));
        REQUIRE(peer.leaving.size() == each.told);
        for (const auto& notice : peer.leaving) {
            CHECK(notice.upstream == each.upstream);
            CHECK(notice.startedUnixMs == 77);
            CHECK(steady_clock::now() - notice.observedAt < milliseconds(1'000));
        }
    }
}

TEST_CASE("A VM is told of the upstreams that it shares, and of all if it uses some that are not its own")
{
    // Guards against telling each of the dozens of neighbours that a VM of a large fleet has all that it
    // sees, and against leaving a VM to find out itself which of the upstreams that it seldom uses fail.
    struct row {
        const char* name;
        std::string shared; // Letters of the upstreams that both share.
        std::vector<std::string> used; // By the second VM, which tells the first about them.
        std::vector<std::string> seen; // By the first VM.
        std::vector<std::string> heard; // By the second VM.
    };
    const row rows[] = {
        { "a neighbour", "a", { "a1" }, { "a1", "b1" }, { "a1" } },
        { "a neighbour twice", "ac", { "a1", "c1" }, { "a2", "b1", "c2" }, { "a2", "c2" } },
        { "a neighbour without a request", "a", {}, { "a1", "b1" }, { "a1" } },
        { "one that uses what is not its own", "a", { "b1" }, { "a1", "b2", "c1" }, { "a1", "b2", "c1" } },
        { "one that uses nothing", "", {}, { "a1" }, {} },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        asio::io_context io;
        auto port = freePort();
        mesh_vm first(io, firstHost, secondHost, port);
        mesh_vm second(io, secondHost, firstHost, port);
        second.own = each.shared;
        for (char letter : each.shared) {
            first.sharing[letter] = { secondHost };
        }
        for (char letter : { 'a', 'b', 'c' }) {
            second.sharing[letter] = { firstHost };
        }
        io.run_for(milliseconds(100));
        for (const auto& upstream : each.used) {
            second.publishEvidence(upstream);
        }
        io.run_for(milliseconds(100));
        CHECK(first.heard == each.used);
        for (const auto& upstream : each.seen) {
            first.publishEvidence(upstream);
        }
        io.run_for(milliseconds(100));
        CHECK(second.heard == each.heard);
    }
}

TEST_CASE("A VM that was away gets all crash records of a peer that is up to date, and is told so")
{
    struct row {
        const char* name;
        std::uint64_t records; // Of the peer.
        bool isPeerUpToDate;
    };
    const row rows[] = {
        { "none", 0, true },
        { "one datagram", 3, true },
        { "several datagrams", 40, true },
        { "a peer that is catching up itself", 3, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        asio::io_context io;
        auto port = freePort();
        mesh_vm asking(io, firstHost, secondHost, port);
        mesh_vm peer(io, secondHost, firstHost, port);
        io.run_for(milliseconds(100));
        auto now = steady_clock::now();
        for (std::uint64_t request = 1; request <= each.records; ++request) {
            peer.quarantine.recordCrash(request, "u1", now, now);
        }
        peer.isUpToDate = each.isPeerUpToDate;
        REQUIRE(asking.requestCrashes());
        auto until = deadlineAfter(milliseconds(100)); // Below the interval of pings, which tell records too.
        while (asking.completeAnswers == 0 && !hasPassed(until, steady_clock::now())) {
            io.run_for(milliseconds(1));
        }
        CHECK(asking.completeAnswers == (each.isPeerUpToDate ? 1 : 0));
        if (each.isPeerUpToDate) {
            CHECK(asking.quarantine.digest(now) == peer.quarantine.digest(now));
        }
    }
}

}
