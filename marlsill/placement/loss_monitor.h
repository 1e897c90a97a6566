#pragma once

// Estimates the share of a service's recent requests that failed, on all VMs that share its upstreams.
//
//     loss_monitor losses;
//     losses.recordOutcome(isServed, now); // Of this VM's requests.
//     losses.recordPeerLoss(now); // A failure that a peer reported.
//     if (losses.share(sharingVms, now) > 0.1)
//         ...
//
// The total is extrapolated from this VM's own requests, because peers report failures but not successes.
// Not thread safe.

#include "marlsill/base/time.h"

#include <algorithm>
#include <chrono>
#include <deque>

namespace marlsill::placement {

// See the file comment.
class loss_monitor {
public:
    // Records whether a request of this VM succeeded.
    void recordOutcome(bool isServed, steady_clock::time_point now)
    {
        m_outcomes.push_back({ now, isServed, false });
        while (m_outcomes.front().at + rateWindow < now) {
            m_outcomes.pop_front();
        }
    }

    // Records a lost request of another VM.
    void recordPeerLoss(steady_clock::time_point now) { m_outcomes.push_back({ now, false, true }); }

    // Returns the share of lost requests, of which `sharingVms` VMs send as many as this one.
    double share(int sharingVms, steady_clock::time_point now) const
    {
        double lost = 0;
        double own = 0;
        auto first = now - lossWindow;
        for (const auto& each : m_outcomes) {
            lost += !each.isServed && each.at + lossWindow >= now ? 1 : 0;
            own += each.isFromPeer ? 0 : 1;
            first = std::min(first, each.at);
        }
        auto ownOutcomes
            = own * std::chrono::duration<double>(lossWindow) / std::chrono::duration<double>(now - first);
        return lost / std::max<double>(minOutcomes, ownOutcomes * sharingVms);
    }

private:
    struct outcome {
        steady_clock::time_point at;
        bool isServed = false;
        bool isFromPeer = false;
    };

    static constexpr std::chrono::milliseconds lossWindow {
        2'000
    }; // Equals the window of the capacity floor.
    // Own request rate; longer than `lossWindow`, because one VM alone sees only a few requests per second.
    static constexpr std::chrono::milliseconds rateWindow { 10'000 };
    static constexpr int minOutcomes = 8; // Smallest denominator of the share.

    std::deque<outcome> m_outcomes;
};

}
