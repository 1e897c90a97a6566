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

TEST_CASE("Requests are served by priority, caller turn and deadline")
{
    struct waiting_request {
        const char* name;
        int priority;
        int limitMs;
        const char* caller;
        int accountPriority = 0;
    };
    struct queue_case {
        const char* name;
        std::vector<waiting_request> joined;
        std::vector<std::string> expected;
    };
    const queue_case cases[] = {
        { "empty queue", {}, {} },
        { "by priority", { { "a", 2, 100, "x" }, { "b", 1, 900, "y" } }, { "b", "a" } },
        { "then by deadline", { { "a", 1, 900, "x" }, { "b", 1, 100, "y" } }, { "b", "a" } },
        { "callers take turns", { { "a", 1, 100, "x" }, { "b", 1, 200, "x" }, { "c", 1, 900, "y" } },
            { "a", "c", "b" } },
        { "priority outranks turns", { { "a", 1, 100, "x" }, { "b", 1, 200, "x" }, { "c", 2, 50, "y" } },
            { "a", "b", "c" } },
        { "the account's priority outranks the route's",
            { { "a", 1, 100, "x", 2 }, { "b", 9, 900, "y", 1 }, { "c", 5, 100, "z", 1 } },
            { "c", "b", "a" } },
        { "accounts of equal priority take turns",
            { { "a", 1, 100, "x", 1 }, { "b", 1, 200, "x", 1 }, { "c", 1, 900, "y", 1 } },
            { "a", "c", "b" } },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        admission_queue<waiter> queue;
        std::vector<std::shared_ptr<waiter>> waiting;
        for (const auto& joined : each.joined) {
            waiting.push_back(std::make_shared<waiter>(waiter { joined.name }));
            queue.enqueue(waiting.back(),
                { .accountPriority = joined.accountPriority,
                    .priority = joined.priority,
                    .limit = start + milliseconds(joined.limitMs),
                    .caller = joined.caller },
                start);
        }
        std::vector<std::string> served;
        while (auto next = queue.peekNext()) {
            served.push_back(next->name);
            queue.remove(*next);
        }
        CHECK(served == each.expected);
        CHECK(queue.size() == 0);
    }
}

TEST_CASE("A destroyed request leaves the queue")
{
    admission_queue<waiter> queue;
    auto gone = std::make_shared<waiter>();
    auto stays = std::make_shared<waiter>();
    queue.enqueue(gone, { .limit = start, .caller = "x" }, start);
    queue.enqueue(stays, { .limit = start + milliseconds(1), .caller = "y" }, start);
    gone.reset();
    CHECK(queue.peekNext() == stays);
    CHECK(queue.size() == 1);
}

TEST_CASE("Requests that cannot be answered in time are shed")
{
    struct shedding_case {
        const char* name;
        queue_load load;
        int leftMs; // Until the limit. The objective is 400 ms earlier.
        bool isShed;
    };
    const shedding_case cases[] = {
        { "free slot soon", { 0, 10, milliseconds(300) }, 400, false },
        { "less time left than the usual latency", { 0, 10, milliseconds(300) }, 320, true },
        { "a long queue", { 39, 10, milliseconds(300) }, 1'400, true },
        { "the same queue, more time", { 39, 10, milliseconds(300) }, 1'600, false },
        { "the same queue, standing", { 39, 10, milliseconds(300), true }, 1'600, true },
        { "standing, time enough for the objective", { 39, 10, milliseconds(300), true }, 2'000, false },
        { "unknown service latency and capacity", { 0, 0, {} }, 400, false },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        auto limit = start + milliseconds(each.leftMs);
        CHECK(shouldShed(each.load, { limit - milliseconds(400), limit }, start) == each.isShed);
    }
}

TEST_CASE("A queue is standing after it has been non-empty for a while")
{
    admission_queue<waiter> queue;
    auto one = std::make_shared<waiter>();
    auto two = std::make_shared<waiter>();
    queue.enqueue(one, { .caller = "x" }, start);
    CHECK_FALSE(queue.isStanding(start + milliseconds(1'400)));
    queue.enqueue(two, { .caller = "y" }, start + milliseconds(1'200));
    queue.remove(*one);
    CHECK(queue.isStanding(start + milliseconds(1'600)));
    queue.remove(*two);
    CHECK_FALSE(queue.isStanding(start + milliseconds(2'200)));
    queue.enqueue(one, { .caller = "x" }, start + milliseconds(2'200));
    CHECK_FALSE(queue.isStanding(start + milliseconds(2'300)));
}

TEST_CASE("Retry times are jittered within bounds")
{
    using std::chrono::milliseconds;
    CHECK(retryAfter(milliseconds(0), 0.5) == milliseconds(50));
    CHECK(retryAfter(milliseconds(400), 0.0) == milliseconds(400));
    CHECK(retryAfter(milliseconds(400), 1.0) == milliseconds(800));
    CHECK(retryAfter(milliseconds(60'000), 0.0) == milliseconds(5'000));
}

TEST_CASE("A waiter knows how many are served before it")
{
    admission_queue<int> queue;
    auto first = std::make_shared<int>(1);
    auto sameCaller = std::make_shared<int>(2);
    auto urgent = std::make_shared<int>(3);
    auto outside = std::make_shared<int>(4);
    queue.enqueue(first, { .priority = 1, .limit = start, .caller = "a" }, start);
    queue.enqueue(sameCaller, { .priority = 1, .limit = start, .caller = "a" }, start);
    queue.enqueue(urgent, { .priority = 0, .limit = start, .caller = "b" }, start);
    CHECK(queue.waitersAhead(*urgent) == 0);
    CHECK(queue.waitersAhead(*first) == 1);
    CHECK(queue.waitersAhead(*sameCaller) == 2);
    CHECK(queue.waitersAhead(*outside) == 3);
    queue.remove(*urgent);
    CHECK(queue.waitersAhead(*first) == 0);
}

}
