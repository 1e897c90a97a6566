#include "testing/soak/entry_process.h"

#include "marlsill/base/time.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    constexpr std::chrono::milliseconds endCheck { 10 };

    std::string hostOf(int entry) { return "127.0.1." + std::to_string(entry + 1); }

    constexpr const char* holdingHost = "127.0.1.254"; // Of no daemon.

}

// Ports of one fleet, the same on all its hosts. The kernel gives a port on the holding host to one socket
// only, so no other fleet on this machine, of any process, gets one while the sockets are open.
class held_ports {
public:
    held_ports()
        : m_caller(anyPort())
        , m_readiness(anyPort())
        , m_directory(anyPort())
        , m_peer(anyPort())
    {
    }

    int caller() const { return m_caller.address().port(); }
    int readiness() const { return m_readiness.address().port(); }
    int directory() const { return m_directory.address().port(); }
    int peer() const { return m_peer.address().port(); }

private:
    static Poco::Net::SocketAddress anyPort() { return { holdingHost, 0 }; }

    Poco::Net::ServerSocket m_caller;
    Poco::Net::ServerSocket m_readiness;
    Poco::Net::ServerSocket m_directory;
    Poco::Net::DatagramSocket m_peer;
};

std::vector<entry_options> planFleet(int entries)
{
    auto ports = std::make_shared<const held_ports>();
    auto peerPort = std::to_string(ports->peer());
    auto seeds = hostOf(0) + ":" + peerPort + "," + hostOf(1) + ":" + peerPort;
    std::vector<entry_options> fleet;
    for (int index = 0; index < entries; ++index) {
        fleet.push_back({ .name = "entry-" + std::to_string(index),
            .host = hostOf(index),
            .domain = "domain-" + std::to_string(index % 3),
            .seeds = seeds,
            .callerPort = ports->caller(),
            .readinessPort = ports->readiness(),
            .directoryPort = ports->directory(),
            .peerPort = ports->peer(),
            .ports = ports });
    }
    return fleet;
}

std::vector<std::unique_ptr<entry_process>> startFleet(
    int entries, const std::string& program, const std::string& folder, const std::string& store)
{
    std::vector<std::unique_ptr<entry_process>> fleet;
    for (auto& planned : planFleet(entries)) {
        planned.program = program;
        planned.folder = folder;
        planned.store = store;
        fleet.push_back(std::make_unique<entry_process>(planned));
        fleet.back()->start();
    }
    return fleet;
}

entry_process::entry_process(entry_options options)
    : m_options(std::move(options))
    , m_program(m_options.program)
{
}

void entry_process::setBuild(std::string program, std::string label)
{
    m_program = std::move(program);
    m_nextLabel = std::move(label);
}

entry_process::~entry_process() { kill(); }

void entry_process::writeSettings() const
{
    std::ofstream file(m_options.folder + "/" + m_options.name + ".conf");
    auto at = [&](int port) { return m_options.host + ":" + std::to_string(port); };
    file << "name = " << m_options.name << "\nregion = r\nfailure-domain = " << m_options.domain
         << "\nhost = " << m_options.host << "\nupstream-source-address = " << m_options.host
         << "\ncaller-address = " << at(m_options.callerPort)
         << "\nreadiness-address = " << at(m_options.readinessPort)
         << "\ndirectory-address = " << at(m_options.directoryPort) << "\npeer-port = " << m_options.peerPort
         << "\nseeds = " << m_options.seeds << "\nstore-address = " << m_options.store
         << "\nstop-grace-s = " << m_options.graceSeconds << "\nretry-ratio = " << retryRatio
         << "\nretry-slack = " << retrySlack << "\nretry-window-s = " << retryWindow.count() << "\n";
}

bool entry_process::start()
{
    writeSettings();
    auto base = m_options.folder + "/" + m_options.name;
    auto variable = "MARLSILL_NODE_FILE=" + base + ".conf";
    char* environment[] = { variable.data(), nullptr };
    auto program = m_program;
    char* arguments[] = { program.data(), nullptr };
    auto log = base + ".log";
    ++m_starts;
    m_label = m_nextLabel;
    m_killAt = {};
    m_pid = ::fork();
    if (m_pid == 0) {
        // Nothing but system calls here, as other threads of the soak may hold locks.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No daemon outlives a soak that is ended from outside.
        int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(program.c_str(), arguments, environment);
        ::_exit(1);
    }
    return m_pid > 0;
}

void entry_process::signal(int number)
{
    if (m_pid > 0) {
        if (number == SIGTERM && m_killAt == deadline()) {
            m_killAt = deadlineAfter(std::chrono::seconds(m_options.graceSeconds));
        }
        ::kill(m_pid, number);
    }
}

void entry_process::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

bool entry_process::awaitEnd()
{
    while (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) != m_pid) {
        if (hasPassed(m_killAt, steady_clock::now())) {
            kill();
            return false;
        }
        std::this_thread::sleep_for(endCheck);
    }
    m_pid = 0;
    return true;
}

}
