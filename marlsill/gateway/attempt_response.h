#pragma once

// What one attempt sends to an upstream, and what its response says of the request.
//
//     auto bytes = serializeFor(fields, request, attempt, left);
//     ...
//     attempt.outcome.outcome = outcomeOf(fields, result);

#include "marlsill/gateway/active_request.h"
#include "marlsill/gateway/upstream_connection.h"
#include "marlsill/gateway/wire_fields.h"

#include <string>
#include <string_view>

namespace marlsill::gateway {

// Returns an outcome as text, for logs.
std::string_view toText(placement::attempt_outcome outcome);

// Returns the bytes of a request as the attempt sends them, with `left` as the time limit.
std::string serializeFor(const wire_fields& fields, const active_request& current,
    const active_request::attempt& thisAttempt, std::chrono::milliseconds left);

// Returns what the end of an exchange means for the attempt. A success without a seal, or whose body is
// encoded, is broken, as its integrity cannot be proven.
placement::attempt_outcome outcomeOf(const wire_fields& fields, const exchange_result& result);

}
