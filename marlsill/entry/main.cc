// The entry daemon: load balances the requests of callers over the upstreams of a service.

#include "marlsill/base/process_signals.h"
#include "marlsill/entry/node.h"
#include "marlsill/entry/node_settings.h"
#include "marlsill/events/events.h"

#include <Poco/Exception.h>
#include <csignal>
#include <cstdio>
#include <memory>
#include <system_error>
#include <thread>

namespace marlsill::entry {

namespace {

    severity parseSeverity(const std::string& name)
    {
        return name == "error" ? severity::error : name == "warning" ? severity::warning : severity::info;
    }

    // Longer than the stop of a predecessor, which may hold the ports until its end.
    constexpr std::chrono::seconds maxStartTime { 30 };
    constexpr std::chrono::milliseconds startRetryInterval { 50 };

    // Builds the daemon, again and again for a while if that fails. Returns null, and the cause, if it does
    // not succeed in time or the process is asked to stop.
    std::unique_ptr<node> buildNode(const settings_values& settings, reason& why)
    {
        auto limit = deadlineAfter(maxStartTime);
        bool isLogged = false;
        while (true) {
            try {
                return std::make_unique<node>(settings);
            } catch (const Poco::Exception& error) {
                why = { reason_code::unavailable, error.displayText() };
            } catch (const std::system_error& error) {
                why = { reason_code::unavailable, error.what() };
            }
            if (hasPassed(limit, steady_clock::now()) || isStopSignalPending()) {
                return nullptr;
            }
            if (!std::exchange(isLogged, true)) {
                logEvent(event::startWaiting,
                    { { "part", "listeners" }, { "cause", why.text },
                        { "limit_ms", std::to_string(millisecondsUntil(limit, steady_clock::now())) } });
            }
            std::this_thread::sleep_for(startRetryInterval);
        }
    }

    int run(const settings_values& settings)
    {
        startLogging(parseSeverity(settings.text("log-level")));
        reason why;
        auto daemon = buildNode(settings, why);
        if (!daemon) {
            logEvent(event::partFailed, { { "part", "listeners" }, { "cause", why.text } });
            return isStopSignalPending() ? 0 : 1;
        }
        try {
            daemon->start();
            while (awaitControlSignal() == SIGHUP) {
                logEvent(event::signalIgnored,
                    { { "signal", "SIGHUP" }, { "cause", "settings take effect at a restart" } });
            }
            daemon->stop();
        } catch (const Poco::Exception& error) {
            std::fprintf(stderr, "marlsill-entry: %s\n", error.displayText().c_str());
            return 1;
        } catch (const std::exception& error) {
            std::fprintf(stderr, "marlsill-entry: %s\n", error.what());
            return 1;
        }
        return 0;
    }

}

}

int main(int argc, char** argv)
{
    marlsill::holdControlSignals();
    auto startup = marlsill::startProgram("marlsill-entry", "load balancer between callers and upstreams",
        marlsill::entry::nodeSettings, argc, argv);
    return startup.settings ? marlsill::entry::run(*startup.settings) : startup.exitStatus;
}
