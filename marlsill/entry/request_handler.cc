#include "marlsill/entry/request_handler.h"

#include "marlsill/base/hash.h"
#include "marlsill/events/events.h"
#include "marlsill/http/field_names.h"
#include "marlsill/http/message_writer.h"
#include "marlsill/http/request_target.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

namespace marlsill::entry {

namespace {

    constexpr std::string_view directoryPath = "/v1/addresses";
    constexpr std::chrono::milliseconds defaultRetryAfter { 1000 };
    constexpr std::chrono::milliseconds remoteKeyPollInterval { 50 };
    constexpr std::chrono::milliseconds responseWriteTimeout { 10'000 };
    constexpr std::int64_t maxTimeoutMilliseconds = 3'600'000;

    std::optional<std::int64_t> parseTimeout(const std::string& text)
    {
        std::int64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        bool isValid = error == std::errc() && end == text.data() + text.size() && value >= 1
            && value <= maxTimeoutMilliseconds;
        return isValid ? std::optional(value) : std::nullopt;
    }

    // Returns whether HTTP defines the method as idempotent.
    bool isIdempotentMethod(const std::string& method)
    {
        constexpr std::string_view methods[] = { "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE" };
        return std::find(std::begin(methods), std::end(methods), method) != std::end(methods);
    }

    std::uint64_t requestHashOf(const http::request_message& request, std::string_view account)
    {
        auto hash = fastHash(account, fingerprintOf(request));
        return hash == 0 ? 1 : hash;
    }

    dispatch_result replayStoredResponse(const http::response_message& stored)
    {
        auto response = std::make_shared<http::response_message>(stored);
        setOutcome(response->head, outcome::ran, "stored-answer");
        return {
            .requestOutcome = outcome::ran, .outcomeReason = "stored-answer", .response = std::move(response)
        };
    }

    // Converts what is known of a key into the result of a resent request.
    dispatch_result toDispatchResult(const key_answer& keyAnswer)
    {
        switch (keyAnswer.status) {
        case key_answer_status::finished:
            return keyAnswer.response ? replayStoredResponse(*keyAnswer.response)
                                      : dispatch_result { outcome::ran, "answer-not-kept", 409 };
        case key_answer_status::cancelled:
            return { outcome::notRun, "cancelled-use-a-new-key", 409 };
        case key_answer_status::otherRequest:
            return { outcome::notRun, "key-used-for-another-request", 422 };
        case key_answer_status::undetermined:
            return { outcome::unknown, "undetermined", 502 };
        case key_answer_status::inProgress:
            return { outcome::unknown, "in-progress", 504, defaultRetryAfter };
        case key_answer_status::unreachable:
            break;
        }
        return { outcome::unknown, "named-incarnation-unreachable", 502, defaultRetryAfter };
    }

}

// A routed request, its service and its deadline.
struct request_handler::request_context {
    const http::request_message& request;
    const routing::routed_service& service;
    http::channel& caller;
    std::string account;
    deadline requestDeadline;
    bool isNotRepeatable = false;
};

request_handler::request_handler(handler_dependencies dependencies, handler_options options)
    : m_dependencies(std::move(dependencies))
    , m_options(std::move(options))
{
}

bool request_handler::serve(http::channel& caller)
{
    http::request_message request;
    auto status = http::readRequest(
        caller, request, m_options.requestLimits, deadlineAfter(m_options.requestReadTimeout));
    switch (status) {
    case http::read_status::complete:
        break;
    case http::read_status::malformed:
        logEvent(event::callerRequestMalformed, { { "caller", caller.socket().peerAddress().toString() } });
        writeResponse(caller, makeOutcome(outcome::notRun, "malformed-request", 400), "", false);
        return false;
    case http::read_status::bodyTooLarge:
        writeResponse(caller, makeOutcome(outcome::notRun, "request-too-large", 413), "", false);
        return false;
    default:
        return false;
    }
    bool isResponseSent = false;
    bool mustClose = false;
    auto message = handle(caller, request, isResponseSent, mustClose);
    bool keepAlive = request.head.getKeepAlive() && !m_closesAfterResponses && !mustClose;
    if (isResponseSent) {
        return keepAlive;
    }
    return writeResponse(caller, std::move(message), request.head.getMethod(), keepAlive) && keepAlive;
}

bool request_handler::writeResponse(
    http::channel& caller, http::response_message message, const std::string& method, bool keepAlive)
{
    message.head.set("Connection", keepAlive ? "Keep-Alive" : "Close");
    auto bytes = http::serialize(message, method);
    return caller.write(bytes, deadlineAfter(responseWriteTimeout)) == http::io_status::ok;
}

http::response_message request_handler::handle(
    http::channel& caller, const http::request_message& request, bool& isResponseSent, bool& mustClose)
{
    auto started = steady_clock::now();
    auto path = routing::canonicalPath(request.head.getURI());
    if (!path) {
        return makeOutcome(outcome::notRun, "malformed-target", 400);
    }
    if (*path == directoryPath) {
        return makeDirectoryResponse(request);
    }
    if (m_isExpired) {
        return makeOutcome(outcome::notRun, "stopping", 503, defaultRetryAfter);
    }
    if (!m_isReady) {
        return makeOutcome(outcome::notRun, "no-configuration-yet", 503, defaultRetryAfter);
    }
    thread_local routing::snapshot_reader reader(m_dependencies.snapshots);
    auto snapshot = reader.current();
    auto serviceIndex = snapshot->routes->find(request.head.get("Host", ""), *path);
    if (!serviceIndex) {
        return makeOutcome(outcome::notRun, "no-route", 404);
    }
    const auto& service = *snapshot->services[*serviceIndex];
    auto timeout = std::optional<std::int64_t>(service.rules.timeoutMilliseconds);
    if (request.head.has(http::field::requestTimeoutMs)) {
        timeout = parseTimeout(request.head.get(http::field::requestTimeoutMs));
    }
    if (!timeout) {
        return makeOutcome(outcome::notRun, "malformed-timeout", 400);
    }
    auto account
        = request.head.get(http::field::clientAccount, caller.socket().peerAddress().host().toString());
    request_context context { request, service, caller, std::move(account),
        started + std::chrono::milliseconds(*timeout) };
    context.isNotRepeatable = routing::isNotRepeatable(service.rules, request.head.getMethod(), *path);
    auto key = request.head.get(http::field::idempotencyKey, "");
    auto result = context.isNotRepeatable && !key.empty() ? runWithKey(context, key) : runWithoutKey(context);
    isResponseSent = result.wasStreamed;
    mustClose = result.mustCloseConnection;
    if (m_dependencies.report) {
        int status = result.response ? result.response->head.getStatus() : result.status;
        m_dependencies.report(
            { service.name, result.upstream, context.isNotRepeatable ? key : "", context.isNotRepeatable,
                result.requestOutcome, result.outcomeReason, status, steady_clock::now() - started,
                std::chrono::milliseconds(service.rules.objective.latencyMilliseconds) });
    }
    return result.response
        ? *result.response
        : makeOutcome(result.requestOutcome, result.outcomeReason, result.status, result.retryAfter);
}

dispatch_result request_handler::runWithoutKey(const request_context& context)
{
    if (context.isNotRepeatable && context.service.rules.requiresKey) {
        return { outcome::notRun, "key-required", 428 };
    }
    return dispatch(context, nullptr);
}

dispatch_result request_handler::dispatch(const request_context& context, dedup::key_entry* key)
{
    bool isIdempotent = !context.isNotRepeatable && isIdempotentMethod(context.request.head.getMethod());
    return m_dependencies.requests.run({ context.request, context.service, context.account,
        context.requestDeadline, context.isNotRepeatable, isIdempotent, key, &context.caller });
}

dispatch_result request_handler::runWithKey(const request_context& context, const std::string& key)
{
    if (key.size() > dedup::maxKeyLength) {
        return { outcome::notRun, "key-too-long", 400 };
    }
    auto parsed = dedup::parseKey(key);
    if (!parsed) {
        return runWithClaimedKey(context, key);
    }
    return parsed->incarnation == m_options.incarnation ? runWithLocalKey(context, key)
                                                        : runWithRemoteKey(context, key);
}

dispatch_result request_handler::runWithLocalKey(const request_context& context, const std::string& key)
{
    auto requestHash = requestHashOf(context.request, context.account);
    auto ledgerResult = m_dependencies.ledger.begin(key, requestHash, steady_clock::now());
    switch (ledgerResult.status) {
    case dedup::begin_status::isNew:
        return dispatch(context, ledgerResult.entry.get());
    case dedup::begin_status::exists:
        ledgerResult.entry->waitUntilSettled(context.requestDeadline);
        return toDispatchResult(answerFromLedger(m_dependencies.ledger, { key, requestHash }));
    case dedup::begin_status::otherRequest:
        return { outcome::notRun, "key-used-for-another-request", 422 };
    case dedup::begin_status::full:
        return { outcome::notRun, "no-memory-for-keys", 503, defaultRetryAfter };
    case dedup::begin_status::expired:
        break;
    }
    return { outcome::unknown, "key-expired", 409 };
}

dispatch_result request_handler::runWithRemoteKey(const request_context& context, const std::string& key)
{
    key_question question { key, requestHashOf(context.request, context.account) };
    while (true) {
        auto keyAnswer = m_dependencies.resolve(question, context.requestDeadline);
        bool isFinal = keyAnswer.status != key_answer_status::inProgress || m_isExpired
            || hasPassed(context.requestDeadline, steady_clock::now() + remoteKeyPollInterval);
        if (isFinal) {
            return toDispatchResult(keyAnswer);
        }
        std::this_thread::sleep_for(remoteKeyPollInterval);
    }
}

dispatch_result request_handler::runWithClaimedKey(const request_context& context, const std::string& key)
{
    reason why;
    auto scopedKey = sha256Hex(context.account + '\n' + context.service.name + '\n' + key);
    auto claim = m_dependencies.claim(scopedKey, context.requestDeadline, why);
    if (!claim) {
        return { outcome::notRun, "key-not-claimed", 503, defaultRetryAfter };
    }
    auto parsed = dedup::parseKey(claim->internalKey);
    if (!parsed) {
        return { outcome::unknown, "malformed-claim", 502 };
    }
    bool isLocal = claim->isNewClaim || parsed->incarnation == m_options.incarnation;
    return isLocal ? runWithLocalKey(context, claim->internalKey)
                   : runWithRemoteKey(context, claim->internalKey);
}

http::response_message request_handler::makeDirectoryResponse(const http::request_message& request) const
{
    auto target = http::parseTarget(request.head.getURI());
    if (!target) {
        return makeOutcome(outcome::notRun, "malformed-target", 400);
    }
    auto snapshot = m_dependencies.snapshots.load();
    const auto* found = snapshot->find(target->parameter("service"));
    if (!m_isReady || !found) {
        int status = m_isReady ? 404 : 503;
        return makeOutcome(outcome::notRun, m_isReady ? "no-such-service" : "no-configuration-yet", status,
            defaultRetryAfter);
    }
    auto message = http::makeResponse(200, "application/json",
        directoryJson(*found, target->parameter("near"), wall_clock::now(), m_options.directoryTtl));
    auto seconds = std::chrono::floor<std::chrono::seconds>(m_options.directoryTtl).count();
    message.head.set("Cache-Control", "max-age=" + std::to_string(seconds));
    return message;
}

}
