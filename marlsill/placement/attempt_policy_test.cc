#include "marlsill/placement/attempt_policy.h"

#include <doctest/doctest.h>

namespace marlsill::placement {

TEST_CASE("The next step depends on the outcome and on earlier attempts")
{
    struct policy_case {
        const char* name;
        completed_attempt attempt;
        retry_state request;
        next_step step;
        next_step fallback;
    };
    const retry_state once { .isAtMostOnce = true, .possibleRuns = 1, .maxUpstreams = 2, .mayHaveRun = true };
    const retry_state onceNotRun { .isAtMostOnce = true, .possibleRuns = 0, .maxUpstreams = 2 };
    const retry_state repeatable { .possibleRuns = 1, .maxUpstreams = 2, .mayHaveRun = true };
    const retry_state lastTry { .possibleRuns = 2, .maxUpstreams = 2, .mayHaveRun = true };
    const retry_state hedged {
        .possibleRuns = 2, .maxUpstreams = 2, .mayHaveRun = true, .isAnotherInFlight = true
    };
    const policy_case cases[] = {
        { "success", { attempt_outcome::answered, 200 }, once, next_step::deliver, next_step::deliver },
        { "client error", { attempt_outcome::answered, 404 }, repeatable, next_step::deliver,
            next_step::deliver },
        { "server error, once", { attempt_outcome::answered, 500 }, once, next_step::deliver,
            next_step::deliver },
        { "server error, repeatable", { attempt_outcome::answered, 500 }, repeatable, next_step::tryAnother,
            next_step::deliver },
        { "server error, last try", { attempt_outcome::answered, 500 }, lastTry, next_step::deliver,
            next_step::deliver },
        { "server error, another in flight", { attempt_outcome::answered, 500 }, hedged, next_step::wait,
            next_step::wait },
        { "unavailable, not said to be not run, once", { attempt_outcome::answered, 503 }, once,
            next_step::giveUp, next_step::giveUp },
        { "unavailable, not said to be not run, repeatable", { attempt_outcome::answered, 503 }, repeatable,
            next_step::tryAnother, next_step::giveUp },
        { "unavailable, not said to be not run, last try", { attempt_outcome::answered, 503 }, lastTry,
            next_step::giveUp, next_step::giveUp },
        { "unavailable, not said to be not run, another in flight", { attempt_outcome::answered, 503 },
            hedged, next_step::wait, next_step::wait },
        { "too many requests, not said to be not run, once", { attempt_outcome::answered, 429 }, once,
            next_step::giveUp, next_step::giveUp },
        { "refused, once", { attempt_outcome::refused, 503 }, onceNotRun, next_step::tryAnother,
            next_step::refuse },
        { "refused after a run", { attempt_outcome::refused, 503 }, repeatable, next_step::tryAnother,
            next_step::giveUp },
        { "wrong upstream, once", { attempt_outcome::wrongUpstream, 421 }, onceNotRun, next_step::tryAnother,
            next_step::refuse },
        { "not sent, once", { attempt_outcome::notSent }, onceNotRun, next_step::tryAnother,
            next_step::refuse },
        { "no answer, once", { attempt_outcome::noAnswer }, once, next_step::giveUp, next_step::giveUp },
        { "no answer, repeatable", { attempt_outcome::noAnswer }, repeatable, next_step::tryAnother,
            next_step::giveUp },
        { "broken, once", { attempt_outcome::broken }, once, next_step::giveUp, next_step::giveUp },
        { "broken, another in flight", { attempt_outcome::broken }, hedged, next_step::wait,
            next_step::wait },
        { "timed out, once", { attempt_outcome::timedOut }, once, next_step::giveUp, next_step::giveUp },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        auto decision = decideNextStep(each.attempt, each.request);
        CHECK(decision.step == each.step);
        CHECK(decision.fallback == each.fallback);
    }
}

TEST_CASE("An at-most-once request is never retried once it may have been executed")
{
    for (int outcome = 0; outcome <= static_cast<int>(attempt_outcome::cancelled); ++outcome) {
        for (int status : { 0, 200, 404, 500, 503, 504 }) {
            completed_attempt attempt { static_cast<attempt_outcome>(outcome), status };
            retry_state request { .isAtMostOnce = true, .possibleRuns = 1, .maxUpstreams = 9 };
            request.mayHaveRun = mayHaveRun(attempt.outcome);
            auto decision = decideNextStep(attempt, request);
            CAPTURE(outcome);
            CAPTURE(status);
            CHECK((!request.mayHaveRun || decision.step != next_step::tryAnother));
            CHECK((!request.mayHaveRun || decision.step != next_step::refuse));
            CHECK((!request.mayHaveRun || decision.fallback != next_step::refuse));
        }
    }
}

TEST_CASE("Retries after attempts that were not executed are bounded separately from possible executions")
{
    for (auto outcome :
        { attempt_outcome::notSent, attempt_outcome::refused, attempt_outcome::wrongUpstream }) {
        retry_state request { .isAtMostOnce = true, .maxUpstreams = 1, .notRunAttempts = 4 };
        CHECK(decideNextStep({ outcome }, request).step == next_step::tryAnother);
        request.notRunAttempts = 5;
        CHECK(decideNextStep({ outcome }, request).step == next_step::refuse);
    }
}

TEST_CASE("The outcome of an attempt determines the health signal")
{
    using std::chrono::milliseconds;
    struct signal_case {
        completed_attempt attempt;
        int usualMs;
        health_signal expected;
    };
    const signal_case cases[] = {
        { { attempt_outcome::answered, 200 }, 300, health_signal::succeeded },
        { { attempt_outcome::answered, 404 }, 300, health_signal::succeeded },
        { { attempt_outcome::answered, 500, false, {}, milliseconds(3) }, 300, health_signal::failed },
        { { attempt_outcome::answered, 500, false, {}, milliseconds(260) }, 300,
            health_signal::errorAfterProcessing },
        { { attempt_outcome::answered, 500, false, {}, milliseconds(260) }, 0, health_signal::failed },
        { { attempt_outcome::refused, 503 }, 300, health_signal::refused },
        { { attempt_outcome::wrongUpstream, 421 }, 300, health_signal::unreachable },
        { { attempt_outcome::notSent }, 300, health_signal::unreachable },
        { { attempt_outcome::noAnswer, 0, false }, 300, health_signal::failed },
        { { attempt_outcome::noAnswer, 0, true, milliseconds(300), milliseconds(2) }, 300,
            health_signal::inconclusive },
        { { attempt_outcome::noAnswer, 0, true, milliseconds(300), milliseconds(260) }, 300,
            health_signal::failed },
        { { attempt_outcome::noAnswer, 0, true, milliseconds(5), milliseconds(2) }, 300,
            health_signal::failed },
        { { attempt_outcome::broken }, 300, health_signal::failed },
        { { attempt_outcome::timedOut, 0, false, {}, milliseconds(900) }, 300, health_signal::inconclusive },
        { { attempt_outcome::timedOut, 0, false, {}, milliseconds(1300) }, 300, health_signal::failed },
        { { attempt_outcome::timedOut, 0, false, {}, milliseconds(1300) }, 0, health_signal::inconclusive },
        { { attempt_outcome::cancelled }, 300, health_signal::inconclusive },
    };
    for (const auto& each : cases) {
        CAPTURE(static_cast<int>(each.attempt.outcome));
        CHECK(healthSignalOf(each.attempt, milliseconds(each.usualMs)) == each.expected);
    }
}

}
