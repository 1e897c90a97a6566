#include "marlsill/placement/admission_queue.h"

#include <doctest/doctest.h>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

    struct waiter {
        std::string name;
    };

}

TEST_CASE("Who is served next")
{
    struct waiting_request {
        const char* name;
        int priority;
        int limitMs;
        const char* caller;
    };
    struct line_case {
        const char* name;
        std::vector<waiting_request> joined;
        std::vector<std::string> expected;
    };
    const line_case cases[] = {
        { "nobody", {}, {} },
        { "urgent ones first", { { "a", 2, 100, "x" }, { "b", 1, 900, "y" } }, { "b", "a" } },
        { "then the one that is due first", { { "a", 1, 900, "x" }, { "b", 1, 100, "y" } }, { "b", "a" } },
        { "callers take turns", { { "a", 1, 100, "x" }, { "b", 1, 200, "x" }, { "c", 1, 900, "y" } },
            { "a", "c", "b" } },
        { "turns do not go before urgency",
            { { "a", 1, 100, "x" }, { "b", 1, 200, "x" }, { "c", 2, 50, "y" } }, { "a", "b", "c" } },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        admission_queue<waiter> line;
        std::vector<std::shared_ptr<waiter>> waiting;
        for (const auto& joined : each.joined) {
            waiting.push_back(std::make_shared<waiter>(waiter { joined.name }));
            line.enqueue(waiting.back(),
                { .priority = joined.priority,
                    .limit = start + milliseconds(joined.limitMs),
                    .caller = joined.caller },
                start);
        }
        std::vector<std::string> served;
        while (auto next = line.peekNext()) {
            served.push_back(next->name);
            line.remove(*next);
        }
        CHECK(served == each.expected);
        CHECK(line.size() == 0);
    }
}

TEST_CASE("A request that has gone leaves the line")
{
    admission_queue<waiter> line;
    auto gone = std::make_shared<waiter>();
    auto stays = std::make_shared<waiter>();
    line.enqueue(gone, { .limit = start, .caller = "x" }, start);
    line.enqueue(stays, { .limit = start + milliseconds(1), .caller = "y" }, start);
    gone.reset();
    CHECK(line.peekNext() == stays);
    CHECK(line.size() == 1);
}

TEST_CASE("What cannot be answered in time is hopeless")
{
    struct outlook_case {
        const char* name;
        queue_load outlook;
        int leftMs; // Until the limit; the objective is 400 ms sooner.
        bool isHopeless;
    };
    const outlook_case cases[] = {
        { "room soon", { 0, 10, milliseconds(300) }, 400, false },
        { "no time for the work itself", { 0, 10, milliseconds(300) }, 320, true },
        { "a long line", { 39, 10, milliseconds(300) }, 1'400, true },
        { "the same line, more time", { 39, 10, milliseconds(300) }, 1'600, false },
        { "the same line, standing", { 39, 10, milliseconds(300), true }, 1'600, true },
        { "standing, time enough for the objective", { 39, 10, milliseconds(300), true }, 2'000, false },
        { "nothing known of the service", { 0, 0, {} }, 400, false },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        auto limit = start + milliseconds(each.leftMs);
        CHECK(shouldShed(each.outlook, { limit - milliseconds(400), limit }, start) == each.isHopeless);
    }
}

TEST_CASE("A line stands when it has not been empty for a while")
{
    admission_queue<waiter> line;
    auto one = std::make_shared<waiter>();
    auto two = std::make_shared<waiter>();
    line.enqueue(one, { .caller = "x" }, start);
    CHECK_FALSE(line.isStanding(start + milliseconds(1'400)));
    line.enqueue(two, { .caller = "y" }, start + milliseconds(1'200));
    line.remove(*one);
    CHECK(line.isStanding(start + milliseconds(1'600)));
    line.remove(*two);
    CHECK_FALSE(line.isStanding(start + milliseconds(2'200)));
    line.enqueue(one, { .caller = "x" }, start + milliseconds(2'200));
    CHECK_FALSE(line.isStanding(start + milliseconds(2'300)));
}

TEST_CASE("Callers that are refused together return spread out, within bounds")
{
    using std::chrono::milliseconds;
    CHECK(retryAfter(milliseconds(0), 0.5) == milliseconds(50));
    CHECK(retryAfter(milliseconds(400), 0.0) == milliseconds(400));
    CHECK(retryAfter(milliseconds(400), 1.0) == milliseconds(800));
    CHECK(retryAfter(milliseconds(60'000), 0.0) == milliseconds(5'000));
}

}
