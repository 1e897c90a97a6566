#include "testing/soak/promise_checker.h"

#include <algorithm>

namespace marlsill::testing {

namespace {

    constexpr std::size_t maxRunsOfRepeatable = 2; // The attempts of the soak's route.
    constexpr int servedStatus = 200;
    constexpr int refusedStatus = 503;
    // The users' rule on upstreams that turn requests away.
    constexpr std::chrono::milliseconds turnAwaySettleTime { 500 };
    constexpr int maxArrivalsWhileTurningAway = 2;

}

void promise_checker::noteSent(const std::string& request, bool isAtMostOnce)
{
    std::lock_guard lock(m_mutex);
    m_requests[request].isAtMostOnce = isAtMostOnce;
}

void promise_checker::noteRun(
    const std::string& request, const std::string& upstream, steady_clock::time_point at)
{
    std::lock_guard lock(m_mutex);
    m_requests[request].runs.push_back({ upstream, at });
    auto leaving = m_leaving.find(upstream);
    if (leaving != m_leaving.end() && at > leaving->second) {
        auto late = std::chrono::duration_cast<std::chrono::milliseconds>(at - leaving->second).count();
        m_broken.push_back("drain: " + request + " reached " + upstream + " " + std::to_string(late)
            + " ms after the bound");
    }
}

void promise_checker::noteAnswer(const std::string& request, const seen_answer& answer)
{
    std::lock_guard lock(m_mutex);
    m_requests[request].answers.push_back(answer);
}

void promise_checker::noteLeaving(const std::string& upstream, steady_clock::time_point bound)
{
    std::lock_guard lock(m_mutex);
    m_leaving[upstream] = bound;
}

void promise_checker::forgetLeaving(const std::string& upstream)
{
    std::lock_guard lock(m_mutex);
    m_leaving.erase(upstream);
}

void promise_checker::noteConfiguration(const std::string& process, int version,
    steady_clock::time_point sentAt, steady_clock::time_point answeredAt)
{
    std::lock_guard lock(m_mutex);
    auto& known = m_versions[process];
    if (version < known.highest && sentAt > known.at) {
        m_broken.push_back("configuration back: " + process + " answered by " + std::to_string(version)
            + " after " + std::to_string(known.highest));
    }
    if (version > known.highest) {
        known = { version, answeredAt };
    }
}

void promise_checker::noteUnanswered(const std::string& request, const std::string& process)
{
    std::lock_guard lock(m_mutex);
    m_requests[request].unansweredBy = process;
}

void promise_checker::notePlannedStop(const std::string& process)
{
    std::lock_guard lock(m_mutex);
    m_plannedStops.insert(process);
}

void promise_checker::noteDisturbed(const std::string& process)
{
    std::lock_guard lock(m_mutex);
    m_disturbed.insert(process);
}

void promise_checker::noteCarrier(const std::string& request, const std::string& process)
{
    std::lock_guard lock(m_mutex);
    m_carriers[request] = process;
}

void promise_checker::noteArrival(
    const std::string& request, const std::string& upstream, steady_clock::time_point at)
{
    std::lock_guard lock(m_mutex);
    const auto& process = m_carriers[request];
    auto found = m_turnAways.find({ upstream, process });
    if (found == m_turnAways.end()) {
        return;
    }
    std::erase_if(found->second, [&](const auto& window) { return at >= window.until; });
    bool isBroken = false;
    for (auto& window : found->second) {
        window.arrivals += at >= window.from ? 1 : 0;
        isBroken = isBroken || window.arrivals > maxArrivalsWhileTurningAway;
    }
    if (isBroken) {
        m_broken.push_back("turned away: " + request + " reached " + upstream + " from " + process
            + " within the time that it had named");
        m_turnAways.erase(found); // One line for each breach.
    }
}

void promise_checker::noteTurnedAway(const std::string& request, const std::string& upstream,
    steady_clock::time_point at, steady_clock::time_point until)
{
    std::lock_guard lock(m_mutex);
    const auto& process = m_carriers[request];
    bool isExcused = m_turnAwaysExcused[upstream] > at || m_turnAwaysExcused[process] > at;
    if (!process.empty() && !isExcused) {
        ++m_turnAwaysWatched;
        m_turnAways[{ upstream, process }].push_back({ at + turnAwaySettleTime, until });
    }
}

void promise_checker::excuseTurnAways(const std::string& upstreamOrProcess, steady_clock::time_point until)
{
    std::lock_guard lock(m_mutex);
    m_turnAwaysExcused[upstreamOrProcess] = until;
    std::erase_if(m_turnAways, [&](const auto& each) {
        return each.first.first == upstreamOrProcess || each.first.second == upstreamOrProcess;
    });
}

int promise_checker::turnAwaysWatched() const
{
    std::lock_guard lock(m_mutex);
    return m_turnAwaysWatched;
}

void promise_checker::noteBroken(std::string what)
{
    std::lock_guard lock(m_mutex);
    m_broken.push_back(std::move(what));
}

std::vector<std::string> promise_checker::broken() const
{
    std::lock_guard lock(m_mutex);
    auto broken = m_broken;
    for (const auto& [id, request] : m_requests) {
        auto maxRuns = request.isAtMostOnce ? 1 : maxRunsOfRepeatable;
        if (request.runs.size() > maxRuns) {
            broken.push_back("ran too often: " + id + " " + std::to_string(request.runs.size()) + " times");
        }
        if (request.answers.size() > 1) {
            broken.push_back("answered twice: " + id);
        }
        bool isExcused
            = !m_plannedStops.contains(request.unansweredBy) || m_disturbed.contains(request.unansweredBy);
        if (!request.unansweredBy.empty() && !isExcused && !request.runs.empty()) {
            broken.push_back("lost at a planned stop: " + id + " of " + request.unansweredBy);
        }
        for (const auto& answer : request.answers) {
            if (answer.status == refusedStatus && !request.runs.empty()) {
                broken.push_back("false refusal: " + id + " ran on " + request.runs.front().upstream);
            }
            if (!answer.isWhole) {
                broken.push_back("truncated answer: " + id);
            }
            bool isForeign = answer.status != 0 && !answer.request.empty() && answer.request != id;
            bool isWrong = answer.status == servedStatus
                && (!answer.isExpectedBody || answer.seal != "seal-" + id || answer.request != id);
            if (isForeign || isWrong) {
                broken.push_back("not its own answer: " + id);
            }
        }
    }
    return broken;
}

int promise_checker::answered(int status) const
{
    std::lock_guard lock(m_mutex);
    return static_cast<int>(std::count_if(m_requests.begin(), m_requests.end(), [&](const auto& each) {
        return !each.second.answers.empty() && each.second.answers.front().status == status;
    }));
}

int promise_checker::sent() const
{
    std::lock_guard lock(m_mutex);
    return static_cast<int>(m_requests.size());
}

}
