#pragma once

// Tracks the entry VMs of the fleet, detects unreachable ones, and lists those that are eligible to serve.
//
//     member_list members(self, options);
//     members.noteMessageFrom(peer, now);
//     for (const auto& host : members.selectPingTargets(now))
//         sendPing(host);
//     auto eligible = members.eligibleMembers(); // See serving_cells.
//
// Every VM pings the others in turn. A VM that doesn't answer is reported to the others, but each VM decides
// by its own pings whether it is unreachable, so that a partition between two VMs removes neither from the
// lists of the rest. Does no I/O. Not thread safe.

#include "marlsill/base/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::cluster {

// Whether a VM accepts requests, as it declares itself.
enum class member_state {
    joining, // Cannot route requests yet.
    ready,
    leaving, // Is draining before a planned stop.
};

// A VM's record of itself. Of two records of the same host, the one with the greater incarnation wins; if
// those are equal, the one with the greater version.
struct member {
    std::string host; // IPv4 address; identifies the VM.
    std::string failureDomain;
    std::string callerAddress; // Where it accepts requests; ip:port.
    std::uint64_t incarnation = 0; // Start of the process in Unix milliseconds; raised above earlier ones.
    std::uint64_t version = 0; // Number of changes in this incarnation.
    member_state state = member_state::joining;
    double capacity = 1; // Relative weight in the selection of serving VMs and of watchers.
    bool isCutOff = false; // From all upstreams; callers should use others.
    // Its configuration may lack the withdrawal of a key, so that it refuses requests with keys.
    bool hasStaleKeys = false;

    bool operator==(const member&) const = default;
};

// Settings of a member list.
struct member_list_options {
    std::chrono::milliseconds pingTimeout { 250 }; // Far above a round trip; allows for a slow VM's pauses.
    int maxMissedPings = 2; // Consecutive; one ping may be lost.
    std::chrono::milliseconds removalDelay { 60'000 }; // Until an unreachable VM is removed.
    // Between pings of an unreachable VM, which may only have been slow, outside its turn.
    std::chrono::milliseconds unreachablePingInterval { 1'000 };
    std::size_t maxUnreachablePings = 2; // At once, as many VMs may be unreachable for long.
};

class member_list {
public:
    member_list(member self, member_list_options options);

    // Sets this VM's own state and increments its version if the state differs.
    void setState(member_state state);

    // Sets whether this VM is cut off, and increments its version if that differs.
    void setCutOff(bool isCutOff);

    // Sets whether this VM cannot check keys, and increments its version if that differs.
    void setStaleKeys(bool hasStaleKeys);

    const member& self() const { return m_self; }

    // Merges a record received from another VM. Returns whether it was newer than the known one.
    bool merge(const member& record, steady_clock::time_point now);

    // Records that a message arrived from `host`, which is therefore reachable.
    void noteMessageFrom(const std::string& host, steady_clock::time_point now);

    // Returns the hosts to ping now: the next one in turn, those that missed their last ping, and those that
    // were reported as unreachable. Also counts missed pings; a host that has missed `maxMissedPings` becomes
    // unreachable and is returned once by takeUnreachable(). Removes hosts after `removalDelay`.
    std::vector<std::string> selectPingTargets(steady_clock::time_point now);

    // A host that became unreachable.
    struct unreachable_host {
        std::string host;
        bool wasReported = false; // By another VM, which has told all others.
    };

    // Returns the hosts that became unreachable since the last call.
    std::vector<unreachable_host> takeUnreachable();

    // Records that another VM cannot reach `host`, so that it is pinged at the next selection, unless it was
    // heard from within the ping timeout.
    void noteReportedUnreachable(const std::string& host, steady_clock::time_point now);

    // Returns the records of this VM, which comes first, and of all reachable VMs.
    std::vector<member> records() const;

    // Returns the hosts of all other VMs that are reachable.
    std::vector<std::string> reachableHosts() const;

    // Returns a digest of the records, equal on two VMs if their records are equal and, with high
    // probability, only then.
    std::uint64_t digest() const;

    // Returns one digest for each bucket of the records, to find out which of them differ.
    std::vector<std::uint32_t> bucketDigests() const;

    // Returns the records that records() returns of some buckets, which are numbered from 0.
    std::vector<member> recordsIn(std::span<const std::size_t> buckets) const;

    std::size_t size() const { return m_others.size() + 1; }

    // Returns a number that grows with each change of the records or of which VMs are reachable.
    std::uint64_t generation() const { return m_generation; }

    // Returns the VMs that are eligible to serve: ready and reachable. The pointers are valid until the list
    // changes.
    std::vector<const member*> eligibleMembers() const;

    // Calls `handle` with the record of each VM that is known, this one first, and whether it is reachable.
    template <typename Handle> void forEachKnown(Handle handle) const
    {
        handle(m_self, true);
        for (const auto& [host, each] : m_others) {
            handle(each.record, !each.isUnreachable);
        }
    }

    // Returns whether `host` is this VM or another that is known.
    bool isKnown(std::string_view host) const;

    // Returns whether a host has declared itself cut off from all upstreams.
    bool isCutOff(std::string_view host) const;

    // Returns whether a host has declared that it cannot check keys.
    bool hasStaleKeys(std::string_view host) const;

    // Returns whether a host has not answered its last ping. In a fleet of hundreds there nearly always is
    // one, mostly a slow VM, and each VM suspects others.
    bool isSuspect(std::string_view host) const;

private:
    struct entry {
        member record;
        steady_clock::time_point lastHeard {};
        steady_clock::time_point pingedAt {};
        bool isAwaitingPong = false;
        bool isReportedUnreachable = false; // And not pinged since.
        bool wasReported = false; // Reported since it was last heard from.
        bool isUnreachable = false;
        int missedPings = 0;
        steady_clock::time_point unreachableSince {};
    };

    void recordMissedPing(entry& each, steady_clock::time_point now);

    member m_self;
    const member_list_options m_options;
    std::map<std::string, entry, std::less<>> m_others;
    std::set<std::string>
        m_watched; // Hosts in m_others with a ping under way, reported, suspect or unreachable.
    std::string m_lastPinged;
    std::vector<unreachable_host> m_newlyUnreachable;
    std::uint64_t m_generation = 1;
    mutable std::uint64_t m_digest = 0; // Of the records as of m_digestGeneration.
    mutable std::uint64_t m_digestGeneration = 0;
};

}
