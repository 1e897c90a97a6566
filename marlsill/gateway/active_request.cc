#include "marlsill/gateway/active_request.h"

#include "marlsill/base/hash.h"

#include <algorithm>

namespace marlsill::gateway {

std::uint64_t fingerprintOf(const http::request_message& request, const std::string& accountField)
{
    auto fingerprint = fastHash(request.head.getMethod());
    fingerprint = fastHash(request.head.getHost(), fingerprint);
    fingerprint = fastHash(request.head.getURI(), fingerprint);
    fingerprint = fastHash(request.head.get(accountField, ""), fingerprint);
    return fastHash(request.body, fingerprint);
}

std::string callerOf(
    const http::request_message& request, const std::string& accountField, const std::string& address)
{
    auto account = request.head.get(accountField, "");
    return account.empty() ? address : "account:" + std::to_string(fastHash(account));
}

bool isSuccess(const placement::completed_attempt& attempt)
{
    return attempt.outcome == placement::attempt_outcome::answered && attempt.status >= 200
        && attempt.status < 300;
}

void active_request::cancel()
{
    isCancelled = true;
    wakeTimer.cancel();
    if (relayConnection) {
        relayConnection->abort();
    }
}

bool active_request::mayHaveRun() const
{
    return std::any_of(attempts.begin(), attempts.end(), [](const auto& each) {
        bool isProvenNotRun = each->isEvaluated && !placement::mayHaveRun(each->outcome.outcome);
        return each->isSent && !isProvenNotRun;
    });
}

bool active_request::hasSucceeded() const
{
    return std::any_of(
        attempts.begin(), attempts.end(), [](const auto& each) { return isSuccess(each->outcome); });
}

void active_request::abortAttempts()
{
    for (auto& each : attempts) {
        if (!each->isFinished) {
            each->isFinished = true;
            if (each->connection) {
                each->connection->abort();
            }
        }
    }
}

}
