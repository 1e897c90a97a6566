#include "testing/soak/promise_checker.h"

#include <doctest/doctest.h>
#include <functional>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

    seen_answer served(const std::string& request)
    {
        return { .status = 200, .request = request, .seal = "seal-" + request };
    }

    struct planted_case {
        const char* name;
        std::function<void(promise_checker&)> plant;
        std::string found; // Start of what is found; empty for nothing.
    };

}

TEST_CASE("Each planted fault is found, and what is allowed is not")
{
    const planted_case cases[] = {
        { "served once",
            [](auto& checker) {
                checker.noteSent("r", true);
                checker.noteRun("r", "u", start);
                checker.noteAnswer("r", served("r"));
            },
            "" },
        { "a true refusal",
            [](auto& checker) {
                checker.noteSent("r", true);
                checker.noteAnswer("r", { .status = 503, .request = "r" });
            },
            "" },
        { "a repeatable request that ran on two",
            [](auto& checker) {
                checker.noteSent("r", false);
                checker.noteRun("r", "u1", start);
                checker.noteRun("r", "u2", start);
                checker.noteAnswer("r", served("r"));
            },
            "" },
        { "run twice",
            [](auto& checker) {
                checker.noteSent("r", true);
                checker.noteRun("r", "u1", start);
                checker.noteRun("r", "u2", start);
            },
            "ran too often" },
        { "false refusal, told before the upstream says that it ran",
            [](auto& checker) {
                checker.noteSent("r", true);
                checker.noteAnswer("r", { .status = 503, .request = "r" });
                checker.noteRun("r", "u", start);
            },
            "false refusal" },
        { "truncated answer",
            [](auto& checker) {
                checker.noteSent("r", false);
                auto answer = served("r");
                answer.isWhole = false;
                checker.noteAnswer("r", answer);
            },
            "truncated answer" },
        { "another one's answer",
            [](auto& checker) {
                checker.noteSent("r", false);
                checker.noteAnswer("r", served("q"));
            },
            "not its own answer" },
        { "answered twice",
            [](auto& checker) {
                checker.noteSent("r", false);
                checker.noteAnswer("r", served("r"));
                checker.noteAnswer("r", served("r"));
            },
            "answered twice" },
        { "a drained upstream used",
            [](auto& checker) {
                checker.noteLeaving("u", start);
                checker.noteRun("r", "u", start + milliseconds(1));
            },
            "drain" },
        { "a drained upstream used within the bound",
            [](auto& checker) {
                checker.noteLeaving("u", start);
                checker.noteRun("r", "u", start - milliseconds(1));
            },
            "" },
        { "configuration back",
            [](auto& checker) {
                checker.noteConfiguration("entry-1", 5, start, start + milliseconds(1));
                checker.noteConfiguration("entry-1", 4, start + milliseconds(2), start + milliseconds(3));
            },
            "configuration back" },
        { "an answer by the version before that was under way",
            [](auto& checker) {
                checker.noteConfiguration("entry-1", 5, start, start + milliseconds(2));
                checker.noteConfiguration("entry-1", 4, start + milliseconds(1), start + milliseconds(3));
            },
            "" },
        { "another process may be behind",
            [](auto& checker) {
                checker.noteConfiguration("entry-1", 5, start, start + milliseconds(1));
                checker.noteConfiguration("entry-2", 4, start + milliseconds(2), start + milliseconds(3));
            },
            "" },
        { "lost at a planned stop",
            [](auto& checker) {
                checker.noteRun("r", "u", start);
                checker.noteUnanswered("r", "entry-1#1");
                checker.notePlannedStop("entry-1#1");
            },
            "lost at a planned stop" },
        { "lost with a process that was killed",
            [](auto& checker) {
                checker.noteRun("r", "u", start);
                checker.noteUnanswered("r", "entry-1#1");
                checker.notePlannedStop("entry-1#1");
                checker.noteDisturbed("entry-1#1");
            },
            "" },
        { "not read before a planned stop",
            [](auto& checker) {
                checker.noteSent("r", true);
                checker.noteUnanswered("r", "entry-1#1");
                checker.notePlannedStop("entry-1#1");
            },
            "" },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        promise_checker checker;
        each.plant(checker);
        auto broken = checker.broken();
        CHECK(broken.size() == (each.found.empty() ? 0 : 1));
        CHECK((broken.empty() || broken.front().starts_with(each.found)));
    }
}

}
