#pragma once

// The membership table of one entry VM: a record for each entry VM it knows, merged from gossip.
//
//     member_table members(own, options);
//     auto changes = members.merge(update.records, now);
//     broadcast(member_update { changes });
//
// Records of one incarnation are ordered by counter and state, so merging in any order gives the same table.
// Only a VM itself raises its counter: whenever it changes its own record, and to refute a suspicion. The
// protocol is SWIM (Das, Gupta and Motivala, 2002) with heartbeats over persistent links instead of random
// probes.

#include "marlsill/base/time.h"
#include "marlsill/peer/messages.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::membership {

using peer::member_record;
using peer::member_state;

// Timeouts of a member table.
struct member_options {
    std::chrono::milliseconds suspicionTimeout { 3000 }; // A suspect that does not refute in time is gone.
    std::chrono::milliseconds leavingTimeout { 120'000 }; // A VM that is still leaving after this is gone.
    std::chrono::milliseconds goneRetention { 2'400'000 }; // Records of gone VMs are removed after this.
};

// The number of hash buckets that incarnations are spread over for comparing two tables.
constexpr std::size_t digestBucketCount = 64;

// Returns whether `left` replaces `right`, a record of the same incarnation: it has the higher counter or, at
// equal counters, the later state in the order of `member_state`.
bool supersedes(const member_record& left, const member_record& right);

// The entry VMs known to this VM, including itself. Not thread safe; the control thread owns it.
class member_table {
public:
    member_table(member_record self, member_options options, steady_clock::time_point now);

    // Merges records and returns those that changed the table, to be forwarded. If a record supersedes this
    // VM's own, such as a suspicion, this VM raises its counter, and the result holds its own record as the
    // refutation.
    std::vector<member_record> merge(const std::vector<member_record>& records, steady_clock::time_point now);

    // Marks a VM whose link is down as suspected, if it was alive or joining. Returns the changed records.
    std::vector<member_record> suspect(std::string_view incarnation, steady_clock::time_point now);

    // Marks VMs whose suspicion or leaving timeout has passed as gone, and removes records of gone VMs after
    // their retention. Returns the changed records.
    std::vector<member_record> expire(steady_clock::time_point now);

    // Changes this VM's own state and raises its counter. Returns the changed record.
    std::vector<member_record> setOwnState(member_state state, std::string successor = {});

    const member_record& self() const { return m_entries.at(m_ownIncarnation).record; }

    // Returns the record of an incarnation, or a null pointer if it is unknown.
    const member_record* find(std::string_view incarnation) const;

    // Returns all records, ordered by incarnation.
    std::vector<member_record> all() const;

    // Returns the VMs that callers may be directed to: those alive or suspected.
    std::vector<member_record> serving() const;

    // Returns the VMs that take part in gossip and in the confirmation tree: those alive, suspected or
    // leaving. Ordered by incarnation.
    std::vector<member_record> present() const;

    // Returns one hash per bucket over the records in it; equal tables have equal digests.
    std::vector<std::uint64_t> digest() const;

    // Returns the records in the buckets whose hashes differ from the digest `other`; none if `other` has
    // another number of buckets.
    std::vector<member_record> recordsDifferingFrom(const std::vector<std::uint64_t>& other) const;

private:
    struct entry {
        member_record record;
        deadline expiresAt; // A suspected or leaving VM is then gone; a record of a gone VM is removed.
    };

    // Stores a record if it is new or supersedes the stored one, and returns whether it did.
    bool applyIfNewer(const member_record& record, steady_clock::time_point now);
    deadline expiryOf(const member_record& record, steady_clock::time_point now) const;
    // Marks earlier incarnations of the same VM, by name and peer address, as gone. Returns their records.
    std::vector<member_record> markOlderIncarnationsGone(
        const member_record& record, steady_clock::time_point now);

    const std::string m_ownIncarnation;
    const member_options m_options;
    std::map<std::string, entry, std::less<>> m_entries;
};

}
