#include "testing/rate_limit_fleet.h"

#include "platform/decode.h"
#include "platform/platform_fields.h"
#include "platform/testing/store_objects.h"
#include "testing/raw_caller.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>
#include <iostream>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    using platform_adapter::platformFields;
    using std::chrono::milliseconds;

    constexpr const char* service = "s";
    constexpr milliseconds workTime { 50 };
    constexpr milliseconds startLimit { 10'000 };
    constexpr int callTimeoutMs = 1'000;
    constexpr std::size_t callerThreads = 10;
    constexpr std::size_t plannedSteps = 2'000; // More than requests arrive.

}

rate_limit_fleet::rate_limit_fleet(int entries, int upstreams)
    : m_folder(std::filesystem::temp_directory_path()
        / ("marlsill-limit-" + std::to_string(::getpid()) + "-"
            + std::to_string(steady_clock::now().time_since_epoch().count())))
{
    std::filesystem::create_directories(m_folder);
    m_store.put(platform_adapter::configurationKind, platform_adapter::configurationName,
        platform_adapter::configurationObject(1, "h.example", service, { { "repeat", "/repeat/" } }));
    for (int index = 0; index < upstreams; ++index) {
        auto id = "u" + std::to_string(index);
        m_upstreams.push_back(std::make_unique<scripted_upstream>(id, platformFields()));
        m_upstreams.back()->setWorkTime(workTime);
        m_store.put(platform_adapter::upstreamKind, id,
            platform_adapter::upstreamObject(service, m_upstreams.back()->address(), "ready"));
    }
    m_entries = startFleet(entries, MARLSILL_ENTRY_PROGRAM, m_folder.string(), m_store.address());
    for (const auto& each : m_entries) {
        REQUIRE(each->isRunning());
    }
    auto until = deadlineAfter(startLimit);
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        auto served = [this] { return calls().served; };
        int before = served();
        while (served() == before && !hasPassed(until, steady_clock::now())) {
            call(entry);
            std::this_thread::sleep_for(milliseconds(20));
        }
        if (served() == before) {
            reportNotServing(*m_entries[entry]);
        }
        REQUIRE(served() > before);
    }
    m_calls = {};
}

rate_limit_fleet::~rate_limit_fleet()
{
    m_entries.clear();
    if (std::getenv("MARLSILL_KEEP_LOGS") != nullptr) {
        std::cout << "logs: " << m_folder.string() << '\n';
    } else {
        std::filesystem::remove_all(m_folder);
    }
}

void rate_limit_fleet::setLimits(double requestsPerSecond, int count)
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(count); ++index) {
        m_upstreams[index]->setRateLimit(requestsPerSecond);
    }
}

void rate_limit_fleet::setFailures(bool isFailing, std::size_t first)
{
    for (auto index = first; isFailing && index < m_upstreams.size(); ++index) {
        std::vector<upstream_step> steps;
        for (std::size_t step = 0; step < plannedSteps; ++step) {
            steps.push_back(step % 2 == 0 ? upstream_step::answer : upstream_step::error);
        }
        m_upstreams[index]->plan(std::move(steps));
    }
}

std::unique_ptr<std::vector<std::jthread>> rate_limit_fleet::startCallers(int callsPerSecond)
{
    auto threads = std::make_unique<std::vector<std::jthread>>();
    auto interval = milliseconds(1'000) * callerThreads / static_cast<std::size_t>(callsPerSecond);
    for (std::size_t caller = 0; caller < callerThreads; ++caller) {
        threads->emplace_back([this, caller, interval](const std::stop_token& stop) {
            auto next = steady_clock::now() + interval * caller / callerThreads;
            for (std::size_t turn = caller; !stop.stop_requested(); turn += callerThreads + 1) {
                std::this_thread::sleep_until(next);
                next += interval;
                call(turn % m_entries.size());
            }
        });
    }
    return threads;
}

void rate_limit_fleet::call(std::size_t entry)
{
    raw_answer answer;
    auto sentAt = steady_clock::now();
    try {
        raw_caller caller(m_entries[entry]->callerAddress(), platformFields());
        auto id = std::to_string(++m_requests);
        caller.sendRequest("GET", "/repeat/" + id, "r" + id, callTimeoutMs);
        answer = caller.receive();
    } catch (const Poco::Exception&) {
        answer.status = 0;
    }
    auto elapsed = std::chrono::duration_cast<milliseconds>(steady_clock::now() - sentAt);
    std::lock_guard lock(m_mutex);
    ++m_calls.sent;
    m_calls.served += answer.status == 200 ? 1 : 0;
    if (answer.status == 503) {
        ++m_calls.refused;
        m_calls.refusedWithoutRetryAfter += answer.field("Retry-After").empty() ? 1 : 0;
        m_calls.slowestRefusal = std::max(m_calls.slowestRefusal, elapsed);
    }
}

limit_usage rate_limit_fleet::usageOf(int upstream, steady_clock::time_point since, double limit) const
{
    auto arrivals = m_upstreams[static_cast<std::size_t>(upstream)]->arrivalTimes();
    std::erase_if(arrivals, [&](auto at) { return at < since; });
    limit_usage found;
    auto seconds = std::chrono::duration<double>(limitWindow).count();
    found.allowedInWindow = static_cast<int>(limitExcessFactor * limit * seconds) + limitExcessRequests;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        auto end = std::upper_bound(first, arrivals.end(), *first + limitWindow);
        found.mostInWindow = std::max(found.mostInWindow, static_cast<int>(end - first));
    }
    auto lasted = std::chrono::duration<double>(steady_clock::now() - since).count();
    found.sharePercent = static_cast<int>(100.0 * static_cast<double>(arrivals.size()) / (limit * lasted));
    return found;
}

int rate_limit_fleet::arrivalsSince(int upstream, steady_clock::time_point since) const
{
    auto arrivals = m_upstreams[static_cast<std::size_t>(upstream)]->arrivalTimes();
    return static_cast<int>(
        std::count_if(arrivals.begin(), arrivals.end(), [&](auto at) { return at >= since; }));
}

call_totals rate_limit_fleet::calls() const
{
    std::lock_guard lock(m_mutex);
    return m_calls;
}

}
