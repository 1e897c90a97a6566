#include "marlsill/placement/retry_slack_share.h"

#include "marlsill/placement/windowed_retry_budget.h"

#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <vector>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };
    constexpr milliseconds window { 10'000 };
    constexpr milliseconds step { 100 };
    constexpr double ratio = 0.2; // The users' `retryBudgetRatio`.
    constexpr double slack = 56; // The users' `retryBudgetSlack`.
    constexpr int vms = 36;

    // One VM's budget and its view of the fleet. Every request fails, so that all retries are used.
    struct vm_state {
        explicit vm_state(steady_clock::time_point now)
            : share(now)
            , budget({ window, ratio, 0 })
        {
        }

        retry_slack_share share;
        windowed_retry_budget budget;
        serving_view view { .isServing = true, .servingVms = 9, .knownVms = vms };
        bool isRunning = true;
    };

    // Events at one time, by which a scenario changes the VMs.
    using scenario = std::function<void(std::vector<std::unique_ptr<vm_state>>& fleet, milliseconds elapsed)>;

    struct play_result {
        int retries = 0;
        double mostBeyondRatio = 0; // In any window, beyond `ratio` x its requests.
    };

    // Plays the fleet; the first nine VMs serve. Each running VM gets one request per step.
    play_result play(const scenario& change, milliseconds length)
    {
        std::vector<std::unique_ptr<vm_state>> fleet;
        for (int number = 0; number < vms; ++number) {
            fleet.push_back(std::make_unique<vm_state>(start));
            fleet.back()->view.isServing = number < 9;
        }
        std::vector<int> retries;
        std::vector<int> requests;
        for (milliseconds elapsed { 0 }; elapsed < length; elapsed += step) {
            auto now = start + elapsed;
            change(fleet, elapsed);
            retries.push_back(0);
            requests.push_back(0);
            for (auto& vm : fleet) {
                if (!vm->isRunning) {
                    continue;
                }
                vm->share.observe(vm->view, now);
                vm->budget.setOptions({ window, ratio, slack * vm->share.fraction(now) });
                vm->budget.countRequest(now);
                ++requests.back();
                while (vm->budget.tryAcquire(now)) {
                    ++retries.back();
                }
            }
        }
        play_result result;
        auto steps = static_cast<std::size_t>(window / step);
        for (std::size_t last = 0; last < retries.size(); ++last) {
            auto first = last + 1 >= steps ? last + 1 - steps : 0;
            int retriesInWindow = 0;
            int requestsInWindow = 0;
            for (auto index = first; index <= last; ++index) {
                retriesInWindow += retries[index];
                requestsInWindow += requests[index];
            }
            result.mostBeyondRatio
                = std::max(result.mostBeyondRatio, retriesInWindow - ratio * requestsInWindow);
            result.retries += retries[last];
        }
        return result;
    }

}

