#pragma once

// A token bucket whose capacity and inflow are given with each use, as both change while it is in use.
//
//     token_bucket bucket;
//     bucket.fill(requestsPerSecond * seconds, burst);
//     int taken = bucket.take(3);
//
// Has no clock: the owner works out the inflow. Not thread safe.

#include <algorithm>
#include <cmath>

namespace marlsill::accounts {

class token_bucket {
public:
    // Adds tokens, and reduces the level to `capacity` if it is higher.
    void fill(double tokens, double capacity)
    {
        m_level = std::min(m_level + std::max(0.0, tokens), std::max(0.0, capacity));
    }

    // Takes up to `wanted` whole tokens and returns how many.
    int take(int wanted)
    {
        auto taken = std::clamp(
            static_cast<int>(std::min(std::floor(m_level + roundingError), 1e6)), 0, std::max(0, wanted));
        m_level = std::max(0.0, m_level - taken);
        return taken;
    }

    // Takes a fraction, from 0 to 1, of the level and returns it in tokens.
    double takeFraction(double fraction)
    {
        auto taken = m_level * std::clamp(fraction, 0.0, 1.0);
        m_level -= taken;
        return taken;
    }

    double level() const { return m_level; }

private:
    // Sums of many small inflows may miss a whole token by this.
    static constexpr double roundingError = 1e-9;

    double m_level = 0;
};

}
