#pragma once

// Tracks the upstreams that are registered in the store, and retains them during its outages.
//
//     upstream_registry registry(options);
//     registry.replaceAll(listed, now);
//     registry.noteStoreLost(now);
//     auto current = registry.current();
//
// Registrations lapse in an outage of the store, although their upstreams are alive, and are renewed soon
// after it returns. An entry that goes missing during an outage, or in the grace period after it, is
// therefore kept as unconfirmed until the grace period ends. That starts when the store responds again, to
// this VM or to others: it is no outage if only this VM has lost its way to the store. An upstream that was
// seen leaving remains leaving until it restarts. Not thread safe.

#include "marlsill/placement/upstream_entry.h"

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace marlsill::store {

// Settings of a registry.
struct registry_options {
    // Starts at the end of an outage; lapsed registrations are renewed within about 2 s.
    std::chrono::milliseconds reregistrationGracePeriod { 2'300 };
    // A registration lapses after several heartbeats; while the store was away for less, none did. Longer
    // than a watch that was cut off takes to be repeated.
    std::chrono::milliseconds minOutage { 1'000 };
};

class upstream_registry {
public:
    explicit upstream_registry(registry_options options = {})
        : m_options(options)
    {
    }

    // Merges a complete list, which the store has returned after all that is known here: takes over its
    // entries, whatever their versions, and removes those it lacks. Returns whether anything changed.
    bool replaceAll(std::span<const placement::upstream_entry> listed, steady_clock::time_point now);

    // Adds, updates or removes one registration after a change in the store; put() ignores versions below
    // that of a registered entry. Returns whether anything changed; remove() returns false if it keeps the
    // entry as unconfirmed.
    bool put(const placement::upstream_entry& entry);
    bool remove(const std::string& id, steady_clock::time_point now);

    // Replaces all entries, marks none as unconfirmed, and forgets any outage. Used when this VM starts to
    // watch the store, with the upstreams that it has learned from other VMs.
    void reinitialize(std::span<const placement::upstream_entry> known);

    // Records that the store is unavailable since a moment, or available again. Less than `minOutage` between
    // them is no outage.
    void noteStoreLost(steady_clock::time_point since);
    void noteStoreRegained(steady_clock::time_point now);

    // Records that the store has been responding to some VM since a moment, without an outage. An outage that
    // this VM has seen ended then at the latest.
    void noteStoreAvailable(steady_clock::time_point since);

    // Records that the store has come back from a copy, which may lack registrations; they are renewed as
    // after an outage.
    void noteStoreRestored(steady_clock::time_point now);

    // Removes the missing entries if the grace period has ended. Returns whether there were any.
    bool expire(steady_clock::time_point now);

    // Returns when expire() is due; std::nullopt if no entry is missing or the store is unavailable.
    std::optional<deadline> nextExpiry() const;

    // Returns the entries, of which the missing ones are marked unconfirmed.
    std::vector<placement::upstream_entry> current() const;

private:
    struct entry {
        placement::upstream_entry registered;
        bool isMissing = false; // No longer in the store; kept because of an outage.
    };

    // Takes over a registration. Returns whether anything changed.
    bool update(entry& known, const placement::upstream_entry& next);

    // Returns when the grace period ends; std::nullopt if there was no outage or restoration.
    std::optional<deadline> gracePeriodEnd() const;

    // Returns whether the store is unavailable or the grace period after an outage has not ended.
    bool isOutageRecent(steady_clock::time_point now) const;

    const registry_options m_options;
    std::map<std::string, entry> m_entries;
    std::optional<steady_clock::time_point> m_lostAt; // While the store is unavailable.
    std::optional<steady_clock::time_point> m_regainedAt; // End of the last outage.
    std::optional<steady_clock::time_point> m_restoredAt; // When the store last came back from a copy.
};

}
