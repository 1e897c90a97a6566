#pragma once

// One entry daemon as a process of its own, for the soak.
//
//     entry_process entry(options);
//     entry.start();
//     entry.signal(SIGSTOP);
//
// The process is ended, by its id, when the object goes.

#include "marlsill/base/time.h"
#include "testing/spawned_process.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace marlsill::testing {

// The retry budget of all daemons: the users' `retryBudgetRatio`, `retryBudgetSlack` and `budgetWindowS`.
constexpr double retryRatio = 0.2;
constexpr int retrySlack = 56;
constexpr std::chrono::seconds retryWindow { 10 };

// The host on which the ports of planned fleets are held; no daemon has it.
constexpr const char* holdingHost = "127.0.1.254";

class held_ports;

// What an entry daemon is started with.
struct entry_options {
    std::string program;
    std::string folder; // For its settings file and its log.
    std::string name;
    std::string host; // A loopback IP number of its own.
    std::string domain;
    std::string store; // Address.
    std::string seeds;
    int callerPort = 0;
    int readinessPort = 0;
    int directoryPort = 0;
    int peerPort = 0;
    int graceSeconds = 3;
    std::string extraSettings; // Whole lines, added to the settings file.
    int maxDescriptors = 0; // That the process may open; 0: as many as this one.
    std::shared_ptr<const held_ports> ports; // Kept until the last daemon of the fleet goes.
};

// Returns options for at most 253 daemons that form a fleet: hosts from 127.0.1.1 on, ports that no other
// fleet on the machine gets while one of these options lives, three failure domains in turn, and the first
// two daemons as seeds. The program, the folder and the store are left empty. Callers with an address of
// their own take it from another range, as their connections would occupy ports of these hosts.
std::vector<entry_options> planFleet(int entries);

class entry_process;

// Starts daemons that form a fleet on one store, with their files in one folder. Those that could not be
// started are not running.
std::vector<std::unique_ptr<entry_process>> startFleet(
    int entries, const std::string& program, const std::string& folder, const std::string& store);

class entry_process {
public:
    explicit entry_process(entry_options options);
    ~entry_process();

    // Writes the settings file and starts the process. Returns whether that was possible.
    bool start();

    // Starts the process with the settings file as it is.
    bool startUnwritten();

    // Returns the text of the settings file, and where it and the log are.
    std::string settingsText() const;
    std::string logPath() const { return m_options.folder + "/" + m_options.name + ".log"; }
    std::string settingsPath() const { return m_options.folder + "/" + m_options.name + ".conf"; }

    // Returns the name, whether the process runs or how it ended, and the last 4 KB of its log.
    std::string logEnd() const;

    // Sends a signal. The first SIGTERM of a life starts its grace time.
    void signal(int number);

    // Kills the process and waits for its end.
    void kill();

    // Waits, after SIGTERM, until the process has ended by itself. Returns false if it had to be killed at
    // the end of its grace time.
    bool awaitEnd();

    bool isRunning() const { return pid() > 0; }
    pid_t pid() const { return m_process ? m_process->id() : 0; }

    // Returns the process of this life; null before the first start.
    spawned_process* process() { return m_process.get(); }

    const entry_options& options() const { return m_options; }

    // Sets the program that the process runs from its next start on, and what its lives are called with.
    void setBuild(std::string program, std::string label);

    // Names this life of the process, with its build's label if it has one.
    std::string life() const { return m_options.name + "#" + std::to_string(m_starts) + m_label; }

    std::string callerAddress() const { return m_options.host + ":" + std::to_string(m_options.callerPort); }
    std::string readinessAddress() const
    {
        return m_options.host + ":" + std::to_string(m_options.readinessPort);
    }

private:
    const entry_options m_options;
    std::string m_program; // Of the next start.
    std::string m_nextLabel;
    std::string m_label; // Of the present life.
    std::unique_ptr<spawned_process> m_process; // Of the present life.
    deadline m_killAt {}; // Set once this life got SIGTERM.
    int m_starts = 0;
};

// Prints why a daemon that a fixture waited for may not serve: the end of its log. Fixtures remove their
// logs.
void reportNotServing(const entry_process& entry);

}
