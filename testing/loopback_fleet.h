#pragma once

// A small fleet inside the test process: the platform, upstreams and entry daemons on loopback.
//
//     loopback_fleet fleet({ .entries = 2, .upstreams = 2 });
//     auto answer = fleet.call(0, get("/jobs/1"));
//
// There is one service, "work", routed by /jobs. POST requests below /jobs are not repeatable.

#include "marlsill/entry/node.h"
#include "marlsill/load/caller.h"
#include "testing/platform_server.h"
#include "testing/upstream_stand_in.h"

#include <memory>
#include <string>
#include <vector>

namespace marlsill::testing {

// What a fleet is made of.
struct fleet_shape {
    int entries = 1;
    int upstreams = 2;
    int slots = 4;
    std::chrono::microseconds serviceTime { 1'000 };
    int floorSlots = 0;
    int timeoutMilliseconds = 5'000;
    std::vector<std::string> entryFlags; // Added to those of every daemon.
};

// Starts everything, and waits until the configuration is in force on every daemon.
class loopback_fleet {
public:
    explicit loopback_fleet(const fleet_shape& shape);
    ~loopback_fleet();

    platform_server& platform() { return *m_platform; }
    upstream_stand_in& upstream(std::size_t index) { return *m_upstreams[index]; }
    std::size_t upstreams() const { return m_upstreams.size(); }
    entry::node& entry(std::size_t index) { return *m_entries[index].node; }
    std::size_t entries() const { return m_entries.size(); }

    // Starts another daemon and returns its index. It is not waited for.
    std::size_t addEntry();

    // Carries out a planned stop of a daemon.
    void stopEntry(std::size_t index);

    // Submits rules through a daemon's operator interface; the text is put into the rules of the service.
    // Returns the status word of the answer.
    std::string applyRules(std::size_t entry, const std::string& extraFields, std::int64_t baseGeneration);

    // Returns a field of a daemon's status, as JSON text.
    std::string status(std::size_t entry, const std::string& field);

    // Sends one request to a daemon over a fresh connection.
    load::call_result call(std::size_t entry, const http::request_message& request);

    // Returns the key prefix that the directory gives for a daemon.
    std::string keyPrefix(std::size_t entry);

    // Returns how often a request id ran, on all upstreams together.
    int runs(const std::string& id) const;

    int crashes() const;
    int started() const;

private:
    struct running_entry {
        std::unique_ptr<settings_values> settings;
        std::unique_ptr<entry::node> node;
    };

    void listVms();
    std::string inventoryText() const;

    const fleet_shape m_shape;
    std::unique_ptr<platform_server> m_platform;
    std::vector<std::unique_ptr<upstream_stand_in>> m_upstreams;
    std::vector<running_entry> m_entries;
};

// Make requests for the service.
http::request_message get(const std::string& target, const std::string& id = "");
http::request_message post(const std::string& id, const std::string& key);

// Waits until a condition holds; returns false after a long time.
template <typename Condition> bool eventually(Condition condition)
{
    auto limit = deadlineAfter(std::chrono::seconds(30));
    while (!condition()) {
        if (hasPassed(limit, steady_clock::now())) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

}
