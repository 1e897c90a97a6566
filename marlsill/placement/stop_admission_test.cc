#include "marlsill/placement/stop_admission.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <string>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds grace { 5'650 };

}

TEST_CASE("A request is started during a stop only if it can be expected to finish")
{
    struct row {
        const char* name;
        milliseconds usualLatency;
        milliseconds objective;
        milliseconds sinceBegin;
        bool isStarted;
    };
    const row rows[] = {
        { "short work, at once", milliseconds(100), milliseconds(300), milliseconds(0), true },
        { "short work, before half of the stop", milliseconds(100), milliseconds(300), milliseconds(2'780),
            true },
        { "short work, in the second half", milliseconds(100), milliseconds(300), milliseconds(2'830),
            false },
        { "work of a fifth of the stop, at once", milliseconds(1'200), milliseconds(3'000), milliseconds(0),
            true },
        { "work of a fifth of the stop, late", milliseconds(1'200), milliseconds(3'000), milliseconds(900),
            false },
        { "unknown latency, the objective fits", milliseconds(0), milliseconds(3'000), milliseconds(2'600),
            true },
        { "unknown latency, the objective does not fit", milliseconds(0), milliseconds(3'000),
            milliseconds(2'700), false },
        { "longer than the stop", milliseconds(4'000), milliseconds(3'000), milliseconds(0), false },
        { "after the stop", milliseconds(1), milliseconds(1), milliseconds(6'000), false },
    };
    steady_clock::time_point begun {};
    stop_admission admission(begun, begun + grace);
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        CHECK(admission.mayStart({ each.usualLatency, each.objective }, begun + each.sinceBegin)
            == each.isStarted);
    }
}

TEST_CASE("Few requests are cut when run times vary by several times their average")
{
    // Plays requests that arrive all through the stop, with run times of different distributions, also at
    // upstreams that have slowed down since their latency was observed.
    struct row {
        const char* name;
        double averageMs; // As observed.
        milliseconds objective;
        double sigma; // Of a lognormal distribution; 0: exponential.
        double slowdown;
    };
    const row rows[] = {
        { "640 ms", 640, milliseconds(1'500), 0, 1 },
        { "480 ms", 480, milliseconds(1'500), 0, 1 },
        { "1,200 ms", 1'200, milliseconds(3'000), 0, 1 },
        { "640 ms, heavy tail", 640, milliseconds(1'500), 1, 1 },
        { "1,200 ms, heavy tail", 1'200, milliseconds(3'000), 1, 1 },
        { "480 ms, now three times slower", 480, milliseconds(1'500), 0, 3 },
        { "640 ms, now three times slower", 640, milliseconds(1'500), 0, 3 },
    };
    constexpr int requests = 20'000;
    constexpr int formerHeadroom = 2; // Multiple of the average that had to fit before.
    std::mt19937_64 random(20261204);
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        steady_clock::time_point begun {};
        stop_admission admission(begun, begun + grace);
        std::uniform_real_distribution<> arrival(0, static_cast<double>(grace.count()));
        std::exponential_distribution<> exponential(1 / each.averageMs);
        std::lognormal_distribution<> lognormal(
            std::log(each.averageMs) - each.sigma * each.sigma / 2, each.sigma);
        int cut = 0;
        int cutBefore = 0;
        int started = 0;
        for (int index = 0; index < requests; ++index) {
            double sentAt = arrival(random);
            double left = static_cast<double>(grace.count()) - sentAt;
            double work = each.slowdown * (each.sigma > 0 ? lognormal(random) : exponential(random));
            bool isCut = work > left;
            auto now = begun + milliseconds(static_cast<int>(sentAt));
            stop_outlook outlook { milliseconds(static_cast<int>(each.averageMs)), each.objective };
            bool isStarted = admission.mayStart(outlook, now);
            started += isStarted ? 1 : 0;
            cut += isStarted && isCut ? 1 : 0;
            cutBefore += formerHeadroom * each.averageMs < left && isCut ? 1 : 0;
        }
        MESSAGE(
            "started " << started << ", cut " << cut << ", cut before " << cutBefore << " of " << requests);
        CHECK(cut * 2 < cutBefore);
        CHECK((each.slowdown > 1 || cut * 50 <= started)); // One in fifty.
    }
}

}
