#include "marlsill/placement/attempt_policy.h"

#include <algorithm>

namespace marlsill::placement {

namespace {

    constexpr int maxRefusals = 4; // Each costs a round trip, an unreachable upstream the limit of a connect.
    constexpr int firstServerError = 500;
    constexpr std::chrono::milliseconds minRetryAfter { 50 }; // About one round trip and a new connection.
    constexpr std::chrono::milliseconds maxRetryAfter { 5'000 };

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

attempt_verdict judge(const ended_attempt& attempt, bool isSlow)
{
    switch (attempt.end) {
    case attempt_end::answered:
        return isServerError(attempt.status) ? attempt_verdict::failed : attempt_verdict::succeeded;
    case attempt_end::refused:
        return attempt_verdict::refused;
    case attempt_end::wrongUpstream:
    case attempt_end::notSent:
        return attempt_verdict::unreachable;
    case attempt_end::noAnswer:
        return attempt.wasReused ? attempt_verdict::neutral : attempt_verdict::failed;
    case attempt_end::broken:
        return attempt_verdict::failed;
    case attempt_end::timedOut:
    case attempt_end::cancelled:
        break;
    }
    return isSlow ? attempt_verdict::failed : attempt_verdict::neutral;
}

std::chrono::milliseconds retryAfter(std::chrono::milliseconds expected, double fraction)
{
    auto spread = std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(expected.count()) * (1.0 + fraction)));
    return std::clamp(spread, minRetryAfter, maxRetryAfter);
}

}
