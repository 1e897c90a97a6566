#pragma once

// The messages between entry VMs, and their CBOR form.
//
//     std::string bytes = encode(message { heartbeat { 17 } });
//     reason why;
//     auto decoded = decode(bytes, why);
//
// A message is a CBOR array of its type's number and its fields in order. A message with an unknown type,
// missing or superfluous fields, fields of another kind, or values above the bounds is refused whole.

#include "marlsill/base/reason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marlsill::peer {

// The version of this set of messages; VMs of different versions do not talk.
constexpr int protocolVersion = 1;

// Opens a link: who connects, and a number drawn for this link.
struct hello {
    int version = protocolVersion;
    std::string incarnation;
    std::string peerAddress; // Where the sender listens.
    std::string nonce;
};

// Answers a hello; the proof shows that the sender has the fleet key.
struct hello_reply {
    std::string incarnation;
    std::string peerAddress;
    std::string nonce;
    std::string proof;
};

// Ends the handshake.
struct hello_confirm {
    std::string proof;
};

// Asks for an echo, so that a link that works in one direction only shows.
struct heartbeat {
    std::uint64_t number = 0;
};

struct heartbeat_echo {
    std::uint64_t number = 0;
};

// The states of an entry VM, in the order in which they overrule each other.
enum class member_state : int {
    joining,
    alive,
    suspected,
    leaving,
    gone,
};

// What the fleet knows of one daemon incarnation.
struct member_record {
    std::string incarnation;
    std::string name; // Of the VM.
    std::string failureDomain;
    std::string region;
    std::string callerAddress;
    std::string peerAddress;
    std::int64_t startedAt = 0; // Unix milliseconds.
    std::int64_t counter = 0; // Raised by the VM itself with each change of its own record.
    member_state state = member_state::joining;
    std::string successor; // Incarnation that holds the outcomes of this one's keys after its planned stop.

    bool operator==(const member_record&) const = default;
};

// New records, passed on from neighbour to neighbour.
struct member_update {
    std::vector<member_record> records;
};

// Hashes over the records of each bucket of incarnations, to find what a neighbour lacks.
struct member_digest {
    std::vector<std::uint64_t> buckets;
    std::int64_t generation = 0;
    bool wantsReply = false;
};

// The generation in force on the sender.
struct config_announcement {
    std::int64_t generation = 0;
};

// Asks for the head of the configuration in force.
struct config_head_request { };

struct config_head_reply {
    std::string head;
};

// Asks for blobs by hash; the reply leaves out unknown ones and those above its bound.
struct config_blob_request {
    std::vector<std::string> hashes;
};

struct config_blob_reply {
    std::vector<std::string> blobs;
};

// The lowest generation in force in the sender's part of the confirmation tree.
struct config_confirmation {
    std::int64_t generation = 0;
};

// The generation in force on every live VM, as the tree's root found it.
struct config_confirmed {
    std::int64_t generation = 0;
};

// A question about an idempotency key, and its answer.
struct key_question_message {
    std::string key;
    std::uint64_t requestHash = 0;
};

struct key_answer_message {
    int status = 0;
    int httpStatus = 0;
    std::string contentType;
    std::string body;
};

// Settled keys of a stopping VM, for its successor. `isLast` ends the handover.
struct handed_over_key {
    std::string key;
    int state = 0;
    std::uint64_t requestHash = 0;
    key_answer_message answer;
};

struct key_handover {
    std::string incarnation;
    std::vector<handed_over_key> keys;
    bool isLast = false;
};

// A suspicion against a request that crashes upstreams.
struct suspicion_message {
    std::uint64_t fingerprint = 0;
    int level = 0;
    std::string service;
    std::string reporter; // Incarnation that saw the upstream die.
};

// Confirms a request that has no other reply.
struct acknowledgement { };

// Counts on one upstream since the sender's last report.
struct upstream_counts {
    std::string upstream;
    int runs = 0;
    int failures = 0;
    int connectionLosses = 0;
    int refusals = 0;
    int latencies = 0;
    double logLatencySum = 0;
    double logLatencySquareSum = 0;
};

// Evidence from a member of a service's serving set to the service's coordinator.
struct evidence_report {
    std::string service;
    std::string failureDomain; // Of the sender.
    std::vector<upstream_counts> counts;
};

// The coordinator's decision on one upstream.
struct upstream_verdict {
    std::string upstream;
    double weight = 1;
    std::int64_t ejectedUntil = 0; // Unix milliseconds; 0 for not ejected.
};

struct service_verdicts {
    std::string service;
    std::int64_t sentAt = 0; // Unix milliseconds.
    std::vector<upstream_verdict> verdicts;
};

using message = std::variant<hello, hello_reply, hello_confirm, heartbeat, heartbeat_echo, member_update,
    member_digest, config_announcement, config_head_request, config_head_reply, config_blob_request,
    config_blob_reply, config_confirmation, config_confirmed, key_question_message, key_answer_message,
    key_handover, suspicion_message, acknowledgement, evidence_report, service_verdicts>;

// A message with the number by which a reply finds its request; 0 for messages that want none. Replies carry
// the number of their request.
struct envelope {
    std::uint64_t request = 0;
    bool isReply = false;
    message body;
};

// Returns the CBOR form.
std::string encode(const envelope& sent);

// Parses the CBOR form.
std::optional<envelope> decode(std::string_view bytes, reason& why);

}
