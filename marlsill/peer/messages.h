#pragma once

// The messages between entry VMs and their CBOR encoding.
//
//     std::string bytes = encode({ 0, false, heartbeat { 17 } });
//     reason why;
//     auto decoded = decode(bytes, why);
//
// An encoded message is a CBOR array of the type number, the request number, the reply flag and an array of
// the fields in order. The type number is the index in `message`. A message with an unknown type,
// missing or extra fields, fields of the wrong type or values above the limits is rejected.

#include "marlsill/base/reason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marlsill::peer {

// The version of this protocol. A VM rejects the handshake of a VM with a different version.
constexpr int protocolVersion = 1;

// The first message of the handshake: identifies the connecting VM.
struct hello {
    int version = protocolVersion;
    std::string incarnation;
    std::string peerAddress; // Where the sender listens, as ip:port.
    std::string nonce; // Random, generated for this link.
};

// Replies to a hello. The proof is an HMAC that shows that the sender holds the fleet key.
struct hello_reply {
    std::string incarnation;
    std::string peerAddress;
    std::string nonce;
    std::string proof;
};

// Completes the handshake with the connecting VM's proof that it holds the fleet key.
struct hello_confirm {
    std::string proof;
};

// Requests an echo, so that a link that delivers in one direction only is detected.
struct heartbeat {
    std::uint64_t number = 0;
};

struct heartbeat_echo {
    std::uint64_t number = 0;
};

// The states of an entry VM, in ascending precedence: of two records with the same counter, the one with the
// later state in this list wins.
enum class member_state : int {
    joining,
    alive,
    suspected,
    leaving,
    gone,
};

// The membership record of one daemon incarnation.
struct member_record {
    std::string incarnation;
    std::string name; // The VM's name.
    std::string failureDomain;
    std::string region;
    std::string callerAddress;
    std::string peerAddress;
    std::int64_t startedAt = 0; // Unix milliseconds.
    std::int64_t counter = 0; // Version of the record; incremented only by the VM that the record describes.
    member_state state = member_state::joining;
    std::string successor; // Incarnation that took over this one's idempotency keys at its planned stop.

    bool operator==(const member_record&) const = default;
};

// New or changed membership records, gossiped between neighbours.
struct member_update {
    std::vector<member_record> records;
};

// Anti-entropy digest: one hash over the membership records of each bucket of incarnations. A neighbour
// compares it with its own to find the buckets that differ.
struct member_digest {
    std::vector<std::uint64_t> buckets;
    std::int64_t generation = 0; // The configuration generation in force on the sender.
    bool wantsReply = false;
};

// Announces the configuration generation in force on the sender.
struct config_announcement {
    std::int64_t generation = 0;
};

// Requests the head document of the configuration in force.
struct config_head_request { };

struct config_head_reply {
    std::string head;
};

// Requests configuration blobs by hash. The reply omits unknown blobs and those that would exceed its size
// limit.
struct config_blob_request {
    std::vector<std::string> hashes;
};

struct config_blob_reply {
    std::vector<std::string> blobs;
};

// Reports the lowest configuration generation in force in the sender's subtree of the confirmation tree.
struct config_confirmation {
    std::int64_t generation = 0;
};

// Sent by the root of the confirmation tree: the generation that is in force on every live VM.
struct config_confirmed {
    std::int64_t generation = 0;
};

// Asks for the state of an idempotency key. Sent to the VM of the incarnation that the key names, or its
// successor.
struct key_lookup_request {
    std::string key;
    std::uint64_t requestHash = 0;
};

// The state of an idempotency key and, if there is one, the stored response.
struct key_lookup_reply {
    int status = 0; // entry::key_answer_status as a number.
    int httpStatus = 0; // 0 without a stored response.
    std::string contentType;
    std::string body;
};

// One idempotency key that a stopping VM hands over to its successor.
struct handed_over_key {
    std::string key;
    int state = 0; // dedup::key_state as a number.
    std::uint64_t requestHash = 0;
    key_lookup_reply answer;
};

// A part of the idempotency keys that a stopping VM hands over to its successor; `isLast` marks the last
// part.
struct key_handover {
    std::string incarnation;
    std::vector<handed_over_key> keys;
    bool isLast = false;
};

// Reports a request that is suspected of crashing upstreams.
struct suspicion_report {
    std::uint64_t fingerprint = 0;
    int level = 0; // entry::suspicion as a number.
    std::string service;
    // Incarnation that observed the upstream's crash, then a slash and the upstream's name. Earlier versions
    // send the incarnation alone.
    std::string reporter;
};

// Acknowledges a request that has no other reply.
struct acknowledgement { };

// Results of requests to one upstream since the sender's last report.
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

// Outlier detection evidence, sent by a member of a service's serving set to the service's coordinator.
struct evidence_report {
    std::string service;
    std::string failureDomain; // The sender's.
    std::vector<upstream_counts> counts;
};

// A coordinator's decision on the weight and ejection of one upstream.
struct upstream_decision {
    std::string upstream;
    double weight = 1;
    std::int64_t ejectedUntil = 0; // Unix milliseconds; 0 if not ejected.
};

// A coordinator's decisions on the upstreams of one service. Upstreams that are not listed have full weight
// and are not ejected.
struct service_decisions {
    std::string service;
    std::int64_t sentAt = 0; // Unix milliseconds.
    std::vector<upstream_decision> decisions;
};

using message = std::variant<hello, hello_reply, hello_confirm, heartbeat, heartbeat_echo, member_update,
    member_digest, config_announcement, config_head_request, config_head_reply, config_blob_request,
    config_blob_reply, config_confirmation, config_confirmed, key_lookup_request, key_lookup_reply,
    key_handover, suspicion_report, acknowledgement, evidence_report, service_decisions>;

// A message with a request number. A reply carries the number of its request; 0 marks messages that expect no
// reply.
struct envelope {
    std::uint64_t request = 0;
    bool isReply = false;
    message body;
};

// Encodes a message as CBOR.
std::string encode(const envelope& sent);

// Decodes a message from CBOR. Returns std::nullopt and sets `why` if it is malformed.
std::optional<envelope> decode(std::string_view bytes, reason& why);

}
