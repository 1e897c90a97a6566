#pragma once

// Names of the HTTP header fields with which Marlsill extends its interfaces to callers and upstreams;
// docs/operators/interfaces.md describes them.

namespace marlsill::http::field {

// Request fields from callers.
constexpr const char* idempotencyKey = "Idempotency-Key";
constexpr const char* requestTimeoutMs
    = "X-Request-Timeout-Ms"; // How long the caller will wait for the response.
constexpr const char* clientAccount = "X-Client-Account";

// Response fields to callers.
constexpr const char* outcome = "X-Outcome"; // Whether the request was executed: ran, not-run or unknown.
constexpr const char* outcomeReason = "X-Outcome-Reason";
constexpr const char* retryAfter = "Retry-After";
constexpr const char* servedBy = "X-Served-By"; // The upstream that produced the response.

// Request fields to upstreams.
constexpr const char* requestDeadlineMs
    = "X-Request-Deadline-Ms"; // Unix milliseconds after which nobody waits for the response.

// Response field from upstreams that refuse a request; its value is shed, draining or deadline. Its presence
// guarantees that the request was not executed.
constexpr const char* refused = "X-Refused";

}
