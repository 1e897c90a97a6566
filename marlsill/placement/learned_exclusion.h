#pragma once

// Learns from the probes of a service's upstreams how long to exclude one after its first failure.
//
//     learned_exclusion exclusion({ .initial = std::chrono::milliseconds(3'500) });
//     probeAt = now + exclusion.length();
//     exclusion.recordFirstProbe(isSuccess); // Of each exclusion.
//
// Where only at-most-once requests can probe, each failed probe is a request that its caller loses, while an
// exclusion that is longer than the failure idles a slot. The length follows the quantile of the failures'
// lengths at which a first probe fails with the probability decrease / (increase + decrease). Not thread
// safe.

#include <algorithm>
#include <chrono>

namespace marlsill::placement {

// Settings of a learned exclusion.
struct learned_exclusion_options {
    std::chrono::milliseconds initial { 3'500 };
    std::chrono::milliseconds min { 2'500 };
    std::chrono::milliseconds max { 8'000 }; // Partial failures of an upstream last about seven seconds.
    std::chrono::milliseconds increase { 600 }; // By a first probe that fails.
    std::chrono::milliseconds decrease { 50 }; // By a first probe that succeeds.
};

// See the file comment.
class learned_exclusion {
public:
    explicit learned_exclusion(learned_exclusion_options options = {})
        : m_options(options)
        , m_length(options.initial)
    {
    }

    // Returns the time from the first failure to the first probe.
    std::chrono::milliseconds length() const { return m_length; }

    // Records the result of the first probe of an exclusion, by whichever VM.
    void recordFirstProbe(bool isSuccess)
    {
        m_length = isSuccess ? std::max(m_options.min, m_length - m_options.decrease)
                             : std::min(m_options.max, m_length + m_options.increase);
    }

private:
    learned_exclusion_options m_options;
    std::chrono::milliseconds m_length;
};

}
