// The entry daemon: load balances the requests of callers over the upstreams of a service.

#include "marlsill/entry/node.h"
#include "marlsill/entry/node_settings.h"
#include "marlsill/events/events.h"

#include <Poco/Exception.h>
#include <csignal>
#include <cstdio>
#include <pthread.h>

namespace marlsill::entry {

namespace {

    severity parseSeverity(const std::string& name)
    {
        return name == "error" ? severity::error : name == "warning" ? severity::warning : severity::info;
    }

    int run(const settings_values& settings)
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        startLogging(parseSeverity(settings.text("log-level")));
        try {
            node daemon(settings);
            daemon.start();
            int signalNumber = 0;
            sigwait(&signals, &signalNumber);
            daemon.stop();
        } catch (const Poco::Exception& error) {
            std::fprintf(stderr, "marlsill-entry: %s\n", error.displayText().c_str());
            return 1;
        }
        return 0;
    }

}

}

int main(int argc, char** argv)
{
    auto startup = marlsill::startProgram("marlsill-entry", "load balancer between callers and upstreams",
        marlsill::entry::nodeSettings, argc, argv);
    return startup.settings ? marlsill::entry::run(*startup.settings) : startup.exitStatus;
}
