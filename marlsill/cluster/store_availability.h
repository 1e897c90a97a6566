#pragma once

// Tells since when the store has been responding to the fleet about upstreams, so that a VM can tell an
// outage of the store, in which registrations lapse, from the loss of its own way to it.
//
//     store_availability availability;
//     availability.noteContact(boot_clock::now()); // The store has responded to this VM.
//     availability.noteReport(report, boot_clock::now()); // What another VM has told.
//     if (auto since = availability.availableSince(boot_clock::now()))
//         registry.noteStoreAvailable(*since);
//
// VMs report only what they have seen themselves: a report that was delivered late, to a VM that was stopped
// meanwhile, misleads that VM alone. Thread safe.

#include "marlsill/base/absence_detector.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>

namespace marlsill::cluster {

// What a VM tells others of the store's responses to it.
struct availability_report {
    std::uint64_t ageMs = 0; // Since the last response.
    std::uint64_t spanMs = 0; // From the first response to the last, without an outage between them.
};

// Settings of a store_availability.
struct availability_options {
    // Longest time without a response that is no outage: one watch of 1 s and its response. Shorter than the
    // interval of the heartbeats, several of which must be missing before a registration lapses.
    std::chrono::milliseconds maxGap { 1'400 };
    // Longest span that is reported; longer than any grace period after an outage.
    std::chrono::milliseconds maxReportedSpan { 60'000 };
};

class store_availability {
public:
    explicit store_availability(availability_options options = {})
        : m_options(options)
    {
    }

    // Records that the store has responded to this VM.
    void noteContact(boot_clock::time_point at);

    // Records the report of another VM, which was received at `now`.
    void noteReport(const availability_report& report, boot_clock::time_point now);

    // Returns what to report to other VMs; std::nullopt if the store does not respond to this VM.
    std::optional<availability_report> report(boot_clock::time_point now) const;

    // Returns the time from which on the store has responded without an outage, to this VM or to those that
    // have reported; std::nullopt if it does not respond to any of them.
    std::optional<boot_clock::time_point> availableSince(boot_clock::time_point now) const;

private:
    // A time without an outage, from one response to another.
    struct span {
        boot_clock::time_point first;
        boot_clock::time_point last;
    };

    // Returns the union of two spans if the time between them is no outage, otherwise the later one.
    span joined(const span& left, const span& right) const;
    bool isCurrent(const std::optional<span>& seen, boot_clock::time_point now) const;
    void extend(std::optional<span>& known, const span& seen) const;

    const availability_options m_options;
    mutable std::mutex m_mutex; // Guards what follows.
    std::optional<span> m_own; // Of responses to this VM.
    std::optional<span> m_seen; // Of responses to this VM or to those that have reported.
};

}
