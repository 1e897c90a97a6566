#pragma once

// Runs the parts of a daemon, each on a thread of its own, and restarts those that fail.
//
//     supervisor root("daemon");
//     root.add("control", [&](std::stop_token stop) { control.run(stop); });
//     root.add("platform", platformParts.asPart()); // Supervisors nest.
//     root.start();
//     root.stop();

#include "marlsill/base/time.h"

#include <functional>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

namespace marlsill {

// The work of one part. It returns soon after a stop is requested. Returning before that, or throwing, is a
// failure of the part, after which it is called again.
using part_work = std::function<void(std::stop_token)>;

// Options of a supervisor: the pauses before a failed part runs again.
struct supervisor_options {
    std::chrono::milliseconds firstPause { 100 };
    std::chrono::milliseconds lastPause { 5000 };
};

// One node of the tree. add() and start() are called by one thread.
class supervisor {
public:
    explicit supervisor(std::string name, supervisor_options options = {});

    // Stops all parts.
    ~supervisor();

    // Adds a part; it begins to run at start().
    void add(std::string name, part_work work);

    // Starts all parts.
    void start();

    // Asks all parts to stop, in reverse order, waiting for each.
    void stop();

    // Returns work that runs this supervisor as a part of another one.
    part_work asPart();

private:
    struct part {
        std::string name;
        part_work work;
        std::jthread thread;
    };

    void runPart(const part& self, const std::stop_token& stop) const;

    std::string m_name;
    supervisor_options m_options;
    std::vector<part> m_parts;
};

}
