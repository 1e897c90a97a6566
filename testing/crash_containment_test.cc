// Tests of whole entry daemons: how many upstreams a request crashes that crashes every upstream that runs
// it, and whether sound requests are served meanwhile.

#include "testing/crash_fleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <thread>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;

    // What happens to the fleet while the crashing request keeps coming.
    enum class disturbance {
        none,
        restarts, // A daemon is killed and restarted before each arrival, and gets the request next.
        pauses, // A daemon is stopped for a while before each arrival.
        storeAway, // The store does not answer.
    };

    struct containment_case {
        const char* name;
        restart_policy restart;
        disturbance during;
        int copies; // Sent at once.
        milliseconds interval; // Between arrivals.
        int arrivals;
        int upstreams = 24;
        int soundCallers = 1;
        const char* path = crashPath;
        bool isSameRequest = true; // Otherwise each arrival is a new crashing request.
    };

    void disturb(crash_fleet& fleet, disturbance kind, std::size_t entry)
    {
        switch (kind) {
        case disturbance::none:
            return;
        case disturbance::restarts:
            fleet.entry(entry).kill();
            fleet.entry(entry).start();
            CHECK(fleet.awaitServing(entry));
            return;
        case disturbance::pauses:
            fleet.entry(entry).signal(SIGSTOP);
            std::this_thread::sleep_for(milliseconds(100));
            fleet.entry(entry).signal(SIGCONT);
            return;
        case disturbance::storeAway:
            fleet.store().setFault(platform_adapter::store_fault::unresponsive);
            return;
        }
    }

}

