#pragma once

// Serves the platform's object API over HTTP from a memory store, for tests and as a process.
//
//     platform_server platform("127.0.0.1:0");
//     platform.setFaults({ .isAway = true });

#include "testing/memory_store.h"

#include <Poco/Net/HTTPServer.h>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace marlsill::testing {

// What the server's handlers share. Thread safe.
struct platform_state {
    memory_store store;
    std::atomic<bool> isAway = false;
    std::atomic<int> delayMilliseconds = 0;
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> writes = 0;
    std::atomic<std::uint64_t> watches = 0;
    std::mutex mutex; // Guards vms.
    std::string vms = "[]";
};

// Serves from construction to destruction.
class platform_server {
public:
    explicit platform_server(const std::string& address);
    ~platform_server();

    std::string address() const;

    // Switches faults on or off.
    void setFaults(store_faults faults);

    // Sets the list of entry VMs, as JSON.
    void setVms(const std::string& vms);

    platform_state& state() { return m_state; }

private:
    platform_state m_state;
    Poco::Net::ServerSocket m_socket;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

}
