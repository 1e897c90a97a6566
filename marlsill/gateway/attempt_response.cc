#include "marlsill/gateway/attempt_response.h"

#include "marlsill/http/message_writer.h"

#include <algorithm>

namespace marlsill::gateway {

using placement::attempt_outcome;

namespace {

    constexpr int firstRedirection = 300; // Lower statuses are successes.

    attempt_outcome toAttemptOutcome(exchange_status status)
    {
        switch (status) {
        case exchange_status::completed:
            return attempt_outcome::answered;
        case exchange_status::closed:
            return attempt_outcome::noAnswer;
        case exchange_status::broken:
            return attempt_outcome::broken;
        case exchange_status::timedOut:
            return attempt_outcome::timedOut;
        case exchange_status::aborted:
            break;
        }
        return attempt_outcome::cancelled;
    }

}

std::string_view toText(attempt_outcome outcome)
{
    constexpr std::string_view names[] = { "answered", "refused", "wrong_upstream", "not_sent", "no_answer",
        "broken", "timed_out", "cancelled" };
    return names[static_cast<int>(outcome)];
}

std::string serializeFor(const wire_fields& fields, const active_request& current,
    const active_request::attempt& thisAttempt, std::chrono::milliseconds left)
{
    auto forwarded = current.request;
    http::removeHopByHopFields(forwarded.head);
    forwarded.head.set(fields.timeoutMs, std::to_string(left.count()));
    forwarded.head.set(fields.expectedUpstream, thisAttempt.upstream);
    return http::serialize(forwarded);
}

attempt_outcome outcomeOf(const wire_fields& fields, const exchange_result& result)
{
    auto outcome = toAttemptOutcome(result.status);
    if (outcome != attempt_outcome::answered) {
        return outcome;
    }
    const auto& head = result.response.head;
    if (head.getStatus() == Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST) {
        return attempt_outcome::wrongUpstream;
    }
    if (head.has(fields.notRun)) {
        return attempt_outcome::refused;
    }
    bool isProven = head.has(fields.seal) && !head.has("Content-Encoding");
    return head.getStatus() >= firstRedirection || isProven ? attempt_outcome::answered
                                                            : attempt_outcome::broken;
}

}
