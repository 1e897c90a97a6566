#pragma once

// Knows the entry VMs of the fleet, finds those that cannot be reached, and picks the VMs that serve a host.
//
//     member_list members(self, options);
//     members.noteHeard(peer, now);
//     for (const auto& host : members.duePings(now))
//         sendPing(host);
//     auto serving = members.servingSet("bookings.example", now);
//
// Every VM pings one other at a time. One that misses its answers is reported to the others, and each VM
// judges it by its own pings, so that a partition between two VMs hides neither from the rest. Pure
// decisions; not thread safe.

#include "marlsill/base/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::cluster {

// Whether a VM takes requests, by its own word.
enum class member_state {
    joining, // It cannot route requests yet.
    ready,
    leaving, // A planned stop has begun.
};

// What a VM tells about itself. Of two records of one host the one with the greater incarnation, then the
// greater version counts.
struct member {
    std::string host; // IP number; identifies the VM.
    std::string failureDomain;
    std::string callerAddress;
    std::uint64_t incarnation = 0; // Start of this life in Unix milliseconds, made unique by the VM.
    std::uint64_t version = 0; // Counts this life's changes.
    member_state state = member_state::joining;
    double capacity = 1; // Relative to other VMs; stronger ones serve and watch more.

    bool operator==(const member&) const = default;
};

// Settings of a list.
struct member_list_options {
    std::chrono::milliseconds pingAnswer { 250 }; // Far above a round trip, with a slow VM's pause.
    int maxMissed = 2; // Pings; one may be lost.
    std::chrono::milliseconds forgetAfter { 60'000 }; // A VM that was out of reach for so long is gone.
};

class member_list {
public:
    member_list(member self, member_list_options options);

    // Changes this VM's state.
    void setState(member_state state);

    const member& self() const { return m_self; }

    // Takes a record that another VM sent. Returns whether it was news.
    bool learn(const member& record, steady_clock::time_point now);

    // Notes a message from a host, which therefore is within reach.
    void noteHeard(const std::string& host, steady_clock::time_point now);

    // Returns the hosts to ping now: the next one in turn, those that owe an answer, and those reported.
    // Hosts that have missed too many become unreachable, and are returned once by takeLost().
    std::vector<std::string> duePings(steady_clock::time_point now);

    // Returns the hosts that became unreachable since the last call.
    std::vector<std::string> takeLost();

    // Notes that another VM cannot reach `host`, so that it is pinged at once.
    void noteReported(const std::string& host, steady_clock::time_point now);

    // Returns all known records, this VM's own first.
    std::vector<member> records() const;

    // Returns the hosts of all other VMs that are within reach.
    std::vector<std::string> reachableHosts() const;

    // Returns the VMs that serve the callers of a host name, whose upstreams have `slots` slots in all: as
    // many in each failure domain.
    std::vector<const member*> servingSet(std::string_view hostName, int slots) const;

    // Returns a number that is the same on two VMs exactly when they hold the same records, almost surely.
    std::uint64_t digest() const;

    std::size_t size() const { return m_others.size() + 1; }

private:
    struct entry {
        member record;
        steady_clock::time_point lastHeard {};
        steady_clock::time_point pingedAt {};
        bool owesAnswer = false;
        bool isReported = false;
        bool isUnreachable = false;
        int missed = 0;
        steady_clock::time_point unreachableSince {};
    };

    void noteMissed(entry& each, steady_clock::time_point now);

    member m_self;
    const member_list_options m_options;
    std::map<std::string, entry, std::less<>> m_others;
    std::string m_lastPinged;
    std::vector<std::string> m_lost;
};

}
