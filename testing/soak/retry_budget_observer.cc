#include "testing/soak/retry_budget_observer.h"

#include <algorithm>

namespace marlsill::testing {

void retry_budget_observer::noteRequest(steady_clock::time_point at)
{
    std::lock_guard lock(m_mutex);
    m_requests.push_back(at);
}

void retry_budget_observer::noteArrival(const std::string& request, steady_clock::time_point at)
{
    std::lock_guard lock(m_mutex);
    if (!m_known.insert(request).second) {
        m_repeats.push_back(at);
    }
}

double retry_budget_observer::mostBeyondRatio() const
{
    std::lock_guard lock(m_mutex);
    auto requests = m_requests;
    auto repeats = m_repeats;
    std::sort(requests.begin(), requests.end());
    std::sort(repeats.begin(), repeats.end());
    auto countIn = [&](const auto& times, steady_clock::time_point end) {
        return std::upper_bound(times.begin(), times.end(), end)
            - std::upper_bound(times.begin(), times.end(), end - m_window);
    };
    double most = 0;
    for (auto end : repeats) { // A window with the most repeats ends with one.
        auto allowing = std::max({ countIn(requests, end), countIn(requests, end - m_window / 2),
            countIn(requests, end - m_window) });
        most = std::max(
            most, static_cast<double>(countIn(repeats, end)) - m_ratio * static_cast<double>(allowing));
    }
    return most;
}

std::size_t retry_budget_observer::repeats() const
{
    std::lock_guard lock(m_mutex);
    return m_repeats.size();
}

}
