#pragma once

// The datagrams that entry VMs send each other, as CBOR.
//
//     socket.send(encode(message));
//     reason why;
//     auto received = decodePeerMessage(bytes, why);

#include "marlsill/base/reason.h"
#include "marlsill/cluster/member_list.h"
#include "marlsill/placement/load_balancer.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace marlsill::cluster {

// A request that crashed upstreams.
struct crash_notice {
    std::uint64_t print = 0;
    int crashes = 0;
};

// What a VM knows from the store, and how fresh that is.
struct knowledge_stamp {
    std::uint64_t configurationVersion = 0;
    std::uint64_t storeVersion = 0; // Of the list of upstreams.
    std::uint64_t upstreamDigest = 0;
    std::uint64_t contactAgeMs = 0; // Since the store's last answer to that VM.
};

// One datagram; absent parts are empty and cost no bytes.
struct peer_message {
    std::string sender; // Host of the VM that sends it.
    std::uint64_t ping = 0; // To be answered with the same number in `pong`.
    std::uint64_t pong = 0;
    std::uint64_t digest = 0; // Of the sender's member list, in pings and pongs.
    bool wantsMembers = false;
    std::vector<member> members;
    std::vector<std::string> lost; // Hosts that the sender cannot reach.
    std::vector<placement::upstream_evidence> evidence;
    std::vector<placement::upstream_load> loads;
    std::vector<crash_notice> crashes;
    std::optional<knowledge_stamp> stamp;
    bool isBeacon = false; // A watcher's regular word, as opposed to an answer.
    bool wantsConfiguration = false;
    bool wantsUpstreams = false;
    std::string configuration; // As the store holds it; compressed on the wire.
    std::uint64_t configurationVersion = 0;
    std::vector<placement::upstream_entry> upstreams; // Of the list that `stamp` describes: a part, or the
                                                      // changes against the list of `baseDigest`.
    std::vector<std::string> removed; // With `isChange`.
    bool isChange = false;
    std::uint64_t baseDigest = 0; // With `isChange`.
};

// Returns the bytes of a message.
std::vector<std::uint8_t> encode(const peer_message& message);

// Decodes a datagram; a malformed one is a failure as a whole.
std::optional<peer_message> decodePeerMessage(std::span<const std::uint8_t> bytes, reason& why);

}
