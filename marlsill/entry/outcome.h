#pragma once

// Tells callers whether their request ran.
//
//     connection.write(serialize(makeOutcome(outcome::notRun, "overload", 503, retryAfter), method), limit);

#include "marlsill/http/message_reader.h"

#include <chrono>
#include <string_view>

namespace marlsill::entry {

// Whether a request ran on an upstream.
enum class outcome {
    ran,
    notRun, // Certain not to have run, and not to run later.
    unknown, // May have run, or may still run.
};

// Returns the value of the X-Outcome field for an outcome.
std::string_view toText(outcome requestOutcome);

// Sets the X-Outcome field of a response, and X-Outcome-Reason unless the reason is empty.
void setOutcome(Poco::Net::HTTPResponse& head, outcome requestOutcome, std::string_view reasonText);

// Makes a response that this VM gives itself. Sets Retry-After, rounded up to whole seconds, if `retryAfter`
// is above zero.
http::response_message makeOutcome(outcome requestOutcome, std::string_view reasonText, int status,
    std::chrono::milliseconds retryAfter = {});

}
