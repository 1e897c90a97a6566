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

next_decision decideAfter(const ended_attempt& attempt, const request_state& request)
{
    if (attempt.end == attempt_end::answered && !isServerError(attempt.status)) {
        return { next_step::deliver, next_step::deliver };
    }
    bool hasUpstreamsLeft = request.runsOn < request.maxUpstreams;
    switch (attempt.end) {
    case attempt_end::answered: {
        bool mayTry = !request.isAtMostOnce && hasUpstreamsLeft;
        auto otherwise = request.isAnotherAtWork ? next_step::wait : next_step::deliver;
        return { mayTry ? next_step::tryAnother : otherwise, otherwise };
    }
    case attempt_end::refused:
    case attempt_end::wrongUpstream:
    case attempt_end::notSent: {
        auto otherwise = request.isAnotherAtWork ? next_step::wait
            : request.mayHaveRun                 ? next_step::giveUp
                                                 : next_step::refuse;
        bool mayTry = hasUpstreamsLeft && request.refusals <= maxRefusals;
        return { mayTry ? next_step::tryAnother : otherwise, otherwise };
    }
    default:
        break;
    }
    if (request.isAtMostOnce) {
        return { next_step::giveUp, next_step::giveUp };
    }
    auto otherwise = request.isAnotherAtWork ? next_step::wait : next_step::giveUp;
    return { hasUpstreamsLeft ? next_step::tryAnother : otherwise, otherwise };
}

bool isIdleRace(const ended_attempt& attempt)
{
    return attempt.end == attempt_end::noAnswer && attempt.wasReused && attempt.elapsed <= maxIdleRaceElapsed
        && attempt.idleBefore >= minForgottenIdle;
}

attempt_verdict judge(const ended_attempt& attempt, std::chrono::milliseconds usual)
{
    bool isKnown = usual.count() > 0;
    bool isSlow = isKnown && attempt.elapsed > slowFactor * usual;
    bool hasWorked = isKnown && attempt.elapsed >= usual / workDivisor;
    switch (attempt.end) {
    case attempt_end::answered:
        if (!isServerError(attempt.status)) {
            return attempt_verdict::succeeded;
        }
        return hasWorked ? attempt_verdict::failedAtWork : attempt_verdict::failed;
    case attempt_end::refused:
        return attempt_verdict::refused;
    case attempt_end::wrongUpstream:
    case attempt_end::notSent:
        return attempt_verdict::unreachable;
    case attempt_end::noAnswer:
        return isIdleRace(attempt) ? attempt_verdict::neutral : attempt_verdict::failed;
    case attempt_end::broken:
        return attempt_verdict::failed;
    case attempt_end::timedOut:
    case attempt_end::cancelled:
        break;
    }
    return isSlow ? attempt_verdict::failed : attempt_verdict::neutral;
}

}
