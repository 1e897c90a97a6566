#pragma once

// Counts the repeats at upstreams against the users' rule on retries, without asking the product.
//
//     retry_budget_observer observer(retryWindow, retryRatio);
//     observer.noteRequest(now); // A caller sends one.
//     observer.noteArrival("r1", now); // Told by an upstream, also if it does not run it.
//     if (observer.mostBeyondRatio() > retrySlack)
//         ...
//
// The rule: in any window the arrivals beyond the first of each request are at most the ratio of the requests
// of that window, of the one before, or of the one half a window before, plus the slack. Thread safe.

#include "marlsill/base/time.h"

#include <cstddef>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace marlsill::testing {

class retry_budget_observer {
public:
    retry_budget_observer(steady_clock::duration window, double ratio)
        : m_window(window)
        , m_ratio(ratio)
    {
    }

    void noteRequest(steady_clock::time_point at);
    void noteArrival(const std::string& request, steady_clock::time_point at);

    // Returns the largest excess of repeats over the ratio of the requests in any window; 0 without repeats.
    double mostBeyondRatio() const;

    std::size_t repeats() const;

private:
    const steady_clock::duration m_window;
    const double m_ratio;
    mutable std::mutex m_mutex; // Guards what follows.
    std::set<std::string> m_known;
    std::vector<steady_clock::time_point> m_requests;
    std::vector<steady_clock::time_point> m_repeats;
};

}
