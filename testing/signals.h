#pragma once

// Waits for SIGTERM or SIGINT in the main thread of a stand-in.

#include <csignal>
#include <pthread.h>

namespace marlsill::testing {

// Blocks the stop signals in this thread and all threads that it starts from now on.
inline sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

// Returns when one of the blocked signals arrives.
inline void waitForStop(const sigset_t& signals)
{
    int number = 0;
    sigwait(&signals, &number);
}

}
