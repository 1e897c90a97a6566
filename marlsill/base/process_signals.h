#pragma once

// The signals by which operators control a daemon, before and after it is able to handle them.
//
//     int main()
//     {
//         holdControlSignals(); // First of all: their default action ends the process.
//         ...
//         releaseControlSignals(); // Once their handlers are installed.
//     }
//
// A signal that comes in between stays pending and is handled afterwards. Threads inherit what is held, so
// that one thread alone handles them.

namespace marlsill {

// Holds SIGTERM, SIGINT and SIGHUP in this thread and the threads that it starts from now on. Ignores SIGPIPE
// in the whole process: a log or a connection whose reader is gone reports an error instead.
void holdControlSignals();

// Lets the held signals through to this thread.
void releaseControlSignals();

// Returns whether SIGTERM or SIGINT is held and pending.
bool isStopSignalPending();

// Waits for a held signal, which it consumes, and returns its number.
int awaitControlSignal();

}
