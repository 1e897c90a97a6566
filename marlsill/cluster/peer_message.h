#pragma once

// Encodes and decodes the datagrams that entry VMs exchange, as CBOR.
//
//     socket.send(encode(message));
//     reason why;
//     auto received = decodePeerMessage(bytes, why);

#include "marlsill/accounts/limit_messages.h"
#include "marlsill/base/reason.h"
#include "marlsill/cluster/configuration_transfer.h"
#include "marlsill/cluster/member_list.h"
#include "marlsill/cluster/store_availability.h"
#include "marlsill/placement/crash_quarantine.h"
#include "marlsill/placement/leaving_notices.h"
#include "marlsill/placement/load_balancer.h"
#include "marlsill/placement/rate_limits.h"
#include "marlsill/placement/store_position.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace marlsill::cluster {

// Versions and age of a VM's copy of the store's contents.
struct store_summary {
    std::uint64_t configurationVersion = 0;
    placement::store_position storePosition; // That the upstream list is from; earlier builds state no era.
    std::uint64_t upstreamDigest = 0; // Of the upstream list; see upstream_list.
    std::uint64_t contactAgeMs = 0; // Since the store last responded to that VM or to a known watcher.
};

// As of when the store's contents are known to a VM.
struct store_reading {
    std::uint64_t ageMs = 0; // Since the store's response that they are of.
    std::string reader; // Host of the VM that got that response.
};

// The answer of a VM whose keys are valid to a query for the freshness of its configuration.
struct freshness_answer {
    std::uint64_t query = 0; // The number of the query.
    std::uint64_t configurationVersion = 0;
    // Every change that the store acknowledged this long before the answer was made, or earlier, is in that
    // version.
    std::uint64_t ageMs = 0;
};

// A request for a permit that begins within `maxDelay`.
struct permit_request {
    std::string upstream;
    std::chrono::milliseconds maxDelay {};
};

// The answer to a request for a permit to send one request to a limited upstream.
struct issued_permit {
    std::string upstream;
    placement::permit_answer answer;
};

// One datagram. Empty fields are not encoded. Several builds run side by side during upgrades, so fields are
// only added: none changes its name, type or meaning, and no receiver needs one that earlier builds do not
// send. Items may get further elements at their end.
struct peer_message {
    std::string sender; // Host of the sending VM.
    std::uint64_t ping = 0; // Non-zero: the receiver answers with the same number in `pong`.
    std::uint64_t pong = 0;
    std::string build; // Version of the sender's build, in pings and pongs; earlier builds state none.
    std::uint64_t digest = 0; // Of the sender's member list, in pings and pongs.
    bool wantsMembers = false; // Requests the receiver's member list.
    std::vector<std::uint32_t>
        memberDigests; // Of the sender's buckets of members; requests those that differ.
    std::vector<std::size_t> wantedBuckets; // Requests the receiver's members in these buckets.
    std::vector<member> members;
    std::vector<std::string> unreachableHosts; // Hosts that the sender cannot reach.
    std::vector<placement::upstream_evidence> evidence;
    std::vector<placement::upstream_load> loads;
    // Whether the sender uses upstreams of `evidence` or `loads` that are not of its part, and asks for the
    // receiver's evidence.
    bool wantsEvidence = false;
    std::uint64_t crashDigest = 0; // Of the sender's crash records, in pings and pongs.
    std::vector<placement::crash_record> crashes;
    std::uint64_t crashRequest = 0; // Non-zero: requests all of the receiver's crash records.
    std::uint64_t crashAnswer = 0; // Non-zero: `crashes` is a part of the answer to this `crashRequest`.
    int crashPart = 0; // Of the answer, which may take several datagrams; from 1 on.
    int crashParts = 0;
    std::vector<placement::rate_limit_notice> limits; // Of upstreams that name, or have named, one.
    std::vector<placement::leaving_notice> leaving; // Upstreams that said in responses that they leave.
    std::vector<permit_request> permitRequests;
    std::vector<issued_permit> permits; // Answers to `permitRequests`.
    accounts::limit_message accountLimits;
    std::uint64_t freshnessQuery = 0; // Non-zero: asks for a `freshnessAnswer` with this number.
    std::optional<freshness_answer> freshnessAnswer;
    std::optional<store_summary> summary;
    bool isBeacon = false; // Whether `summary` is a watcher's periodic announcement.
    std::optional<availability_report> availability; // Of the store, to the sender; in beacons.
    // Of the contents that `summary` describes, in beacons. Earlier builds state none: what they know is as
    // old as the store's last response about any kind.
    std::optional<store_reading> reading;
    bool wantsConfiguration = false; // Requests the configuration.
    bool wantsUpstreams = false; // Requests the whole upstream list.
    std::optional<configuration_part> configuration;
    // Entries of the list that `summary` describes: some of them or, if `isDelta`, those that were added or
    // changed since the list with `baseDigest`.
    std::vector<placement::upstream_entry> upstreams;
    std::vector<std::string> removed; // Upstream ids; only if `isDelta`.
    bool isDelta = false;
    std::uint64_t baseDigest = 0; // Only if `isDelta`.
};

// Encodes a message as a datagram.
std::vector<std::uint8_t> encode(const peer_message& message);

// Decodes a datagram. Leaves out fields, states and kinds of evidence that only later builds know. Returns
// std::nullopt and sets `why` if any other part of it is malformed.
std::optional<peer_message> decodePeerMessage(std::span<const std::uint8_t> bytes, reason& why);

}
