#include "testing/soak/leaving_observer.h"

#include <doctest/doctest.h>
#include <functional>

namespace marlsill::testing {

TEST_CASE("A planted request to a leaving upstream is found, and what is allowed is not")
{
    using std::chrono::milliseconds;
    const steady_clock::time_point start { std::chrono::hours(1) };
    constexpr milliseconds drainTime { 2'000 };
    struct row {
        const char* name;
        std::function<void(leaving_observer&)> plant; // After "u" said to "e" at `start` that it leaves.
        std::size_t broken;
        std::size_t checked;
    };
    auto send = [&](leaving_observer& observer, const char* process, milliseconds after) {
        observer.noteSent("r", process, start + after);
    };
    const row rows[] = {
        { "sent later than the drain time",
            [&](auto& observer) {
                send(observer, "e", drainTime + milliseconds(1));
                observer.noteArrival("r", "u");
            },
            1, 1 },
        { "sent later, to another upstream",
            [&](auto& observer) {
                send(observer, "e", drainTime + milliseconds(1));
                observer.noteArrival("r", "u2");
            },
            0, 1 },
        { "sent within the drain time",
            [&](auto& observer) {
                send(observer, "e", drainTime);
                observer.noteArrival("r", "u");
            },
            0, 0 },
        { "sent later by another process",
            [&](auto& observer) {
                send(observer, "e2", drainTime + milliseconds(1));
                observer.noteArrival("r", "u");
            },
            0, 0 },
        { "a second notice does not extend the time",
            [&](auto& observer) {
                observer.noteSent("s", "e", start + milliseconds(900));
                observer.notePassedOn("s", "u", start + milliseconds(1'000));
                send(observer, "e", drainTime + milliseconds(1));
                observer.noteArrival("r", "u");
            },
            1, 1 },
        { "a retry later than the drain time of a request sent before",
            [&](auto& observer) {
                send(observer, "e", drainTime - milliseconds(1));
                observer.noteArrival("r", "u");
                observer.noteArrival("r", "u");
            },
            0, 0 },
        { "another process in its place",
            [&](auto& observer) {
                observer.noteReplaced("u", start + drainTime);
                send(observer, "e", drainTime + milliseconds(1));
                observer.noteArrival("r", "u");
            },
            0, 0 },
        { "an answer of the process before that comes after its end",
            [&](auto& observer) {
                observer.noteSent("s", "e", start);
                observer.noteReplaced("u", start + milliseconds(10));
                observer.notePassedOn("s", "u", start + milliseconds(20));
                send(observer, "e", 2 * drainTime);
                observer.noteArrival("r", "u");
            },
            0, 0 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        leaving_observer observer(drainTime);
        observer.noteSent("q", "e", start - milliseconds(5));
        observer.notePassedOn("q", "u", start);
        each.plant(observer);
        CHECK(observer.broken().size() == each.broken);
        CHECK(observer.checked() == each.checked);
    }
}

}
