#pragma once

// One entry daemon of the platform as a process, with a store of its own, for tests of the process itself.
//
//     single_daemon tested;
//     REQUIRE(tested.daemon().start());
//     REQUIRE(tested.awaitReady());
//
// MARLSILL_KEEP_LOGS keeps its folder.

#include "platform/testing/fake_object_store.h"
#include "testing/soak/entry_process.h"

#include <filesystem>
#include <memory>
#include <string>

namespace marlsill::testing {

constexpr std::chrono::milliseconds startLimit { 10'000 }; // For a daemon to become ready on a busy machine.

class single_daemon {
public:
    // The daemon is not started yet. `extraSettings` are whole lines; it may open `maxDescriptors`, any
    // number if that is 0.
    explicit single_daemon(const std::string& extraSettings = {}, int maxDescriptors = 0);
    ~single_daemon();

    entry_process& daemon() { return *m_daemon; }
    platform_adapter::fake_object_store& store() { return m_store; }

    // Returns the address of a port of the daemon.
    std::string at(int port) const { return m_daemon->options().host + ":" + std::to_string(port); }

    // Waits until the daemon says that it is ready. Returns false once it has ended, or after a long time.
    bool awaitReady() const;

    std::string logText() const;

private:
    bool isReady() const;

    const std::filesystem::path m_folder;
    platform_adapter::fake_object_store m_store;
    std::unique_ptr<entry_process> m_daemon;
};

}
