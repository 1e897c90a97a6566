#include "marlsill/entry/outcome.h"

#include "marlsill/http/field_names.h"
#include "marlsill/http/message_writer.h"

namespace marlsill::entry {

std::string_view toText(outcome requestOutcome)
{
    switch (requestOutcome) {
    case outcome::ran:
        return "ran";
    case outcome::notRun:
        return "not-run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

void setOutcome(Poco::Net::HTTPResponse& head, outcome requestOutcome, std::string_view reasonText)
{
    head.set(http::field::outcome, std::string(toText(requestOutcome)));
    if (!reasonText.empty()) {
        head.set(http::field::outcomeReason, std::string(reasonText));
    }
}

http::response_message makeOutcome(
    outcome requestOutcome, std::string_view reasonText, int status, std::chrono::milliseconds retryAfter)
{
    auto text = std::string(toText(requestOutcome)) + ": " + std::string(reasonText) + "\n";
    auto message = http::makeResponse(status, "text/plain", std::move(text));
    setOutcome(message.head, requestOutcome, reasonText);
    if (retryAfter.count() > 0) {
        auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        message.head.set(http::field::retryAfter, std::to_string(seconds));
    }
    return message;
}

}
