#include "testing/single_daemon.h"

#include "platform/decode.h"
#include "platform/testing/store_objects.h"
#include "testing/raw_caller.h"

#include <Poco/Exception.h>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    constexpr std::chrono::milliseconds readinessInterval { 20 };

}

single_daemon::single_daemon(const std::string& extraSettings, int maxDescriptors)
    : m_folder(std::filesystem::temp_directory_path()
        / ("marlsill-single-" + std::to_string(::getpid()) + "-"
            + std::to_string(steady_clock::now().time_since_epoch().count())))
{
    std::filesystem::create_directories(m_folder);
    m_store.put(
        platform_adapter::upstreamKind, "u-1", platform_adapter::upstreamObject("s", "127.0.0.1:9", "ready"));
    m_store.put(platform_adapter::configurationKind, platform_adapter::configurationName,
        platform_adapter::configurationObject(1, "h.example", "s", { { "repeat", "/repeat/" } }));
    auto options = planFleet(1).front();
    options.program = MARLSILL_ENTRY_PROGRAM;
    options.folder = m_folder.string();
    options.store = m_store.address();
    options.extraSettings = extraSettings;
    options.maxDescriptors = maxDescriptors;
    m_daemon = std::make_unique<entry_process>(std::move(options));
}

single_daemon::~single_daemon()
{
    m_daemon.reset();
    if (!std::getenv("MARLSILL_KEEP_LOGS")) {
        std::filesystem::remove_all(m_folder);
    }
}

bool single_daemon::awaitReady() const
{
    auto limit = deadlineAfter(startLimit);
    while (m_daemon->process()->isRunning() && !hasPassed(limit, steady_clock::now())) {
        if (isReady()) {
            return true;
        }
        std::this_thread::sleep_for(readinessInterval);
    }
    reportNotServing(*m_daemon);
    return false;
}

std::string single_daemon::logText() const
{
    std::ostringstream text;
    text << std::ifstream(m_daemon->logPath()).rdbuf();
    return text.str();
}

bool single_daemon::isReady() const
{
    try {
        raw_caller probe(m_daemon->readinessAddress());
        probe.send("GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n");
        return probe.receive().status == 200;
    } catch (const Poco::Exception&) {
        return false; // It does not listen yet.
    }
}

}
