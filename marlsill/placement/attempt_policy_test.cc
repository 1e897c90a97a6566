#include "marlsill/placement/attempt_policy.h"

#include <doctest/doctest.h>

namespace marlsill::placement {

TEST_CASE("What follows an attempt")
{
    struct policy_case {
        const char* name;
        ended_attempt attempt;
        request_state request;
        next_step step;
        next_step otherwise;
    };
    const request_state once { .isAtMostOnce = true, .runsOn = 1, .maxUpstreams = 2, .mayHaveRun = true };
    const request_state onceNotRun { .isAtMostOnce = true, .runsOn = 0, .maxUpstreams = 2 };
    const request_state repeatable { .runsOn = 1, .maxUpstreams = 2, .mayHaveRun = true };
    const request_state lastTry { .runsOn = 2, .maxUpstreams = 2, .mayHaveRun = true };
    const request_state hedged {
        .runsOn = 2, .maxUpstreams = 2, .mayHaveRun = true, .isAnotherAtWork = true
    };
    const policy_case cases[] = {
        { "success", { attempt_end::answered, 200 }, once, next_step::deliver, next_step::deliver },
        { "caller's error", { attempt_end::answered, 404 }, repeatable, next_step::deliver,
            next_step::deliver },
        { "server error, once", { attempt_end::answered, 500 }, once, next_step::deliver,
            next_step::deliver },
        { "server error, repeatable", { attempt_end::answered, 500 }, repeatable, next_step::tryAnother,
            next_step::deliver },
        { "server error, last try", { attempt_end::answered, 500 }, lastTry, next_step::deliver,
            next_step::deliver },
        { "server error, another at work", { attempt_end::answered, 500 }, hedged, next_step::wait,
            next_step::wait },
        { "no room, once", { attempt_end::refused, 503 }, onceNotRun, next_step::tryAnother,
            next_step::refuse },
        { "no room after a run", { attempt_end::refused, 503 }, repeatable, next_step::tryAnother,
            next_step::giveUp },
        { "other upstream, once", { attempt_end::wrongUpstream, 421 }, onceNotRun, next_step::tryAnother,
            next_step::refuse },
        { "not sent, once", { attempt_end::notSent }, onceNotRun, next_step::tryAnother, next_step::refuse },
        { "no answer, once", { attempt_end::noAnswer }, once, next_step::giveUp, next_step::giveUp },
        { "no answer, repeatable", { attempt_end::noAnswer }, repeatable, next_step::tryAnother,
            next_step::giveUp },
        { "broken, once", { attempt_end::broken }, once, next_step::giveUp, next_step::giveUp },
        { "broken, another at work", { attempt_end::broken }, hedged, next_step::wait, next_step::wait },
        { "timed out, once", { attempt_end::timedOut }, once, next_step::giveUp, next_step::giveUp },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        auto decision = decideAfter(each.attempt, each.request);
        CHECK(decision.step == each.step);
        CHECK(decision.otherwise == each.otherwise);
    }
}

TEST_CASE("A request that may run once is never sent again after it may have run")
{
    for (int end = 0; end <= static_cast<int>(attempt_end::cancelled); ++end) {
        for (int status : { 0, 200, 404, 500, 503, 504 }) {
            ended_attempt attempt { static_cast<attempt_end>(end), status };
            request_state request { .isAtMostOnce = true, .runsOn = 1, .maxUpstreams = 9 };
            request.mayHaveRun = mayHaveRun(attempt.end);
            auto decision = decideAfter(attempt, request);
            CAPTURE(end);
            CAPTURE(status);
            CHECK((!request.mayHaveRun || decision.step != next_step::tryAnother));
            CHECK((!request.mayHaveRun || decision.step != next_step::refuse));
            CHECK((!request.mayHaveRun || decision.otherwise != next_step::refuse));
        }
    }
}

TEST_CASE("Upstreams that do not run a request are tried a bounded number of times, beyond those that may")
{
    for (auto end : { attempt_end::notSent, attempt_end::refused, attempt_end::wrongUpstream }) {
        request_state request { .isAtMostOnce = true, .maxUpstreams = 1, .refusals = 4 };
        CHECK(decideAfter({ end }, request).step == next_step::tryAnother);
        request.refusals = 5;
        CHECK(decideAfter({ end }, request).step == next_step::refuse);
    }
}

TEST_CASE("What an attempt says about its upstream")
{
    using std::chrono::milliseconds;
    struct verdict_case {
        ended_attempt attempt;
        int usualMs;
        attempt_verdict expected;
    };
    const verdict_case cases[] = {
        { { attempt_end::answered, 200 }, 300, attempt_verdict::succeeded },
        { { attempt_end::answered, 404 }, 300, attempt_verdict::succeeded },
        { { attempt_end::answered, 500, false, {}, milliseconds(3) }, 300, attempt_verdict::failed },
        { { attempt_end::answered, 500, false, {}, milliseconds(260) }, 300, attempt_verdict::failedAtWork },
        { { attempt_end::answered, 500, false, {}, milliseconds(260) }, 0, attempt_verdict::failed },
        { { attempt_end::refused, 503 }, 300, attempt_verdict::refused },
        { { attempt_end::wrongUpstream, 421 }, 300, attempt_verdict::unreachable },
        { { attempt_end::notSent }, 300, attempt_verdict::unreachable },
        { { attempt_end::noAnswer, 0, false }, 300, attempt_verdict::failed },
        { { attempt_end::noAnswer, 0, true, milliseconds(300), milliseconds(2) }, 300,
            attempt_verdict::neutral },
        { { attempt_end::noAnswer, 0, true, milliseconds(300), milliseconds(260) }, 300,
            attempt_verdict::failed },
        { { attempt_end::noAnswer, 0, true, milliseconds(5), milliseconds(2) }, 300,
            attempt_verdict::failed },
        { { attempt_end::broken }, 300, attempt_verdict::failed },
        { { attempt_end::timedOut, 0, false, {}, milliseconds(900) }, 300, attempt_verdict::neutral },
        { { attempt_end::timedOut, 0, false, {}, milliseconds(1300) }, 300, attempt_verdict::failed },
        { { attempt_end::timedOut, 0, false, {}, milliseconds(1300) }, 0, attempt_verdict::neutral },
        { { attempt_end::cancelled }, 300, attempt_verdict::neutral },
    };
    for (const auto& each : cases) {
        CAPTURE(static_cast<int>(each.attempt.end));
        CHECK(judge(each.attempt, milliseconds(each.usualMs)) == each.expected);
    }
}

}
