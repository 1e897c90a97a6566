// Tests of the entry daemons as processes, at whose start something is missing for a while or comes at a bad
// moment.

#include "marlsill/cluster/peer_message.h"
#include "testing/raw_caller.h"
#include "testing/single_daemon.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds missingTime { 700 }; // How long something is missing.
    constexpr milliseconds stopLimit { 1'000 }; // Of a daemon that has not served yet.
    constexpr milliseconds refusalLimit { 5'000 }; // For the error of settings that stay wrong.

    int portOf(const entry_options& options, const std::string& part)
    {
        return part == "callers"  ? options.callerPort
            : part == "readiness" ? options.readinessPort
            : part == "directory" ? options.directoryPort
                                  : options.peerPort;
    }

    // The settings of the product's own daemon, on one loopback address.
    spawn_options ownDaemon(const std::string& log, int callerPort)
    {
        return { .program = MARLSILL_OWN_ENTRY_PROGRAM,
            .arguments = { "--name=vm-1", "--failure-domain=a",
                "--caller-address=127.0.0.1:" + std::to_string(callerPort), "--operator-address=127.0.0.1:0",
                "--peer-address=127.0.0.1:0", "--platform=127.0.0.1:9", "--fleet-key=0123456789abcdef",
                "--operator-key=0123456789abcdef" },
            .log = log };
    }

}

TEST_CASE("A daemon whose port is still held by a predecessor starts once it is free")
{
    // Guards against an exit at the first failed bind.
    for (const std::string part : { "callers", "readiness", "directory", "relay", "peers" }) {
        CAPTURE(part);
        single_daemon tested;
        Poco::Net::SocketAddress address(tested.at(portOf(tested.daemon().options(), part)));
        std::optional<Poco::Net::ServerSocket> listener;
        std::optional<Poco::Net::DatagramSocket> datagrams;
        if (part == "peers") {
            datagrams.emplace(address, false);
        } else {
            listener.emplace(address);
        }
        REQUIRE(tested.daemon().start());
        std::this_thread::sleep_for(missingTime);
        CHECK_MESSAGE(tested.daemon().process()->isRunning(), tested.daemon().process()->endText());
        listener.reset();
        datagrams.reset();
        CHECK(tested.awaitReady());
    }
}

TEST_CASE("A daemon that waits for a port ends soon when it is stopped")
{
    single_daemon tested;
    Poco::Net::ServerSocket holder(Poco::Net::SocketAddress(tested.daemon().callerAddress()));
    REQUIRE(tested.daemon().start());
    std::this_thread::sleep_for(missingTime);
    tested.daemon().signal(SIGTERM);
    CHECK(tested.daemon().process()->awaitEnd(deadlineAfter(stopLimit)));
    CHECK(tested.daemon().process()->endText() == "exit status 0");
}

TEST_CASE("A daemon whose metrics port is taken serves without metrics")
{
    // As in settings that have one internal port only, or one that another process holds.
    Poco::Net::ServerSocket holder(Poco::Net::SocketAddress("127.0.1.1", 0), 1);
    single_daemon tested("metrics-port = " + std::to_string(holder.address().port()) + "\n");
    REQUIRE(tested.daemon().start());
    CHECK_MESSAGE(tested.awaitReady(), tested.daemon().process()->endText());
}

TEST_CASE("A daemon whose settings file is written while it starts reads the whole file")
{
    // Guards against an exit, and against the values of a part of the file.
    struct row {
        const char* name;
        std::function<std::string(const std::string& whole)> firstText; // Nothing: there is no file.
    };
    const row rows[] = {
        { "empty", [](const auto&) { return std::string("\n"); } },
        { "cut between lines", [](const auto& whole) { return whole.substr(0, whole.find("host =")); } },
        { "cut within a value",
            [](const auto& whole) { return whole.substr(0, whole.find("retry-window-s") + 18); } },
        { "cut where the rest has defaults",
            [](const auto& whole) { return whole.substr(0, whole.find("stop-grace-s")); } },
        { "missing", [](const auto&) { return std::string(); } },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        single_daemon tested;
        auto whole = tested.daemon().settingsText();
        auto first = each.firstText(whole);
        if (!first.empty()) {
            std::ofstream(tested.daemon().settingsPath()) << first;
        }
        REQUIRE(tested.daemon().startUnwritten());
        while (tested.daemon().process()->isRunning()
            && tested.logText().find("start_waiting part=settings") == std::string::npos) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        CHECK_MESSAGE(tested.daemon().process()->isRunning(), tested.daemon().process()->endText());
        CHECK(tested.logText().find("daemon_started") == std::string::npos);
        std::ofstream(tested.daemon().settingsPath()) << whole;
        CHECK(tested.awaitReady());
    }
}

TEST_CASE("A daemon whose settings stay wrong ends with a clear error")
{
    single_daemon tested("drain-ms = soon\n");
    REQUIRE(tested.daemon().start());
    CHECK(tested.daemon().process()->awaitEnd(deadlineAfter(refusalLimit)));
    CHECK(tested.daemon().process()->endText() == "exit status 2");
    CHECK(tested.logText().find("drain-ms has the value 'soon'") != std::string::npos);
}

TEST_CASE("A daemon starts with fractions in its settings and without a region")
{
    single_daemon tested;
    auto text = tested.daemon().settingsText();
    auto replace = [&](const std::string& from, const std::string& to) {
        auto found = text.find(from);
        REQUIRE(found != std::string::npos);
        text.replace(found, from.size(), to);
    };
    replace("region = r\n", "region = \n");
    replace("stop-grace-s = 3\n", "stop-grace-s = 2.5\n");
    std::ofstream(tested.daemon().settingsPath()) << text;
    REQUIRE(tested.daemon().startUnwritten());
    CHECK_MESSAGE(tested.awaitReady(), tested.daemon().process()->endText());
}

TEST_CASE("A signal during the start of a daemon does not end it")
{
    // Guards against the default action of SIGHUP, and a lost SIGTERM, before the handlers are in place. The
    // settings come through a pipe, which tells the test when the daemon reads them.
    struct row {
        int signal;
        bool isStopped;
    };
    for (const row& each : { row { SIGHUP, false }, row { SIGTERM, true }, row { SIGINT, true } }) {
        CAPTURE(each.signal);
        single_daemon tested;
        auto path = tested.daemon().settingsPath();
        REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
        REQUIRE(tested.daemon().startUnwritten());
        int writer = ::open(path.c_str(), O_WRONLY);
        REQUIRE(writer >= 0);
        tested.daemon().process()->signal(each.signal);
        // The next reader finds a file.
        std::ofstream(path + ".new") << tested.daemon().settingsText();
        std::filesystem::rename(path + ".new", path);
        auto text = tested.daemon().settingsText();
        CHECK(::write(writer, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        ::close(writer);
        if (each.isStopped) {
            CHECK(tested.daemon().process()->awaitEnd(deadlineAfter(startLimit)));
            CHECK(tested.daemon().process()->endText() == "exit status 0");
        } else {
            CHECK_MESSAGE(tested.awaitReady(), tested.daemon().process()->endText());
        }
    }
}

TEST_CASE("A daemon whose log nobody reads any more goes on")
{
    single_daemon tested;
    std::ofstream(tested.daemon().settingsPath()) << tested.daemon().settingsText();
    int ends[2];
    REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
    spawned_process daemon({ .program = MARLSILL_ENTRY_PROGRAM,
        .environment = { "MARLSILL_NODE_FILE=" + tested.daemon().settingsPath() },
        .output = ends[1] });
    ::close(ends[0]);
    REQUIRE(daemon.start());
    ::close(ends[1]);
    CHECK_FALSE(daemon.awaitEnd(deadlineAfter(missingTime)));
    CHECK(daemon.endText() == "");
}

TEST_CASE("A daemon outlives a peer's record with an address that cannot be read")
{
    // Guards against an exception of one handler that ends the process, and a directory that answers nobody.
    for (const std::string address :
        { "\xff\xfe:80", "", "somewhere", "127.0.1.9:80:80", "127.0.1.9:70000" }) {
        CAPTURE(address.size());
        single_daemon tested;
        REQUIRE(tested.daemon().start());
        REQUIRE(tested.awaitReady());
        const auto& options = tested.daemon().options();
        cluster::peer_message message { .sender = "127.0.1.9",
            .members = { { .host = "127.0.1.9",
                .failureDomain = options.domain,
                .callerAddress = address,
                .incarnation = 1,
                .version = 1,
                .state = cluster::member_state::ready } } };
        auto bytes = cluster::encode(message);
        Poco::Net::DatagramSocket socket;
        socket.sendTo(bytes.data(), static_cast<int>(bytes.size()),
            Poco::Net::SocketAddress(tested.at(options.peerPort)));
        for (auto until = deadlineAfter(missingTime); !hasPassed(until, steady_clock::now());) {
            raw_caller caller(tested.at(options.directoryPort));
            caller.send("GET /resolve?name=h.example HTTP/1.1\r\nHost: h\r\n\r\n");
            auto answer = caller.receive();
            REQUIRE(answer.status == 200);
            CHECK(answer.body.find("[\"" + tested.daemon().callerAddress() + "\"]") != std::string::npos);
        }
        CHECK_MESSAGE(tested.daemon().process()->isRunning(), tested.daemon().process()->endText());
    }
}

TEST_CASE("The product's own daemon starts beside a port that is held and beside signals")
{
    struct row {
        const char* name;
        bool isPortHeld;
        int signal; // During the start and afterwards; 0: none.
    };
    for (const row& each : { row { "port held", true, 0 }, row { "SIGHUP", false, SIGHUP } }) {
        CAPTURE(std::string(each.name));
        auto log = std::filesystem::temp_directory_path()
            / ("marlsill-own-" + std::to_string(::getpid()) + "-" + std::to_string(each.signal));
        std::optional<Poco::Net::ServerSocket> holder(std::in_place);
        holder->bind(Poco::Net::SocketAddress("127.0.0.1", 0), false);
        holder->listen();
        auto port = holder->address().port();
        if (!each.isPortHeld) {
            holder.reset();
        }
        spawned_process daemon(ownDaemon(log.string(), port));
        REQUIRE(daemon.start());
        std::this_thread::sleep_for(missingTime);
        if (each.signal != 0) {
            daemon.signal(each.signal);
        }
        CHECK_FALSE(daemon.awaitEnd(deadlineAfter(missingTime)));
        CHECK(daemon.endText() == "");
        holder.reset();
        auto isServing = [&] {
            try {
                raw_caller caller("127.0.0.1:" + std::to_string(port));
                return true;
            } catch (const Poco::Exception&) {
                return false;
            }
        };
        auto limit = deadlineAfter(startLimit);
        while (!isServing() && !hasPassed(limit, steady_clock::now())) {
            std::this_thread::sleep_for(milliseconds(20));
        }
        CHECK(isServing());
        daemon.kill();
        std::filesystem::remove(log);
    }
}

}
