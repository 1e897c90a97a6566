#pragma once

// A program as a child process whose end a test examines. Linux only.
//
//     spawned_process daemon({ .program = path, .environment = { "NAME=value" }, .log = folder + "/log" });
//     daemon.start();
//     daemon.signal(SIGHUP);
//     if (!daemon.isRunning())
//         MESSAGE(daemon.endText());
//
// The process is killed, by its id, when the object goes.

#include "marlsill/base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace marlsill::testing {

// What a process is started with.
struct spawn_options {
    std::string program;
    std::vector<std::string> arguments;
    std::vector<std::string> environment; // NAME=value each; the process gets no others.
    std::string log; // Path that its output is appended to; empty: as `output` says.
    int output = -1; // Descriptor of its standard output and error, unless `log` is set.
    int maxDescriptors = 0; // That it may open; 0: as many as this process.
};

class spawned_process {
public:
    explicit spawned_process(spawn_options options);
    ~spawned_process();
    spawned_process(const spawned_process&) = delete;
    spawned_process& operator=(const spawned_process&) = delete;

    // Starts the process, without a copy of this one's memory. Returns whether that was possible.
    bool start();

    // Sends a signal; nothing happens once the process has ended.
    void signal(int number);

    // Kills the process and waits for its end.
    void kill();

    // Returns whether the process is still there.
    bool isRunning();

    // Waits until the process ends, `limit` at the longest; returns whether it has.
    bool awaitEnd(deadline limit);

    // Returns the processor time that the process has used.
    std::chrono::milliseconds processorTime() const;

    // Returns the most memory that the process has had resident, in bytes; 0 once it has ended.
    std::size_t peakMemoryBytes() const;

    pid_t id() const { return m_pid; }

    // Returns how the last process ended, such as "exit status 1" or "signal 6"; empty if none has.
    std::string endText() const;

    // Returns the exit status; empty if it has not ended or was ended by a signal.
    std::optional<int> exitStatus() const;

private:
    spawn_options m_options;
    pid_t m_pid = 0;
    std::optional<int> m_waitStatus; // As waitpid() gives it.
};

}
