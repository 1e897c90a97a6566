// Tests of whole entry daemons: crashing requests after VMs were away, and sound requests that happen to be
// at work on upstreams that another request crashes.

#include "testing/crash_fleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <future>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds arrivalInterval { 300 };
    constexpr restart_policy restartPolicy { restart_kind::newId, milliseconds(1'300) };

    void awaitAllServing(crash_fleet& fleet)
    {
        for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
            REQUIRE(fleet.awaitServing(entry));
        }
    }

    // Sends one crashing request to a daemon, waits for its answer, and then for the next arrival's time.
    void crashOnce(crash_fleet& fleet, std::size_t entry, milliseconds interval = arrivalInterval)
    {
        fleet.call(entry, "POST", crashPath);
        fleet.tickFor(restartPolicy, interval);
    }

}

TEST_CASE("A VM that was frozen does not send a request that crashed upstreams meanwhile")
{
    constexpr int entries = 32;
    constexpr milliseconds freezeTime { 6'000 };
    crash_fleet fleet(entries, 24);
    awaitAllServing(fleet);
    auto first = std::async(std::launch::async, [&fleet] { fleet.call(0, "POST", crashPath); });
    for (std::size_t entry = 1; entry < entries; ++entry) {
        fleet.entry(entry).signal(SIGSTOP);
    }
    first.get();
    fleet.tickFor(restartPolicy, freezeTime);
    for (std::size_t entry = 1; entry < entries; ++entry) {
        auto waiting
            = std::async(std::launch::async, [&fleet, entry] { fleet.call(entry, "POST", crashPath); });
        fleet.tickFor(restartPolicy, milliseconds(20));
        fleet.entry(entry).signal(SIGCONT);
        waiting.get();
        fleet.tickFor(restartPolicy, arrivalInterval);
    }
    MESSAGE(fleet.crashes().size() << " runs, " << fleet.lateCrashes() << " of them late");
    CHECK(fleet.crashes().size() <= maxRuns);
    CHECK(fleet.lateCrashes() <= maxLateRuns);
}

TEST_CASE("A crashing request is not sent again after all VMs have lost power")
{
    constexpr int entries = 16;
    constexpr int arrivals = 32;
    constexpr int arrivalsBetweenLosses = 8;
    crash_fleet fleet(entries, 24);
    awaitAllServing(fleet);
    for (int arrival = 0; arrival < arrivals; ++arrival) {
        if (arrival > 0 && arrival % arrivalsBetweenLosses == 0) {
            for (std::size_t entry = 0; entry < entries; ++entry) {
                fleet.entry(entry).kill();
            }
            for (std::size_t entry = 0; entry < entries; ++entry) {
                REQUIRE(fleet.entry(entry).start());
            }
            awaitAllServing(fleet);
        }
        crashOnce(fleet, static_cast<std::size_t>(arrival % entries));
    }
    MESSAGE(fleet.crashes().size() << " runs, " << fleet.lateCrashes() << " of them late");
    CHECK(fleet.crashes().size() <= maxRuns);
    CHECK(fleet.lateCrashes() <= maxLateRuns);
}

TEST_CASE("A popular sound request is served although both upstreams crash under another one")
{
    constexpr int entries = 16;
    constexpr int arrivals = 90;
    constexpr int arrivalsUntilServedAgain = 45; // 4.5 s; each upstream is back after 1.3 s.
    constexpr milliseconds interval { 100 }; // The second upstream crashes before the first one is back.
    constexpr int minServedPercent = 95;
    constexpr milliseconds workTime { 300 }; // One sound request can be at work on both as they crash.
    crash_fleet fleet(entries, 2, workTime);
    awaitAllServing(fleet);
    sound_caller sound(fleet, 3);
    fleet.tickFor(restartPolicy, milliseconds(1'000));
    int answeredBefore = 0;
    int servedBefore = 0;
    for (int arrival = 0; arrival < arrivals; ++arrival) {
        if (arrival == arrivalsUntilServedAgain) {
            answeredBefore = sound.answered();
            servedBefore = sound.served();
        }
        // The second copy comes at once, so that both upstreams crash before a sound request succeeds.
        crashOnce(fleet, static_cast<std::size_t>(arrival % entries),
            arrival == 0 ? milliseconds(0) : arrivalInterval);
    }
    auto answered = sound.answered() - answeredBefore;
    auto served = sound.served() - servedBefore;
    MESSAGE(fleet.crashes().size() << " runs; sound requests: " << served << " of " << answered
                                   << " served in the end, " << sound.quarantined()
                                   << " taken for crashing ones");
    CHECK(fleet.crashes().size() >= 2);
    CHECK(fleet.crashes().size() <= maxRuns);
    CHECK(sound.quarantined() == 0);
    CHECK(served * 100 >= answered * minServedPercent);
}

}
