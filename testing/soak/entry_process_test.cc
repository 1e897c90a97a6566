#include "testing/soak/entry_process.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <unistd.h>

namespace marlsill::testing {

TEST_CASE("Fleets that are planned before the others have started never share a port")
{
    struct row {
        const char* name;
        int fleets;
        int entries;
    };
    const row rows[] = {
        { "one of nine", 1, 9 },
        { "one as large as the limits allow", 1, 100 },
        { "as many as CI starts, all at once", 60, 32 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        std::vector<std::vector<entry_options>> fleets;
        std::set<std::string> taken;
        int planned = 0;
        for (int fleet = 0; fleet < each.fleets; ++fleet) {
            fleets.push_back(planFleet(each.entries));
            for (const auto& entry : fleets.back()) {
                for (int port : { entry.callerPort, entry.readinessPort, entry.directoryPort }) {
                    taken.insert("tcp " + entry.host + ":" + std::to_string(port));
                    ++planned;
                }
                // Relayed requests come to the peer port over TCP.
                for (const auto* kind : { "tcp ", "udp " }) {
                    taken.insert(kind + entry.host + ":" + std::to_string(entry.peerPort));
                    ++planned;
                }
            }
        }
        CHECK(static_cast<int>(taken.size()) == planned);
    }
}

TEST_CASE("A planned fleet holds each of its ports for every kind of socket that its daemons open there")
{
    // Guards against a peer port that another fleet is given for its listeners, so that the second one to
    // start does not serve.
    auto fleet = planFleet(1);
    const auto& planned = fleet.front();
    struct row {
        const char* name;
        int port;
        bool isStream;
    };
    const row rows[] = {
        { "callers", planned.callerPort, true },
        { "readiness", planned.readinessPort, true },
        { "directory", planned.directoryPort, true },
        { "relayed requests", planned.peerPort, true },
        { "peers", planned.peerPort, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        Poco::Net::SocketAddress address(holdingHost, static_cast<Poco::UInt16>(each.port));
        auto take = [&] {
            if (each.isStream) {
                Poco::Net::ServerSocket listener;
                listener.bind(address, true, false); // As the daemons do.
                listener.listen();
            } else {
                Poco::Net::DatagramSocket datagrams(address, false);
            }
        };
        CHECK_THROWS_AS(take(), Poco::Exception);
    }
}

TEST_CASE("What is printed of a daemon that does not serve names its state and the end of its log")
{
    // Guards against a fixture that removes the only trace of a daemon that has not started.
    struct row {
        const char* name;
        std::string log;
        std::string expected;
        std::string unexpected;
    };
    const row rows[] = {
        { "a short log", "E1013 Address already in use\n", "E1013 Address already in use",
            "there is no log" },
        { "an empty log", "", "not started", "there is no log" },
        { "a long log", std::string(10'000, 'a') + "\nE1013 last line\n", "E1013 last line",
            std::string(5'000, 'a') },
    };
    auto folder = std::filesystem::temp_directory_path() / ("marlsill-log-end-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    entry_process entry({ .folder = folder.string(), .name = "entry-0" });
    CHECK(entry.logEnd().find("there is no log") != std::string::npos);
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        std::ofstream(entry.logPath()) << each.log;
        auto printed = entry.logEnd();
        CHECK(printed.find("entry-0 (not started)") != std::string::npos);
        CHECK(printed.find(each.expected) != std::string::npos);
        CHECK(printed.find(each.unexpected) == std::string::npos);
    }
    std::filesystem::remove_all(folder);
}

}
