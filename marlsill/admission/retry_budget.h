#pragma once

// Limits retries to a percentage of the requests, so that retries cannot amplify an overload.
//
//     retry_budget budget(10);
//     budget.countRequest();
//     if (budget.tryTake())
//         retry();

#include <algorithm>
#include <atomic>

namespace marlsill::admission {

// A token bucket that requests fill and retries drain, counted in hundredths of a retry. Thread safe.
class retry_budget {
public:
    // Every hundred requests allow `percent` retries.
    explicit retry_budget(int percent)
        : m_percent(percent)
    {
    }

    // Changes the percentage. The balance stays as it is.
    void setPercent(int percent) { m_percent.store(percent, std::memory_order_relaxed); }

    // Adds the share of one request to the balance, up to 20 retries.
    void countRequest()
    {
        int earned = m_percent.load(std::memory_order_relaxed);
        int current = m_balance.load(std::memory_order_relaxed);
        while (!m_balance.compare_exchange_weak(current, std::min(current + earned, maxBalance))) { }
    }

    // Takes one retry from the balance. Returns whether the retry is allowed.
    bool tryTake()
    {
        int current = m_balance.load(std::memory_order_relaxed);
        while (current >= oneRetry) {
            if (m_balance.compare_exchange_weak(current, current - oneRetry)) {
                return true;
            }
        }
        return false;
    }

private:
    static constexpr int oneRetry = 100; // Hundredths.
    static constexpr int maxBalance = 20 * oneRetry;

    std::atomic<int> m_percent;
    std::atomic<int> m_balance = 5 * oneRetry; // Hundredths of a retry; a new budget allows five.
};

}
