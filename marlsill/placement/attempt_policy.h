#pragma once

// Decides the next step after an attempt: deliver the upstream's response, retry elsewhere, wait or fail.
//
//     auto next = decideNextStep(attempt, request);
//     if (next.step == next_step::tryAnother)
//         ...
//
// Pure functions; safe to call from any thread.

#include "marlsill/placement/load_balancer.h"

namespace marlsill::placement {

// How an attempt at an upstream ended. The gateway maps the values to log texts by position.
enum class attempt_outcome {
    answered, // A complete response; the upstream executed the request.
    refused, // The upstream states that it did not execute the request.
    wrongUpstream, // Another upstream has the address; it did not execute the request.
    notSent, // No byte was sent.
    noAnswer, // The connection closed before the first byte of the response.
    broken, // The response was truncated or malformed.
    timedOut,
    cancelled, // Aborted by the gateway.
};

// The facts about an attempt that ended.
struct completed_attempt {
    attempt_outcome outcome = attempt_outcome::notSent;
    int status = 0; // HTTP status; 0 without a response.
    bool wasReused = false; // The connection had served an earlier request.
    std::chrono::milliseconds idleBefore {}; // Idle time of a reused connection.
    std::chrono::milliseconds elapsed {};
    bool isHeldBack = false; // The upstream turns requests away for a time; see retry_after_holds.
};

// The state of a request after the attempt.
struct retry_state {
    bool isAtMostOnce = false;
    int possibleRuns = 0; // Upstreams that may have executed it, including this attempt's.
    int maxUpstreams = 1; // Limit of `possibleRuns`.
    int notRunAttempts = 0; // Attempts known not to have executed it.
    bool mayHaveRun = false; // Some attempt may have executed it.
    bool isAnotherInFlight = false; // Another attempt is in flight, e.g. a hedge.
};

// What to do next.
enum class next_step {
    deliver, // Return the upstream's response to the caller.
    tryAnother, // Retry at another upstream if the retry budget and the time limit allow it.
    wait, // Wait for the other attempt in flight.
    refuse, // Respond 503: the request was not executed.
    giveUp, // Respond 502: the request may have been executed.
};

// A decision, and the step to take where a retry is not possible.
struct step_decision {
    next_step step = next_step::giveUp;
    next_step fallback = next_step::giveUp;
};

// Returns whether the upstream may have executed the request.
constexpr bool mayHaveRun(attempt_outcome outcome)
{
    return outcome != attempt_outcome::refused && outcome != attempt_outcome::wrongUpstream
        && outcome != attempt_outcome::notSent;
}

// Returns the next step after an attempt.
step_decision decideNextStep(const completed_attempt& attempt, const retry_state& request);

// Returns whether the upstream probably closed the idle connection before the request arrived.
bool isKeepAliveRace(const completed_attempt& attempt);

// Returns what the attempt indicates about its upstream. `usual` is the service's average latency; 0 if
// unknown.
health_signal healthSignalOf(const completed_attempt& attempt, std::chrono::milliseconds usual);

}
