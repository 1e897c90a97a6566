#include "marlsill/placement/rate_limits.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <vector>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    constexpr steady_clock::time_point start { std::chrono::hours(1) };
    constexpr const char* upstream = "u1";

    // The most of `sorted` within some 4 s.
    int mostInFourSeconds(const std::vector<steady_clock::time_point>& sorted)
    {
        std::ptrdiff_t most = 0;
        for (auto first = sorted.begin(); first != sorted.end(); ++first) {
            most
                = std::max(most, std::upper_bound(first, sorted.end(), *first + milliseconds(4'000)) - first);
        }
        return static_cast<int>(most);
    }

}

TEST_CASE("Responses that overtake each other do not end a limit")
{
    struct response {
        int startedMs;
        int endedMs;
        std::optional<double> limit;
    };
    struct row {
        const char* name;
        std::vector<response> responses;
        std::optional<double> limit;
        int notices;
    };
    const row rows[] = {
        { "no limit", { { 0, 10, std::nullopt } }, std::nullopt, 0 },
        { "a limit", { { 0, 10, 2 }, { 20, 30, 2 } }, 2, 1 },
        { "a changed limit", { { 0, 10, 2 }, { 20, 30, 3 } }, 3, 2 },
        { "an older request ends later", { { 5, 10, 2 }, { 0, 20, std::nullopt } }, 2, 1 },
        { "the limit has ended", { { 0, 10, 2 }, { 20, 30, std::nullopt } }, std::nullopt, 2 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        rate_limits limits;
        int notices = 0;
        for (const auto& [startedMs, endedMs, limit] : each.responses) {
            auto notice = limits.recordResponse(
                upstream, limit, start + milliseconds(startedMs), start + milliseconds(endedMs));
            notices += notice ? 1 : 0;
        }
        CHECK(limits.limitOf(upstream) == each.limit);
        CHECK(notices == each.notices);
    }
}

TEST_CASE("The latest observation of the fleet counts, in whatever order notices arrive")
{
    rate_limits limits;
    limits.merge({ upstream, 2.0, start + milliseconds(20) });
    limits.merge({ upstream, std::nullopt, start + milliseconds(10) });
    CHECK(limits.limitOf(upstream) == 2.0);
    limits.merge({ upstream, std::nullopt, start + milliseconds(30) });
    CHECK_FALSE(limits.limitOf(upstream));
    CHECK(limits.hasPermit(upstream, start));
}

TEST_CASE("A permit allows one request, and not for long")
{
    rate_limits limits;
    limits.recordResponse(upstream, 2, start, start);
    CHECK_FALSE(limits.hasPermit(upstream, start));
    REQUIRE(limits.shouldRequest(upstream, start));
    limits.noteRequested(upstream, start);
    CHECK_FALSE(limits.shouldRequest(upstream, start + milliseconds(10)));
    CHECK(limits.shouldRequest(upstream, start + milliseconds(60))); // The answer was lost.
    limits.grant(upstream, start + milliseconds(10));
    CHECK(limits.hasPermit(upstream, start + milliseconds(709)));
    CHECK_FALSE(limits.hasPermit(upstream, start + milliseconds(710)));
    limits.consume(upstream, start + milliseconds(20));
    CHECK_FALSE(limits.hasPermit(upstream, start + milliseconds(20)));
    limits.refuse(upstream, start + milliseconds(500));
    CHECK_FALSE(limits.shouldRequest(upstream, start + milliseconds(499)));
    CHECK(limits.nextChance(upstream, start) == start + milliseconds(500));
    CHECK(limits.shouldRequest(upstream, start + milliseconds(500)));
    limits.grant(upstream, start + milliseconds(900));
    CHECK_FALSE(limits.hasPermit(upstream, start + milliseconds(899)));
    CHECK_FALSE(limits.shouldRequest(upstream, start + milliseconds(899)));
    CHECK(limits.isExpectingPermit(upstream, start + milliseconds(899)));
    CHECK(limits.hasPermit(upstream, start + milliseconds(900)));
}

TEST_CASE("A VM that was absent uses no permit from before")
{
    // Guards against a permit that waited in the socket of a stopped VM, and counts from when it is read.
    struct row {
        const char* name;
        bool isHeld; // Before the absence; otherwise the answer waits in the socket.
    };
    const row rows[] = { { "held", true }, { "in the socket", false } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        rate_limits limits;
        limits.recordResponse(upstream, 2, start, start);
        limits.noteRequested(upstream, start);
        if (each.isHeld) {
            limits.grant(upstream, start + milliseconds(7'900)); // Reserved.
        }
        auto back = start + milliseconds(8'000);
        limits.noteAbsence(back);
        CHECK(limits.ignoresAnswers(back));
        CHECK_FALSE(limits.hasPermit(upstream, back));
        CHECK_FALSE(limits.shouldRequest(upstream, back + milliseconds(119)));
        CHECK_FALSE(limits.ignoresAnswers(back + milliseconds(120)));
        CHECK(limits.shouldRequest(upstream, back + milliseconds(120)));
        limits.noteRequested(upstream, back + milliseconds(120));
        limits.grant(upstream, back + milliseconds(130));
        CHECK(limits.hasPermit(upstream, back + milliseconds(130)));
    }
}

TEST_CASE("All VMs together keep the limit and use most of it, also while the issuer changes")
{
    struct row {
        const char* name;
        double limit;
        int vms;
        int requestsPerSecond;
        int issuerChangeMs; // The issuer changes this often, and both issue for 500 ms; 0: never.
        milliseconds maxDelay { 0 };
    };
    const row rows[] = {
        { "a limit below one request per VM in ten seconds", 2, 32, 40, 0 },
        { "one VM", 2, 1, 40, 0 },
        { "a high limit", 20, 9, 100, 0 },
        { "a fraction", 0.5, 9, 40, 0 },
        { "the issuer changes", 2, 9, 40, 10'000 },
        { "permits are reserved", 2, 9, 40, 0, milliseconds(1'000) },
        { "permits are reserved, and the issuer changes", 2, 9, 40, 10'000, milliseconds(1'000) },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        std::mt19937 random(1);
        std::vector<rate_limits> vms(static_cast<std::size_t>(each.vms));
        for (auto& vm : vms) {
            vm.merge({ upstream, each.limit, start });
        }
        permit_issuer issuers[2];
        std::vector<steady_clock::time_point> sent;
        constexpr int lengthMs = 60'000;
        for (int ms = 0; ms < lengthMs; ms += 1'000 / each.requestsPerSecond) {
            auto now = start + milliseconds(ms);
            auto& vm = vms[random() % vms.size()];
            if (vm.hasPermit(upstream, now)) {
                vm.consume(upstream, now);
                sent.push_back(now);
            }
            if (!vm.shouldRequest(upstream, now)) {
                continue;
            }
            bool isOverlap = each.issuerChangeMs > 0 && ms % each.issuerChangeMs < 500;
            int period = each.issuerChangeMs > 0 ? ms / each.issuerChangeMs : 0;
            auto issuer = static_cast<std::size_t>((period + (isOverlap ? ms : 0)) % 2);
            auto answer = issuers[issuer].request(upstream, each.limit, each.maxDelay, now);
            if (answer.isGranted) {
                vm.grant(upstream, now + answer.delay);
            } else {
                vm.refuse(upstream, now + answer.delay);
            }
        }
        CHECK(mostInFourSeconds(sent) <= static_cast<int>(1.5 * 4 * each.limit) + 5);
        CHECK(static_cast<double>(sent.size()) >= 0.6 * each.limit * lengthMs / 1'000);
    }
}

}
