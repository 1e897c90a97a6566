#pragma once

// Decides whether this VM's configuration is recent enough to accept keys by, so that a withdrawn key is
// refused in time also by a VM that cannot learn of the withdrawal.
//
//     configuration_freshness freshness(std::chrono::milliseconds(5'000));
//     freshness.noteApplied(callSentAt); // A response of the store to a call of then has been applied.
//     freshness.noteStated(queriedAt - age, version); // A peer's answer.
//     if (!freshness.areKeysValid(boot_clock::now()))
//         refuse();
//
// One point on the boot clock is kept: every change of the configuration that the store acknowledged before
// it is in the configuration in force. Keys are valid until the revocation bound, less a margin, after that
// point. The boot clock goes on while the process is stopped or the VM suspended, so that the first check
// after that finds the keys expired. Does no I/O. Not thread safe.

#include "marlsill/base/absence_detector.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace marlsill::accounts {

// Where the point came from.
enum class freshness_source {
    none,
    store, // A response of the store to this VM.
    peer, // A peer's answer.
};

std::string_view toText(freshness_source source);

class configuration_freshness {
public:
    using time_point = boot_clock::time_point;

    // Between the end of the keys and the revocation bound: for a request that has been checked and is being
    // sent, and for boot clocks of two VMs that run at a different pace.
    static constexpr std::chrono::milliseconds safetyMargin { 200 };

    // `revocationBound` is the longest time from the acknowledgement of a withdrawal to its effect; 0: keys
    // do not expire.
    explicit configuration_freshness(std::chrono::milliseconds revocationBound)
        : m_bound(revocationBound)
    {
    }

    bool isStrict() const { return m_bound.count() > 0; }

    // Records that the content of the store's response to a call that was sent at `point` has been applied.
    void noteApplied(time_point point);

    // Records that version `version` of the configuration holds every change that the store acknowledged
    // before `point`. Counts once the configuration in force is of at least that version.
    void noteStated(time_point point, std::uint64_t version);

    // Records the version of the configuration in force, which never goes down.
    void setVersion(std::uint64_t version);

    std::uint64_t version() const { return m_version; }

    // Returns the point; std::nullopt until there is one.
    std::optional<time_point> currentAsOf() const { return m_currentAsOf; }

    // Returns the age of the point, rounded up.
    std::optional<std::chrono::milliseconds> ageAt(time_point now) const;

    freshness_source source() const { return m_source; }

    // Returns until when keys are valid: always if this is not strict, never without a point.
    time_point validUntil() const;

    bool areKeysValid(time_point now) const { return now < validUntil(); }

private:
    // What a peer has stated of a version that is not in force here yet.
    struct pending_point {
        std::uint64_t version = 0;
        time_point point;
    };

    void advance(time_point point, freshness_source source);

    const std::chrono::milliseconds m_bound;
    std::optional<time_point> m_currentAsOf;
    freshness_source m_source = freshness_source::none;
    std::uint64_t m_version = 0;
    std::vector<pending_point> m_pending; // A later version has a later point.
};

}
