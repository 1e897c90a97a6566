#pragma once

// Agrees on ejections among all entry VMs without going below the capacity floor, by conditional updates of a
// platform object that the VMs share.
//
//     ejection_agreement agreement(platform, { .clockSkew = skew });
//     auto outcome = agreement.propose(proposal, limit);
//     if (outcome.status == proposal_status::agreed)
//         announce(outcome.entries);
//
// Any VM may propose at any time; no coordinator is needed to keep the floor. The rules, which
// spec/ejection.pml checks:
// E1: An entry stays in the object until its deadline has passed on every VM's clock, so that an ejection is
//     counted as long as any VM may enforce it.
// E2: An entry is added only by a conditional update, after the floor was checked against all entries.
// E3: A VM enforces an ejection only as long as the entry's deadline has not passed on any VM's clock.

#include "marlsill/ejection/capacity_floor.h"
#include "marlsill/ejection/ejection_object.h"
#include "marlsill/platform/object_store.h"

#include <algorithm>
#include <string>
#include <vector>

namespace marlsill::ejection {

// A request to eject one upstream.
struct ejection_proposal {
    std::string service;
    std::string upstream;
    std::chrono::milliseconds duration {};
    std::string evidence; // Why the upstream should be ejected, for operators.
    capacity_view capacity; // The service's capacity, as the proposing VM sees it.
};

// The result of a proposal.
enum class proposal_status {
    agreed, // The entry is in the object.
    belowFloor, // The ejection would take the healthy capacity below the floor.
    notAgreed, // Reading or updating the object failed, or concurrent updates won; permits no ejection.
};

// The outcome of a proposal. `entries` holds the object's unexpired entries where they are known, including
// the new one if it was agreed. `text` says why the proposal was not agreed.
struct proposal_outcome {
    proposal_status status = proposal_status::notAgreed;
    std::vector<ejection_entry> entries;
    int healthySlotsLeft = 0;
    std::string text;
};

// Options of an agreement.
struct agreement_options {
    std::chrono::milliseconds clockSkew { 500 }; // The largest difference between two VMs' clocks.
    int maxAttempts = 3; // How often an update is tried when other VMs update the same object.
};

// Returns the entries that have not expired at `now` on every VM's clock; some VM may still enforce them.
inline std::vector<ejection_entry> unexpiredEntries(
    std::vector<ejection_entry> entries, wall_deadline now, std::chrono::milliseconds clockSkew)
{
    std::erase_if(entries, [&](const auto& entry) { return entry.until + clockSkew <= now; });
    return entries;
}

// Returns the upstreams of `service` that the entries eject.
inline upstream_name_set ejectedUpstreams(
    const std::vector<ejection_entry>& entries, std::string_view service)
{
    upstream_name_set names;
    for (const auto& each : entries) {
        if (each.service == service) {
            names.insert(each.upstream);
        }
    }
    return names;
}

// Proposes and reads ejections through an object store. Thread safe if the store is.
template <platform::object_store Store> class ejection_agreement {
public:
    ejection_agreement(Store& store, agreement_options options)
        : m_store(store)
        , m_options(options)
    {
    }

    // Tries to agree on an ejection that begins at `now` on this VM's clock. An upstream that already has an
    // entry gets the later of the two deadlines. Blocks until `limit` at most.
    proposal_outcome propose(const ejection_proposal& proposal, wall_deadline now, deadline limit)
    {
        proposal_outcome outcome;
        for (int attempt = 0; attempt < m_options.maxAttempts; ++attempt) {
            if (tryPropose(proposal, now, limit, outcome)) {
                return outcome;
            }
        }
        return outcome;
    }

    // Reads the unexpired entries of the object that holds the ejections of `service`; it may hold entries of
    // other services, too. Returns std::nullopt and sets `why` if the object cannot be read or parsed.
    std::optional<std::vector<ejection_entry>> readEntries(
        std::string_view service, wall_deadline now, deadline limit, reason& why)
    {
        auto stored = m_store.read(ejectionObjectOf(service), limit, why);
        if (!stored) {
            return why.code == reason_code::notFound ? std::optional(std::vector<ejection_entry>())
                                                     : std::nullopt;
        }
        auto entries = parseEjections(stored->value, why);
        return entries ? std::optional(unexpiredEntries(std::move(*entries), now, m_options.clockSkew))
                       : std::nullopt;
    }

private:
    // Makes one attempt. Returns whether the outcome is final; otherwise another attempt may succeed.
    bool tryPropose(
        const ejection_proposal& proposal, wall_deadline now, deadline limit, proposal_outcome& outcome)
    {
        reason why;
        auto name = ejectionObjectOf(proposal.service);
        auto stored = m_store.read(name, limit, why);
        std::optional<std::vector<ejection_entry>> entries;
        if (stored) {
            entries = parseEjections(stored->value, why);
        } else if (why.code == reason_code::notFound) {
            entries.emplace();
        }
        if (!entries) {
            outcome.text = why.text;
            return true;
        }
        outcome.entries = unexpiredEntries(std::move(*entries), now, m_options.clockSkew);
        auto ejected = ejectedUpstreams(outcome.entries, proposal.service);
        ejected.insert(proposal.upstream);
        outcome.healthySlotsLeft = healthySlots(proposal.capacity, ejected);
        if (outcome.healthySlotsLeft < proposal.capacity.floorSlots) {
            outcome.status = proposal_status::belowFloor;
            outcome.text = "healthy slots left " + std::to_string(outcome.healthySlotsLeft) + ", floor "
                + std::to_string(proposal.capacity.floorSlots);
            return true;
        }
        addOrExtend(outcome, proposal, now);
        auto version = stored ? stored->version : platform::noVersion;
        if (m_store.write(name, formatEjections(outcome.entries), version, limit, why)) {
            outcome.status = proposal_status::agreed;
            return true;
        }
        outcome.text = why.text;
        outcome.entries.clear();
        // If the write succeeded but its response was lost, the entry is counted until its deadline. The next
        // attempt finds and extends it.
        return why.code == reason_code::unavailable;
    }

    // Adds an entry for the upstream, or extends its existing one.
    static void addOrExtend(proposal_outcome& outcome, const ejection_proposal& proposal, wall_deadline now)
    {
        auto until = now + proposal.duration;
        auto found = std::find_if(outcome.entries.begin(), outcome.entries.end(), [&](const auto& entry) {
            return entry.service == proposal.service && entry.upstream == proposal.upstream;
        });
        if (found != outcome.entries.end()) {
            found->until = std::max(found->until, until);
            return;
        }
        outcome.entries.push_back({ proposal.service, proposal.upstream, now, until, proposal.evidence,
            proposal.capacity.floorSlots, outcome.healthySlotsLeft });
    }

    Store& m_store;
    const agreement_options m_options;
};

}