TEST_CASE("A crashing request is contained from whichever addresses it comes")
{
    constexpr std::size_t entries = 16;
    constexpr restart_policy restart { restart_kind::newId, milliseconds(2'000) };
    struct address_case {
        const char* name;
        fleet_request crashing;
        std::vector<fleet_request> sound;
        milliseconds interval { 300 }; // Between arrivals; about one request in 30 crashes.
        int arrivals = 40;
        int upstreams = 24;
    };
    const fleet_request listing { .method = "GET", .path = soundPath };
    const address_case cases[] = {
        { "no account is named", { .path = crashPath },
            { listing, { .path = "/once/a" }, { .method = "GET", .path = soundPath, .from = "127.0.2.1" } } },
        { "one account", { .path = crashPath, .account = "a" },
            { { .method = "GET", .path = soundPath, .account = "a" }, { .path = "/once/a", .account = "a" },
                { .path = "/once/a", .account = "b" } } },
        { "sound requests have the same path and other bodies",
            { .path = "/once/a", .body = std::string("x") + crashMark, .account = "a" },
            { { .path = "/once/a", .body = "y", .account = "a" },
                { .path = "/once/a", .body = "z", .account = "b" }, { .path = "/once/a", .body = "w" } } },
        { "sound requests have the same path and body, of another account",
            { .path = "/once/a", .body = "x", .account = std::string("a") + crashMark },
            { { .path = "/once/a", .body = "x", .account = "b" }, { .path = "/once/a", .body = "x" } } },
        { "one request in ten, before few upstreams", { .path = repeatableCrashPath, .account = "a" },
            { listing, { .path = "/once/a" } }, milliseconds(90), 120, 6 },
    };
    for (const auto& each : cases) {
        CAPTURE(std::string(each.name));
        crash_fleet fleet(static_cast<int>(entries), each.upstreams);
        for (std::size_t entry = 0; entry < entries; ++entry) {
            REQUIRE(fleet.awaitServing(entry));
        }
        sound_caller sound(fleet, 3, each.sound);
        for (int arrival = 0; arrival < each.arrivals; ++arrival) {
            auto request = each.crashing;
            request.from = "127.0.3." + std::to_string(arrival + 1);
            fleet.call(static_cast<std::size_t>(arrival) % entries, request);
            fleet.tickFor(restart, each.interval);
        }
        auto crashes = fleet.crashes().size();
        MESSAGE(std::string(each.name)
            << ": " << crashes << " runs, " << fleet.lateCrashes()
            << " of them late; sound requests: " << sound.served() << " of " << sound.answered()
            << " served, " << sound.quarantined() << " taken for crashing ones");
        CHECK(crashes >= 1);
        CHECK(crashes <= maxRuns);
        CHECK(fleet.lateCrashes() <= maxLateRuns);
        CHECK(sound.quarantined() == 0);
        CHECK(sound.served() * 100 >= sound.answered() * 95);
        CHECK(sound.unanswered() == 0);
    }
}

TEST_CASE("A request that crashes every upstream that runs it does not go on crashing them")
{
    constexpr std::size_t entries = 16;
    const containment_case cases[] = {
        { "one copy at a time", { restart_kind::newId, milliseconds(2'000) }, disturbance::none, 1,
            milliseconds(300), 40 },
        { "upstreams keep their ids", { restart_kind::sameId, milliseconds(2'000) }, disturbance::none, 1,
            milliseconds(300), 40 },
        { "the store is away", { restart_kind::never, {} }, disturbance::storeAway, 1, milliseconds(300),
            40 },
        { "several copies at once", { restart_kind::newId, milliseconds(2'000) }, disturbance::none, 4,
            milliseconds(500), 24 },
        { "each daemon is restarted before it gets the request", { restart_kind::newId, milliseconds(2'000) },
            disturbance::restarts, 1, milliseconds(200), 16 },
        { "a request that may be repeated", { restart_kind::newId, milliseconds(2'000) }, disturbance::none,
            1, milliseconds(300), 30, 24, 1, repeatableCrashPath },
        { "upstreams are back at once, with new ids", { restart_kind::newId, {} }, disturbance::none, 1,
            milliseconds(300), 30 },
        { "upstreams are back at once, with the same ids", { restart_kind::sameId, {} }, disturbance::none, 1,
            milliseconds(300), 30 },
        { "sound requests at work on upstreams that others crash", { restart_kind::newId, milliseconds(500) },
            disturbance::none, 1, milliseconds(300), 30, 6, 6, crashPath, false },
        { "each daemon is paused before it gets the request", { restart_kind::newId, milliseconds(2'000) },
            disturbance::pauses, 1, milliseconds(200), 32 },
    };
    for (const auto& each : cases) {
        CAPTURE(std::string(each.name));
        crash_fleet fleet(static_cast<int>(entries), each.upstreams);
        for (std::size_t entry = 0; entry < entries; ++entry) {
            REQUIRE(fleet.awaitServing(entry));
        }
        sound_caller sound(fleet, each.soundCallers);
        for (int arrival = 0; arrival < each.arrivals; ++arrival) {
            auto entry = static_cast<std::size_t>(arrival) % entries;
            disturb(fleet, each.during, entry);
            auto path = each.path + (each.isSameRequest ? "" : std::to_string(arrival));
            std::vector<std::future<raw_answer>> copies;
            for (int copy = 0; copy < each.copies; ++copy) {
                auto receiver = (entry + static_cast<std::size_t>(copy)) % entries;
                copies.push_back(std::async(std::launch::async, [&fleet, receiver, path] {
                    return fleet.call(receiver, path.starts_with(repeatableCrashPath) ? "GET" : "POST", path);
                }));
            }
            for (auto& copy : copies) {
                copy.get();
            }
            fleet.tickFor(each.restart, each.interval);
        }
        auto crashes = fleet.crashes();
        MESSAGE(std::string(each.name)
            << ": " << crashes.size() << " runs, " << fleet.lateCrashes()
            << " of them late; sound requests: " << sound.served() << " of " << sound.answered()
            << " served, " << sound.quarantined() << " taken for crashing ones");
        CHECK(crashes.size() >= 1);
        CHECK((!each.isSameRequest || fleet.lateCrashes() <= maxLateRuns));
        CHECK((!each.isSameRequest || each.copies > 1 || crashes.size() <= maxRuns));
        CHECK(sound.quarantined() == 0);
        CHECK(sound.served() * 100 >= sound.answered() * 95);
        CHECK((each.during == disturbance::restarts || sound.unanswered() == 0)); // Those of killed daemons.
    }
}

}