TEST_CASE("The retries of all VMs stay within the fleet's budget in every window")
{
    // Guards against each VM that starts, is cut off or takes another's place using a share of its own.
    struct row {
        const char* name;
        scenario change;
    };
    auto restart = [](auto& fleet, int number, milliseconds elapsed) {
        auto& vm = fleet[static_cast<std::size_t>(number)];
        bool wasServing = vm->view.isServing;
        vm = std::make_unique<vm_state>(start + elapsed);
        vm->view.isServing = wasServing;
    };
    auto each = [](milliseconds elapsed, int milliseconds) { return elapsed.count() % milliseconds == 0; };
    const row rows[] = {
        { "calm", [](auto&, auto) {} },
        { "one VM restarts every 200 ms",
            [&](auto& fleet, auto elapsed) {
                if (each(elapsed, 200)) {
                    restart(fleet, static_cast<int>(elapsed.count() / 200) % vms, elapsed);
                }
            } },
        { "all VMs restart every 12 s",
            [&](auto& fleet, auto elapsed) {
                for (int number = 0; number < vms && each(elapsed, 12'000); ++number) {
                    restart(fleet, number, elapsed);
                }
            } },
        { "VMs that start know nobody for a while",
            [&](auto& fleet, auto elapsed) {
                if (each(elapsed, 500)) {
                    restart(fleet, static_cast<int>(elapsed.count() / 500) % vms, elapsed);
                }
                for (auto& vm : fleet) {
                    bool isNew = vm->share.fraction(start + elapsed) == 0 && elapsed > milliseconds(10'000);
                    vm->view = { .isServing = vm->view.isServing || isNew,
                        .servingVms = isNew ? 1 : 9,
                        .knownVms = isNew ? 1 : vms,
                        .isIsolated = isNew };
                    vm->view.isServing = vm->view.isServing && (isNew || vm == fleet[0]);
                }
            } },
        { "each VM is cut off from all others, and believes to serve alone",
            [&](auto& fleet, auto elapsed) {
                bool isCut = elapsed >= milliseconds(20'000);
                for (std::size_t number = 0; number < fleet.size(); ++number) {
                    fleet[number]->view = { .isServing = isCut || number < 9,
                        .servingVms = isCut ? 1 : 9,
                        .knownVms = isCut ? 1 : vms,
                        .isIsolated = isCut };
                }
            } },
        { "halves that cannot reach each other",
            [&](auto& fleet, auto elapsed) {
                bool isCut = elapsed >= milliseconds(20'000);
                for (std::size_t number = 0; number < fleet.size(); ++number) {
                    // The five and four serving VMs of a half stay; others take the places of the rest.
                    bool isServing = isCut ? number < 18 : number < 9;
                    fleet[number]->view
                        = { .isServing = isServing, .servingVms = 9, .knownVms = isCut ? vms / 2 : vms };
                }
            } },
        { "the serving set moves on by one VM every second",
            [&](auto& fleet, auto elapsed) {
                auto first = static_cast<std::size_t>(elapsed.count() / 1'000);
                for (std::size_t number = 0; number < fleet.size(); ++number) {
                    bool isServing = (number + fleet.size() * 10 - first) % fleet.size() < 9;
                    fleet[number]->view = { .isServing = isServing, .servingVms = 9, .knownVms = vms };
                }
            } },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto result = play(each.change, milliseconds(60'000));
        MESSAGE(std::string(each.name)
            << ": " << result.mostBeyondRatio << " beyond the ratio in a window, " << slack << " allowed");
        CHECK(result.mostBeyondRatio <= slack);
    }
}

TEST_CASE("In calm times most of the budget can be used")
{
    auto result = play([](auto&, auto) {}, milliseconds(60'000));
    // 36 requests a step; the first window has no slack.
    double allowed = 600 * vms * ratio + 5 * slack;
    MESSAGE(result.retries << " retries of " << allowed << " allowed");
    CHECK(result.retries >= 0.8 * allowed);
}

TEST_CASE("A VM that was away waits for a window before it uses its share")
{
    retry_slack_share share(start);
    auto now = start + window;
    share.observe({ .isServing = true, .servingVms = 4, .knownVms = 8 }, start);
    CHECK(share.fraction(now) == doctest::Approx(0.75 / 4));
    share.restart(now);
    CHECK(share.fraction(now + window - milliseconds(1)) == 0);
    CHECK(share.fraction(now + window) == doctest::Approx(0.75 / 4));
}

TEST_CASE("The number of VMs is remembered for a while after they are out of reach")
{
    retry_slack_share share(start);
    share.observe({ .isServing = true, .servingVms = 9, .knownVms = 36 }, start);
    auto soon = start + milliseconds(300'000);
    share.observe({ .isServing = true, .servingVms = 3, .knownVms = 3 }, soon);
    CHECK(share.fraction(soon) == doctest::Approx(0.75 / 9 * 3 / 36));
    for (auto later = soon; later < soon + milliseconds(1'500'000); later += milliseconds(100'000)) {
        share.observe({ .isServing = true, .servingVms = 3, .knownVms = 3 }, later);
    }
    CHECK(share.fraction(soon + milliseconds(1'500'000)) == doctest::Approx(0.75 / 3));
}

}
