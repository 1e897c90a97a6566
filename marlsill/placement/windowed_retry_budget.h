#pragma once

// Retry budget over a sliding window: limits the attempts beyond the first of each request to a service.
//
//     windowed_retry_budget budget({ .ratio = 0.2, .slack = 4 });
//     budget.countRequest(now);
//     if (budget.tryAcquire(now))
//         sendAgain();
//
// Covers retries and hedges alike; the retry of an attempt that sent nothing needs no budget. All VMs
// together must stay within ratio x requests + the fleet's slack. Each VM may use the ratio of its own
// requests plus its share of the slack (see retry_slack_share), so no coordination is needed. Not thread
// safe.

#include "marlsill/base/time.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace marlsill::placement {

// Limits of one VM.
struct windowed_retry_budget_options {
    std::chrono::milliseconds window { 10'000 };
    double ratio = 0.2; // Extra attempts per request.
    double slack = 1; // Extra attempts per window on top of the ratio; this VM's share of the fleet's.
};

// See the file comment.
class windowed_retry_budget {
public:
    explicit windowed_retry_budget(windowed_retry_budget_options options)
        : m_options(options)
    {
    }

    // Changes the limits; keeps the counts.
    void setOptions(windowed_retry_budget_options options) { m_options = options; }

    // Counts a request, i.e. its first attempt.
    void countRequest(steady_clock::time_point now) { ++bucketAt(now).requests; }

    // Returns whether one extra attempt fits the window; the share `reserved` (0 to 1) of the limit is kept
    // free.
    bool canAcquire(steady_clock::time_point now, double reserved = 0) const
    {
        // The window begins within a bucket. Extra attempts are counted from the begin of that bucket and
        // requests from its end, so that no window exceeds the limit wherever it begins.
        auto first = indexAt(now) - static_cast<std::int64_t>(bucketsPerWindow);
        double requests = 0;
        double extraAttempts = 0;
        for (const auto& each : m_buckets) {
            requests += each.index > first ? each.requests : 0;
            extraAttempts += each.index >= first ? each.extraAttempts : 0;
        }
        return extraAttempts + 1 <= (1 - reserved) * (m_options.ratio * requests + m_options.slack);
    }

    // Counts one extra attempt and returns true if canAcquire().
    bool tryAcquire(steady_clock::time_point now, double reserved = 0)
    {
        if (!canAcquire(now, reserved)) {
            return false;
        }
        ++bucketAt(now).extraAttempts;
        return true;
    }

private:
    static constexpr std::size_t bucketsPerWindow = 10;

    struct bucket {
        std::int64_t index = -1;
        int requests = 0;
        int extraAttempts = 0;
    };

    std::int64_t indexAt(steady_clock::time_point now) const
    {
        auto length = m_options.window / static_cast<int>(bucketsPerWindow);
        return now.time_since_epoch() / std::chrono::duration_cast<steady_clock::duration>(length);
    }

    bucket& bucketAt(steady_clock::time_point now)
    {
        auto index = indexAt(now);
        auto& found = m_buckets[static_cast<std::size_t>(index) % m_buckets.size()];
        if (found.index != index) {
            found = { index };
        }
        return found;
    }

    windowed_retry_budget_options m_options;
    std::array<bucket, bucketsPerWindow + 1> m_buckets;
};

}
