#include "marlsill/placement/attempt_policy.h"

namespace marlsill::placement {

namespace {

    constexpr int maxRefusals = 4; // Each costs a round trip, an unreachable upstream the limit of a connect.
    constexpr int firstServerError = 500;
    // An upstream that has forgotten a connection answers with a reset within a round trip, packet loss
    // aside.
    constexpr std::chrono::milliseconds maxIdleRaceElapsed { 50 };
    constexpr std::chrono::milliseconds minForgottenIdle { 100 }; // No server closes connections sooner.

    constexpr int slowFactor = 4; // Of the usual latency, from which an end without an answer is suspect.
    constexpr int workDivisor = 4; // An error after this part of the usual latency came from work on it.

    bool isServerError(int status) { return status >= firstServerError; }

}

step_decision decideNextStep(const completed_attempt& attempt, const retry_state& request)
{
    if (attempt.outcome == attempt_outcome::answered && !isServerError(attempt.status)) {
        return { next_step::deliver, next_step::deliver };
    }
    bool hasUpstreamsLeft = request.possibleRuns < request.maxUpstreams;
    switch (attempt.outcome) {
    case attempt_outcome::answered: {
        bool mayTry = !request.isAtMostOnce && hasUpstreamsLeft;
        auto otherwise = request.isAnotherInFlight ? next_step::wait : next_step::deliver;
        return { mayTry ? next_step::tryAnother : otherwise, otherwise };
    }
    case attempt_outcome::refused:
    case attempt_outcome::wrongUpstream:
    case attempt_outcome::notSent: {
        auto otherwise = request.isAnotherInFlight ? next_step::wait
            : request.mayHaveRun                   ? next_step::giveUp
                                                   : next_step::refuse;
        bool mayTry = hasUpstreamsLeft && request.notRunAttempts <= maxRefusals;
        return { mayTry ? next_step::tryAnother : otherwise, otherwise };
    }
    default:
        break;
    }
    if (request.isAtMostOnce) {
        return { next_step::giveUp, next_step::giveUp };
    }
    auto otherwise = request.isAnotherInFlight ? next_step::wait : next_step::giveUp;
    return { hasUpstreamsLeft ? next_step::tryAnother : otherwise, otherwise };
}

bool isKeepAliveRace(const completed_attempt& attempt)
{
    return attempt.outcome == attempt_outcome::noAnswer && attempt.wasReused
        && attempt.elapsed <= maxIdleRaceElapsed && attempt.idleBefore >= minForgottenIdle;
}

health_signal healthSignalOf(const completed_attempt& attempt, std::chrono::milliseconds usual)
{
    bool isKnown = usual.count() > 0;
    bool isSlow = isKnown && attempt.elapsed > slowFactor * usual;
    bool hasWorked = isKnown && attempt.elapsed >= usual / workDivisor;
    switch (attempt.outcome) {
    case attempt_outcome::answered:
        if (!isServerError(attempt.status)) {
            return health_signal::succeeded;
        }
        return hasWorked ? health_signal::errorAfterProcessing : health_signal::failed;
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
