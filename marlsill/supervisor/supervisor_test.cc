#include "marlsill/supervisor/supervisor.h"

#include <atomic>
#include <doctest/doctest.h>
#include <stdexcept>

namespace marlsill {

namespace {

    constexpr supervisor_options quick { std::chrono::milliseconds(1), std::chrono::milliseconds(2) };

    void waitFor(const std::atomic<int>& counter, int value)
    {
        while (counter < value) {
            std::this_thread::yield();
        }
    }

    void runUntilStopped(const std::stop_token& stop)
    {
        while (!stop.stop_requested()) {
            std::this_thread::yield();
        }
    }

}

TEST_CASE("a part that fails is restarted and does not disturb the others")
{
    supervisor root("test", quick);
    std::atomic<int> failures = 0;
    std::atomic<int> starts = 0;
    root.add("failing", [&](const std::stop_token&) {
        ++failures;
        throw std::runtime_error("broken");
    });
    root.add("steady", [&](const std::stop_token& stop) {
        ++starts;
        runUntilStopped(stop);
    });
    root.start();
    waitFor(failures, 3);
    waitFor(starts, 1); // Its thread may start after the other part has failed three times.
    root.stop();
    CHECK(starts == 1);
}

TEST_CASE("supervisors nest, and stopping the root stops every part")
{
    supervisor child("child", quick);
    std::atomic<int> running = 0;
    std::atomic<int> ended = 0;
    for (int index = 0; index < 2; ++index) {
        child.add("part", [&](const std::stop_token& stop) {
            ++running;
            runUntilStopped(stop);
            ++ended;
        });
    }
    supervisor root("root", quick);
    root.add("child", child.asPart());
    root.start();
    waitFor(running, 2);
    root.stop();
    CHECK(ended == 2);
}

}
