#include "testing/soak/entry_process.h"

#include "marlsill/base/time.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace marlsill::testing {

namespace {

    std::string hostOf(int entry) { return "127.0.1." + std::to_string(entry + 1); }

    constexpr int maxPortAttempts = 100; // For a number that is free for both kinds of sockets.
    constexpr std::streamoff loggedEndBytes = 4'096; // About 20 lines.

}

// Ports of one fleet, the same on all its hosts, and all different. The kernel gives a port on the holding
// host to one socket of a kind only, so no other fleet on this machine, of any process, gets one while the
// sockets are open. A daemon uses the peer port for datagrams and, for relayed requests, for connections.
class held_ports {
public:
    held_ports()
        : m_caller(listenAnywhere())
        , m_readiness(listenAnywhere())
        , m_directory(listenAnywhere())
        , m_relay(listenAnywhere())
    {
        for (int attempt = 1; !m_peer; ++attempt) {
            try {
                m_peer.emplace(m_relay.address(), false);
            } catch (const Poco::Exception&) {
                if (attempt == maxPortAttempts) {
                    throw;
                }
                m_relay = listenAnywhere();
            }
        }
    }

    int caller() const { return m_caller.address().port(); }
    int readiness() const { return m_readiness.address().port(); }
    int directory() const { return m_directory.address().port(); }
    int peer() const { return m_relay.address().port(); }

private:
    // Returns a listener at a port that no other socket may share, which POCO's usual ones allow.
    static Poco::Net::ServerSocket listenAnywhere()
    {
        Poco::Net::ServerSocket listener;
        listener.bind(Poco::Net::SocketAddress(holdingHost, 0), false, false);
        listener.listen();
        return listener;
    }

    Poco::Net::ServerSocket m_caller;
    Poco::Net::ServerSocket m_readiness;
    Poco::Net::ServerSocket m_directory;
    Poco::Net::ServerSocket m_relay; // The peer port.
    std::optional<Poco::Net::DatagramSocket> m_peer; // The same.
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

std::string entry_process::settingsText() const
{
    std::ostringstream text;
    auto at = [&](int port) { return m_options.host + ":" + std::to_string(port); };
    text << "name = " << m_options.name << "\nregion = r\nfailure-domain = " << m_options.domain
         << "\nhost = " << m_options.host << "\nupstream-source-address = " << m_options.host
         << "\ncaller-address = " << at(m_options.callerPort)
         << "\nreadiness-address = " << at(m_options.readinessPort)
         << "\ndirectory-address = " << at(m_options.directoryPort) << "\npeer-port = " << m_options.peerPort
         << "\nseeds = " << m_options.seeds << "\nstore-address = " << m_options.store
         << "\nstop-grace-s = " << m_options.graceSeconds << "\nretry-ratio = " << retryRatio
         << "\nretry-slack = " << retrySlack << "\nretry-window-s = " << retryWindow.count() << "\n"
         << m_options.extraSettings << "end-of-settings = yes\n";
    return text.str();
}

bool entry_process::start()
{
    std::ofstream(settingsPath()) << settingsText();
    return startUnwritten();
}

bool entry_process::startUnwritten()
{
    ++m_starts;
    m_label = m_nextLabel;
    m_killAt = {};
    m_process = std::make_unique<spawned_process>(spawn_options { .program = m_program,
        .environment = { "MARLSILL_NODE_FILE=" + settingsPath() },
        .log = logPath(),
        .maxDescriptors = m_options.maxDescriptors });
    return m_process->start();
}

std::string entry_process::logEnd() const
{
    std::string state = "not started";
    if (m_process) {
        state = m_process->isRunning() ? "running" : m_process->endText();
    }
    std::ifstream log(logPath(), std::ios::binary | std::ios::ate);
    std::ostringstream text;
    text << m_options.name << " (" << state << "), the end of its log:\n";
    if (!log) {
        text << "there is no log\n";
        return text.str();
    }
    log.seekg(std::max<std::streamoff>(0, log.tellg() - loggedEndBytes));
    if (log.peek() != std::ifstream::traits_type::eof()) {
        text << log.rdbuf();
    }
    return text.str();
}

void reportNotServing(const entry_process& entry)
{
    std::cout << "does not serve: " << entry.logEnd() << '\n';
}

void entry_process::signal(int number)
{
    if (isRunning()) {
        if (number == SIGTERM && m_killAt == deadline()) {
            m_killAt = deadlineAfter(std::chrono::seconds(m_options.graceSeconds));
        }
        m_process->signal(number);
    }
}

void entry_process::kill()
{
    if (m_process) {
        m_process->kill();
    }
}

bool entry_process::awaitEnd()
{
    bool hasEnded = !isRunning() || m_process->awaitEnd(m_killAt);
    if (!hasEnded) {
        kill();
    }
    return hasEnded;
}

}
