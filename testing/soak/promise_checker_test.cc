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

    // A request of `process` that `upstream` turns away for two seconds.
    void turnAway(promise_checker& checker, const std::string& process)
    {
        checker.noteCarrier("first", process);
        checker.noteArrival("first", "u", start);
        checker.noteTurnedAway("first", "u", start, start + milliseconds(2'000));
    }

    // Requests of `process` that reach the upstream at `atMs` after it has turned the first one away.
    void arrive(promise_checker& checker, const std::string& process, std::initializer_list<int> atMs)
    {
        for (auto at : atMs) {
            auto request = process + "-" + std::to_string(at);
            checker.noteCarrier(request, process);
            checker.noteArrival(request, "u", start + milliseconds(at));
        }
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
        { "three requests while it turns them away",
            [](auto& checker) {
                turnAway(checker, "entry-1#1");
                arrive(checker, "entry-1#1", { 500, 1'000, 1'999 });
            },
            "turned away" },
        { "two requests while it turns them away, and others before and after",
            [](auto& checker) {
                turnAway(checker, "entry-1#1");
                arrive(checker, "entry-1#1", { 1, 2, 499, 500, 1'999, 2'000, 2'001 });
            },
            "" },
        { "a second time that ends later",
            [](auto& checker) {
                turnAway(checker, "entry-1#1");
                arrive(checker, "entry-1#1", { 100 });
                checker.noteTurnedAway(
                    "entry-1#1-100", "u", start + milliseconds(100), start + milliseconds(4'000));
                arrive(checker, "entry-1#1", { 2'100, 3'000, 3'900 });
            },
            "turned away" },
        { "requests of processes that were not turned away",
            [](auto& checker) {
                turnAway(checker, "entry-1#1");
                arrive(checker, "entry-1#2", { 600, 700, 800 });
                arrive(checker, "entry-2#1", { 600, 700, 800 });
            },
            "" },
        { "a process that was paused after it was turned away",
            [](auto& checker) {
                turnAway(checker, "entry-1#1");
                checker.excuseTurnAways("entry-1#1", start + milliseconds(300));
                arrive(checker, "entry-1#1", { 600, 700, 800 });
            },
            "" },
        { "a process that is turned away after a pause",
            [](auto& checker) {
                checker.excuseTurnAways("entry-1#1", start);
                turnAway(checker, "entry-1#1");
                arrive(checker, "entry-1#1", { 600, 700, 800 });
            },
            "turned away" },
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
