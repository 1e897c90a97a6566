#pragma once

// Bounds the arrivals at a service beyond the first of each request, over a sliding window.
//
//     windowed_retry_budget budget({ .ratio = 0.2, .slack = 4 });
//     budget.countRequest(now);
//     if (budget.tryAcquire(now))
//         sendOnceMore();
//
// All VMs together must stay within ratio x requests + the fleet's slack. Each VM may use the ratio of its
// own requests and its share of the slack, so that no agreement is needed. Not thread safe.

#include "marlsill/base/time.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace marlsill::placement {

// Bounds of one VM.
struct windowed_retry_budget_options {
    std::chrono::milliseconds window { 10'000 };
    double ratio = 0.2; // Extra arrivals per request.
    double slack = 1; // Extra arrivals per window beside the ratio: this VM's share of the fleet's.
};

// See the file comment.
class windowed_retry_budget {
public:
    explicit windowed_retry_budget(windowed_retry_budget_options options)
        : m_options(options)
    {
    }

    // Changes the bounds; what has been counted stays.
    void setOptions(windowed_retry_budget_options options) { m_options = options; }

    // Counts the first arrival of a request.
    void countRequest(steady_clock::time_point now) { ++slotAt(now).requests; }

    // Returns whether the window has room for one extra arrival beside the share `reserved` of its bound.
    bool canAcquire(steady_clock::time_point now, double reserved = 0) const
    {
        auto oldest = indexAt(now) - static_cast<std::int64_t>(slotsPerWindow);
        double requests = 0;
        double taken = 0;
        for (const auto& each : m_slots) {
            if (each.index > oldest) {
                requests += each.requests;
                taken += each.taken;
            }
        }
        return taken + 1 <= (1 - reserved) * (m_options.ratio * requests + m_options.slack);
    }

    // Takes one extra arrival if canAcquire().
    bool tryAcquire(steady_clock::time_point now, double reserved = 0)
    {
        if (!canAcquire(now, reserved)) {
            return false;
        }
        ++slotAt(now).taken;
        return true;
    }

private:
    static constexpr std::size_t slotsPerWindow = 10;

    struct slot {
        std::int64_t index = -1;
        int requests = 0;
        int taken = 0;
    };

    std::int64_t indexAt(steady_clock::time_point now) const
    {
        auto length = m_options.window / static_cast<int>(slotsPerWindow);
        return now.time_since_epoch() / std::chrono::duration_cast<steady_clock::duration>(length);
    }

    slot& slotAt(steady_clock::time_point now)
    {
        auto index = indexAt(now);
        auto& found = m_slots[static_cast<std::size_t>(index) % m_slots.size()];
        if (found.index != index) {
            found = { index };
        }
        return found;
    }

    windowed_retry_budget_options m_options;
    std::array<slot, slotsPerWindow + 1> m_slots;
};

}
