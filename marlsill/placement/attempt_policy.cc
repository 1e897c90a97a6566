#include "marlsill/placement/attempt_policy.h"

namespace marlsill::placement {

namespace {

    // Each retry after a refusal costs a round trip, or the connect timeout for an unreachable upstream.
    constexpr int maxNotRunRetries = 4;
    constexpr int firstServerError = 500;
    // An upstream resets a connection that it has closed within one round trip, unless packets are lost.
    constexpr std::chrono::milliseconds maxResetDelay { 50 };
    // No server closes idle connections sooner.
    constexpr std::chrono::milliseconds minServerIdleTimeout { 100 };

    // A timed-out or cancelled attempt counts as a failure beyond this multiple of the usual latency.
    constexpr int slowFactor = 4;
    // An error after at least this fraction (1 / n) of the usual latency shows that the request was
    // processed.
    constexpr int processingDivisor = 4;

    bool isServerError(int status) { return status >= firstServerError; }

    // Returns whether callers take the status for a promise that the request was not executed. An upstream
    // that means it says so in a field of its own; then the outcome is not `answered`.
    bool isTakenForNotRun(int status)
    {
        constexpr int requestTimeout = 408;
        constexpr int tooManyRequests = 429;
        constexpr int serviceUnavailable = 503;
        return status == requestTimeout || status == tooManyRequests || status == serviceUnavailable;
    }

}

step_decision decideNextStep(const completed_attempt& attempt, const retry_state& request)
{
    bool isFinal = !isServerError(attempt.status) && !isTakenForNotRun(attempt.status);
    if (attempt.outcome == attempt_outcome::answered && isFinal) {
        return { next_step::deliver, next_step::deliver };
    }
    bool hasUpstreamsLeft = request.possibleRuns < request.maxUpstreams;
    switch (attempt.outcome) {
    case attempt_outcome::answered: {
        bool mayRetry = !request.isAtMostOnce && hasUpstreamsLeft;
        auto last = isTakenForNotRun(attempt.status) ? next_step::giveUp : next_step::deliver;
        auto fallback = request.isAnotherInFlight ? next_step::wait : last;
        return { mayRetry ? next_step::tryAnother : fallback, fallback };
    }
    case attempt_outcome::refused:
    case attempt_outcome::wrongUpstream:
    case attempt_outcome::notSent: {
        auto fallback = request.isAnotherInFlight ? next_step::wait
            : request.mayHaveRun                  ? next_step::giveUp
                                                  : next_step::refuse;
        bool mayRetry = hasUpstreamsLeft && request.notRunAttempts <= maxNotRunRetries;
        return { mayRetry ? next_step::tryAnother : fallback, fallback };
    }
    default:
        break;
    }
    if (request.isAtMostOnce) {
        return { next_step::giveUp, next_step::giveUp };
    }
    auto fallback = request.isAnotherInFlight ? next_step::wait : next_step::giveUp;
    return { hasUpstreamsLeft ? next_step::tryAnother : fallback, fallback };
}

bool isKeepAliveRace(const completed_attempt& attempt)
{
    return attempt.outcome == attempt_outcome::noAnswer && attempt.wasReused
        && attempt.elapsed <= maxResetDelay && attempt.idleBefore >= minServerIdleTimeout;
}

health_signal healthSignalOf(const completed_attempt& attempt, std::chrono::milliseconds usual)
{
    bool isKnown = usual.count() > 0;
    bool isSlow = isKnown && attempt.elapsed > slowFactor * usual;
    bool wasProcessed = isKnown && attempt.elapsed >= usual / processingDivisor;
    if (attempt.isHeldBack) {
        return health_signal::inconclusive; // It gets nothing for the time that it named, and no longer.
    }
    switch (attempt.outcome) {
    case attempt_outcome::answered:
        if (!isServerError(attempt.status)) {
            return health_signal::succeeded;
        }
        return wasProcessed ? health_signal::errorAfterProcessing : health_signal::failed;
    case attempt_outcome::refused:
        return health_signal::refused;
    case attempt_outcome::wrongUpstream:
    case attempt_outcome::notSent:
        return health_signal::unreachable;
    case attempt_outcome::noAnswer:
        return isKeepAliveRace(attempt) ? health_signal::inconclusive : health_signal::failed;
    case attempt_outcome::broken:
        return health_signal::failed;
    case attempt_outcome::timedOut:
    case attempt_outcome::cancelled:
        break;
    }
    return isSlow ? health_signal::failed : health_signal::inconclusive;
}

}
