#include "marlsill/base/process_signals.h"

#include <csignal>
#include <pthread.h>

namespace marlsill {

namespace {

    sigset_t controlSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGHUP);
        return signals;
    }

}

void holdControlSignals()
{
    auto signals = controlSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void releaseControlSignals()
{
    auto signals = controlSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

bool isStopSignalPending()
{
    sigset_t pending;
    sigemptyset(&pending);
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

int awaitControlSignal()
{
    auto signals = controlSignals();
    int number = 0;
    sigwait(&signals, &number);
    return number;
}

}
