#pragma once

// The upstreams that are registered in the store, as far as they are to be believed.
//
//     upstream_registry registry(options);
//     registry.replaceAll(listed, now);
//     registry.noteStoreLost(now);
//     auto current = registry.current(now);
//
// Registrations lapse while the store is away, though their upstreams live, and come back soon after it does.
// An entry that goes missing around an outage therefore stays in use until the store has been back for a
// while. An upstream that was seen leaving stays leaving. Not thread safe.

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
    std::chrono::milliseconds returnLimit { 2'300 }; // Lapsed registrations are back within about 2 s.
};

class upstream_registry {
public:
    explicit upstream_registry(registry_options options = {})
        : m_options(options)
    {
    }

    // Takes a whole list. Returns whether anything changed.
    bool replaceAll(std::span<const placement::upstream_entry> listed, steady_clock::time_point now);

    // Takes one registration, or the end of one.
    bool put(const placement::upstream_entry& entry);
    bool remove(const std::string& id, steady_clock::time_point now);

    // Starts again from what is known otherwise, as after a time without reading the store.
    void reinitialize(std::span<const placement::upstream_entry> known);

    // Tells that the store does not answer, or answers again.
    void noteStoreLost(steady_clock::time_point now);
    void noteStoreRegained(steady_clock::time_point now);

    // Drops missing entries whose time is over. Returns whether there were any.
    bool expire(steady_clock::time_point now);

    // Returns when expire() has something to do, if ever.
    std::optional<deadline> nextExpiry() const;

    // Returns the upstreams to believe in.
    std::vector<placement::upstream_entry> current() const;

private:
    struct entry {
        placement::upstream_entry registered;
        bool isMissing = false;
    };

    bool isUnsettled(steady_clock::time_point now) const;

    const registry_options m_options;
    std::map<std::string, entry> m_entries;
    bool m_isStoreLost = false;
    std::optional<steady_clock::time_point> m_regainedAt;
};

}
