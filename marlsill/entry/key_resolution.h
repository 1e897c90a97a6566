#pragma once

// Queries about the outcome of requests by their idempotency keys, and claims of keys.
//
//     auto known = resolve(question, limit);
//     if (known.status == key_answer_status::finished && known.response)
//         respond(*known.response);
//
// Only the incarnation that a key names dispatches requests with that key. Other VMs ask it for the outcome.

#include "marlsill/base/reason.h"
#include "marlsill/dedup/key_ledger.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace marlsill::entry {

// A query about a key, sent to the incarnation that the key names.
struct key_question {
    std::string key;
    std::uint64_t requestHash = 0; // Keeps a caller from getting another caller's response.
};

// What the named incarnation, or its successor, knows of a key. The numeric values are sent to peers.
enum class key_answer_status : int {
    unreachable, // No VM that knows the key could be asked.
    inProgress, // Queued or dispatched.
    cancelled, // Not run, and never will be.
    undetermined, // The request may have run.
    finished, // The request ran.
    otherRequest, // The key was used for a different request.
};

// Reply to a key_question.
struct key_answer {
    key_answer_status status = key_answer_status::unreachable;
    std::shared_ptr<const http::response_message> response; // Set for finished if the response was kept.
};

// Asks the incarnation that the key names. Returns by the deadline. Must be callable from any thread.
using resolve_function = std::function<key_answer(const key_question& question, deadline limit)>;

// Claim of a key that names no incarnation. Maps it to an internal key that names the claiming incarnation.
struct key_claim {
    bool isNewClaim = false; // Whether this call made the claim.
    std::string internalKey;
};

// Claims a key by creating an object in the platform, or returns the earlier claim. Returns std::nullopt and
// sets `why` if the platform cannot tell; the request must not be dispatched then. Must be callable from any
// thread.
using claim_function
    = std::function<std::optional<key_claim>(const std::string& scopedKey, deadline limit, reason& why)>;

// Answers a question about a key of this incarnation from its ledger. A key that the ledger has not seen is
// cancelled.
key_answer answerFromLedger(dedup::key_ledger& ledger, const key_question& question);

}
