#pragma once

// Decides what follows an attempt at an upstream: deliver its answer, try another upstream, or answer for it.
//
//     auto next = decideNextStep(attempt, request);
//     if (next.step == next_step::tryAnother)
//         ...
//
// Pure functions; tested without a network.

#include "marlsill/placement/load_balancer.h"

namespace marlsill::placement {

// How an attempt at an upstream ended.
enum class attempt_outcome {
    answered, // A whole answer to this request, which the upstream ran.
    refused, // The upstream says that it has not run the request.
    wrongUpstream, // Another upstream has the address, and has not run the request.
    notSent, // No byte was sent.
    noAnswer, // The connection ended before the first byte of an answer.
    broken, // The answer was cut or malformed.
    timedOut,
    cancelled, // We broke it off.
};

// One attempt that ended.
struct completed_attempt {
    attempt_outcome outcome = attempt_outcome::notSent;
    int status = 0; // Of the answer, where there is one.
    bool wasReused = false; // The connection had carried a request before.
    std::chrono::milliseconds idleBefore {}; // How long a reused connection had been idle.
    std::chrono::milliseconds elapsed {};
};

// The request that the attempt belongs to.
struct retry_state {
    bool isAtMostOnce = false;
    int possibleRuns = 0; // Upstreams that may have run it, this attempt included.
    int maxUpstreams = 1;
    int notRunAttempts = 0; // Attempts that have certainly not run.
    bool mayHaveRun = false; // Some attempt may have run it.
    bool isAnotherInFlight = false; // A second attempt is still in work.
};

// What to do next.
enum class next_step {
    deliver, // The upstream's answer is the final one.
    tryAnother, // Send it to another upstream if the budget and the time left allow, else `fallback`.
    wait, // Another attempt may still succeed.
    refuse, // Say that it has not run: 503.
    giveUp, // Say that nobody can tell whether it ran: 502.
};

// A decision, and what to do where trying another upstream is not possible.
struct step_decision {
    next_step step = next_step::giveUp;
    next_step fallback = next_step::giveUp;
};

// Returns whether the upstream may have run the request.
constexpr bool mayHaveRun(attempt_outcome outcome)
{
    return outcome != attempt_outcome::refused && outcome != attempt_outcome::wrongUpstream
        && outcome != attempt_outcome::notSent;
}

// Returns what follows an attempt.
step_decision decideNextStep(const completed_attempt& attempt, const retry_state& request);

// Returns whether the upstream had probably forgotten the idle connection before the request arrived.
bool isKeepAliveRace(const completed_attempt& attempt);

// Returns what the attempt says about its upstream. `usual` is the service's usual latency, 0 if unknown.
health_signal healthSignalOf(const completed_attempt& attempt, std::chrono::milliseconds usual);

}
