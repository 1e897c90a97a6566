#pragma once

// One VM's share of the retries that a service's fleet may make beyond a ratio of its requests.
//
//     retry_slack_share share;
//     share.observe({ .isServing = true, .servingVms = 9, .knownVms = 36 }, now);
//     auto slack = fleetSlack * share.fraction(now);
//
// The shares that VMs use within any window must add up to at most the whole without agreement: while VMs
// start and die, are cut off from each other, and enter and leave the serving set. So a share
// - is unused for one window after this VM starts or enters the serving set: a VM that was there before, such
//   as its own earlier process, may have used it in that window;
// - is divided by the largest number of VMs known within a long time: VMs that are out of reach may live and
//   use theirs. Each side of a partition forms a whole serving set, so all shares shrink with the part of the
//   fleet that is in reach;
// - is unused while this VM knows no other, though there are some to know.
// Retries within the ratio of this VM's own requests need no share. Not thread safe.

#include "marlsill/base/time.h"

#include <algorithm>
#include <chrono>

namespace marlsill::placement {

// Settings of a share.
struct retry_slack_share_options {
    std::chrono::milliseconds window { 10'000 }; // Of the retry budget.
    // How long numbers of VMs are remembered: longer than outages and partitions that are waited for.
    std::chrono::milliseconds memory { 600'000 };
    double servingFraction = 0.75; // Of the whole, divided among the VMs that serve the service.
    // Divided among all VMs, for callers with stale directory data that use one outside the serving set.
    double outsideFraction = 0.15;
};

// What a VM knows of the VMs that serve a service.
struct serving_view {
    bool isServing = true; // Whether this VM is one of them.
    int servingVms = 1;
    int knownVms = 1; // In the fleet, this VM included.
    bool isIsolated = false; // This VM knows no other, though it knows where to look for some.
};

// The largest number of the last while: of one to two spans, to be kept in constant space.
class recent_maximum {
public:
    // Records a number, which is forgotten after `span` at the earliest.
    void record(int value, std::chrono::milliseconds span, steady_clock::time_point now)
    {
        if (hasPassed(m_spanEnd, now)) {
            m_earlier = hasPassed(m_spanEnd + span, now) ? 0 : m_current;
            m_current = 0;
            m_spanEnd = now + span;
        }
        m_current = std::max(m_current, value);
    }

    int value() const { return std::max(m_earlier, m_current); }

private:
    int m_earlier = 0;
    int m_current = 0;
    deadline m_spanEnd {};
};

// See the file comment.
class retry_slack_share {
public:
    explicit retry_slack_share(steady_clock::time_point now, retry_slack_share_options options = {})
        : m_options(options)
        , m_usableFrom(now + options.window)
    {
    }

    // Records what this VM knows now.
    void observe(const serving_view& view, steady_clock::time_point now)
    {
        if (view.isServing && !m_view.isServing) {
            m_servingShareFrom = now + m_options.window;
        }
        m_view = view;
        m_servingVms.record(view.servingVms, m_options.memory, now);
        m_knownVms.record(view.knownVms, m_options.memory, now);
    }

    // Must be called when this VM has not run for a while: others may have taken its place.
    void restart(steady_clock::time_point now) { m_usableFrom = now + m_options.window; }

    // Returns the share, from 0 to 1.
    double fraction(steady_clock::time_point now) const
    {
        if (m_view.isIsolated || !hasPassed(m_usableFrom, now)) {
            return 0;
        }
        if (m_view.isServing && hasPassed(m_servingShareFrom, now)) {
            auto inReach = static_cast<double>(m_view.knownVms) / std::max(1, m_knownVms.value());
            return inReach * m_options.servingFraction / std::max(1, m_servingVms.value());
        }
        return m_options.outsideFraction / std::max(1, m_knownVms.value());
    }

private:
    const retry_slack_share_options m_options;
    deadline m_usableFrom;
    deadline m_servingShareFrom {};
    serving_view m_view { .isServing = false };
    recent_maximum m_servingVms;
    recent_maximum m_knownVms;
};

}
