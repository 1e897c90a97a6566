#pragma once

// Estimates the share of a service's recent requests that failed, on all VMs that share its upstreams.
//
//     loss_monitor losses;
//     losses.recordOutcome(isServed, now); // Of this VM's requests.
//     losses.recordPeerLoss(now); // A failure that a peer reported.
//     losses.recordLoad(inFlight, latencyMs, now); // Of all VMs together.
//     if (losses.share(sharingVms, now) > 0.1)
//         ...
//
// The total is estimated, because peers report failures but not successes: from this VM's own requests, and
// from the requests in flight of all VMs, whose number is their rate times their latency (Little's law). The
// larger estimate counts. A VM that gets far fewer requests than its peers would take a loss of 5 % for one
// of 30 % by its own requests alone. Not thread safe.

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

    // Records how many requests of all VMs are in flight, and how long they take, in milliseconds.
    void recordLoad(int inFlight, double latencyMs, steady_clock::time_point now)
    {
        if (latencyMs <= 0) {
            return;
        }
        auto sample = inFlight * std::chrono::duration<double, std::milli>(lossWindow).count() / latencyMs;
        auto elapsed = std::chrono::duration<double>(now - m_loadAt);
        m_fleetOutcomes += (sample - m_fleetOutcomes)
            * std::min(1.0, elapsed / std::chrono::duration<double>(lossWindow));
        m_loadAt = now;
    }

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
        return lost / std::max({ double { minOutcomes }, ownOutcomes * sharingVms, m_fleetOutcomes });
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
    double m_fleetOutcomes = 0; // Requests of all VMs in a window, averaged over about a window.
    steady_clock::time_point m_loadAt {};
};

}
