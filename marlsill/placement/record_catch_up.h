#pragma once

// Decides how long a VM that was away waits for its peers' records before it acts on its own again.
//
//     record_catch_up catchUp;
//     catchUp.begin(now); // The VM has noticed an absence.
//     while (catchUp.isPending(now))
//         askPeers();
//     ...
//     catchUp.complete(); // A peer has sent all of its records.
//
// Waiting is bounded, because all peers may have been away, or be out of reach. Not thread safe.

#include "marlsill/base/time.h"

#include <chrono>

namespace marlsill::placement {

// Settings of a catch-up.
struct record_catch_up_options {
    // A peer answers within milliseconds. Short beside the time that a request takes, as requests wait.
    std::chrono::milliseconds timeout { 400 };
    std::chrono::milliseconds requestInterval { 50 }; // Between requests to the peers; datagrams may be lost.
};

class record_catch_up {
public:
    explicit record_catch_up(record_catch_up_options options = {})
        : m_options(options)
    {
    }

    // Begins, or begins anew.
    void begin(steady_clock::time_point now) { m_giveUpAt = now + m_options.timeout; }

    // Ends it.
    void complete() { m_giveUpAt = deadline::min(); }

    // Returns whether to wait for the peers' records.
    bool isPending(steady_clock::time_point now) const { return !hasPassed(m_giveUpAt, now); }

    // Returns when to ask the peers again.
    deadline nextRequest(steady_clock::time_point now) const
    {
        return std::min(m_giveUpAt, now + m_options.requestInterval);
    }

private:
    const record_catch_up_options m_options;
    deadline m_giveUpAt = deadline::min();
};

}
