#include "marlsill/entry/request_handler.h"

#include "marlsill/base/hash.h"
#include "marlsill/events/events.h"
#include "marlsill/http/field_names.h"
#include "marlsill/http/message_writer.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

namespace marlsill::entry {

namespace {

    constexpr std::string_view directoryPath = "/v1/addresses";
    constexpr std::chrono::milliseconds retrySoon { 1000 };
    constexpr std::chrono::milliseconds askAgainPause { 50 };
    constexpr std::chrono::milliseconds writeLimit { 10'000 };
    constexpr std::int64_t maxTimeoutMilliseconds = 3'600'000;

    std::optional<std::int64_t> parseTimeout(const std::string& text)
    {
        std::int64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        bool isValid = error == std::errc() && end == text.data() + text.size() && value >= 1
            && value <= maxTimeoutMilliseconds;
        return isValid ? std::optional(value) : std::nullopt;
    }

    // Methods that HTTP defines as idempotent.
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

    dispatch_result fromStored(const http::response_message& stored)
    {
        auto answer = std::make_shared<http::response_message>(stored);
        setOutcome(answer->head, outcome::ran, "stored-answer");
        return { .told = outcome::ran, .why = "stored-answer", .answer = std::move(answer) };
    }

    // Tells a resend what became of the first sending.
    dispatch_result fromKeyAnswer(const key_answer& known)
    {
        switch (known.status) {
        case key_answer_status::finished:
            return known.answer ? fromStored(*known.answer)
                                : dispatch_result { outcome::ran, "answer-not-kept", 409 };
        case key_answer_status::cancelled:
            return { outcome::notRun, "cancelled-use-a-new-key", 409 };
        case key_answer_status::otherRequest:
            return { outcome::notRun, "key-used-for-another-request", 422 };
        case key_answer_status::undetermined:
            return { outcome::unknown, "undetermined", 502 };
        case key_answer_status::inProgress:
            return { outcome::unknown, "in-progress", 504, retrySoon };
        case key_answer_status::unreachable:
            break;
        }
        return { outcome::unknown, "named-incarnation-unreachable", 502, retrySoon };
    }

}

// One routed request and what is known of it.
struct request_handler::request_view {
    const http::request_message& request;
    const routing::routed_service& service;
    http::channel& caller;
    std::string account;
    deadline limit;
    bool isNotRepeatable = false;
};

request_handler::request_handler(handler_parts parts, handler_options options)
    : m_parts(std::move(parts))
    , m_options(std::move(options))
{
}

bool request_handler::serve(http::channel& caller)
{
    http::request_message request;
    auto status
        = http::readRequest(caller, request, m_options.requestLimits, deadlineAfter(m_options.readLimit));
    switch (status) {
    case http::read_status::complete:
        break;
    case http::read_status::malformed:
        logEvent(event::callerRequestMalformed, { { "caller", caller.socket().peerAddress().toString() } });
        write(caller, makeOutcome(outcome::notRun, "malformed-request", 400), "", false);
        return false;
    case http::read_status::bodyTooLarge:
        write(caller, makeOutcome(outcome::notRun, "request-too-large", 413), "", false);
        return false;
    default:
        return false;
    }
    bool isDone = false;
    bool isBroken = false;
    auto message = answer(caller, request, isDone, isBroken);
    bool keepAlive = request.head.getKeepAlive() && !m_asksToClose && !isBroken;
    if (isDone) {
        return keepAlive;
    }
    return write(caller, std::move(message), request.head.getMethod(), keepAlive) && keepAlive;
}

bool request_handler::write(
    http::channel& caller, http::response_message message, const std::string& method, bool keepAlive)
{
    message.head.set("Connection", keepAlive ? "Keep-Alive" : "Close");
    auto bytes = http::serialize(message, method);
    return caller.write(bytes, deadlineAfter(writeLimit)) == http::io_status::ok;
}

http::response_message request_handler::answer(
    http::channel& caller, const http::request_message& request, bool& isDone, bool& isBroken)
{
    auto started = steady_clock::now();
    auto path = routing::canonicalPath(request.head.getURI());
    if (!path) {
        return makeOutcome(outcome::notRun, "malformed-target", 400);
    }
    if (*path == directoryPath) {
        return answerDirectory(request);
    }
    if (!m_isReady) {
        return makeOutcome(outcome::notRun, "no-configuration-yet", 503, retrySoon);
    }
    thread_local routing::snapshot_reader reader(m_parts.snapshots);
    auto current = reader.current();
    auto index = current->routes->find(request.head.get("Host", ""), *path);
    if (!index) {
        return makeOutcome(outcome::notRun, "no-route", 404);
    }
    const auto& service = *current->services[*index];
    auto timeout = std::optional<std::int64_t>(service.rules.timeoutMilliseconds);
    if (request.head.has(http::field::requestTimeoutMs)) {
        timeout = parseTimeout(request.head.get(http::field::requestTimeoutMs));
    }
    if (!timeout) {
        return makeOutcome(outcome::notRun, "malformed-timeout", 400);
    }
    auto account
        = request.head.get(http::field::clientAccount, caller.socket().peerAddress().host().toString());
    request_view view { request, service, caller, std::move(account),
        started + std::chrono::milliseconds(*timeout) };
    view.isNotRepeatable = routing::isNotRepeatable(service.rules, request.head.getMethod(), *path);
    auto key = request.head.get(http::field::idempotencyKey, "");
    auto result = view.isNotRepeatable && !key.empty() ? runWithKey(view, key) : runOnce(view);
    isDone = result.wasStreamed;
    isBroken = result.isCallerBroken;
    if (m_parts.report) {
        int status = result.answer ? result.answer->head.getStatus() : result.status;
        m_parts.report({ service.name, result.upstream, view.isNotRepeatable ? key : "", view.isNotRepeatable,
            result.told, result.why, status, steady_clock::now() - started,
            std::chrono::milliseconds(service.rules.objective.latencyMilliseconds) });
    }
    return result.answer ? *result.answer
                         : makeOutcome(result.told, result.why, result.status, result.retryAfter);
}

dispatch_result request_handler::runOnce(const request_view& view)
{
    if (view.isNotRepeatable && view.service.rules.requiresKey) {
        return { outcome::notRun, "key-required", 428 };
    }
    return run(view, nullptr);
}

dispatch_result request_handler::run(const request_view& view, dedup::key_entry* key)
{
    bool isIdempotent = !view.isNotRepeatable && isIdempotentMethod(view.request.head.getMethod());
    return m_parts.requests.run({ view.request, view.service, view.account, view.limit, view.isNotRepeatable,
        isIdempotent, key, &view.caller });
}

dispatch_result request_handler::runWithKey(const request_view& view, const std::string& key)
{
    if (key.size() > dedup::maxKeyLength) {
        return { outcome::notRun, "key-too-long", 400 };
    }
    auto parsed = dedup::parseKey(key);
    if (!parsed) {
        return runWithClaim(view, key);
    }
    return parsed->incarnation == m_options.incarnation ? runWithOwnKey(view, key)
                                                        : runWithForeignKey(view, key);
}

dispatch_result request_handler::runWithOwnKey(const request_view& view, const std::string& key)
{
    auto requestHash = requestHashOf(view.request, view.account);
    auto begun = m_parts.ledger.begin(key, requestHash, steady_clock::now());
    switch (begun.status) {
    case dedup::begin_status::isNew:
        return run(view, begun.entry.get());
    case dedup::begin_status::exists:
        begun.entry->waitUntilSettled(view.limit);
        return fromKeyAnswer(answerFromLedger(m_parts.ledger, { key, requestHash }));
    case dedup::begin_status::otherRequest:
        return { outcome::notRun, "key-used-for-another-request", 422 };
    case dedup::begin_status::full:
        return { outcome::notRun, "no-memory-for-keys", 503, retrySoon };
    case dedup::begin_status::expired:
        break;
    }
    return { outcome::unknown, "key-expired", 409 };
}

dispatch_result request_handler::runWithForeignKey(const request_view& view, const std::string& key)
{
    key_question question { key, requestHashOf(view.request, view.account) };
    while (true) {
        auto known = m_parts.resolve(question, view.limit);
        bool isFinal = known.status != key_answer_status::inProgress
            || hasPassed(view.limit, steady_clock::now() + askAgainPause);
        if (isFinal) {
            return fromKeyAnswer(known);
        }
        std::this_thread::sleep_for(askAgainPause);
    }
}

dispatch_result request_handler::runWithClaim(const request_view& view, const std::string& key)
{
    reason why;
    auto scopedKey = sha256Hex(view.account + '\n' + view.service.name + '\n' + key);
    auto claim = m_parts.claim(scopedKey, view.limit, why);
    if (!claim) {
        return { outcome::notRun, "key-not-claimed", 503, retrySoon };
    }
    auto parsed = dedup::parseKey(claim->internalKey);
    if (!parsed) {
        return { outcome::unknown, "malformed-claim", 502 };
    }
    bool isHere = claim->isOurs || parsed->incarnation == m_options.incarnation;
    return isHere ? runWithOwnKey(view, claim->internalKey) : runWithForeignKey(view, claim->internalKey);
}

http::response_message request_handler::answerDirectory(const http::request_message& request) const
{
    std::string service;
    std::string nearDomain;
    try {
        for (const auto& [name, value] : Poco::URI(request.head.getURI()).getQueryParameters()) {
            if (name == "service") {
                service = value;
            } else if (name == "near") {
                nearDomain = value;
            }
        }
    } catch (const Poco::Exception&) {
        return makeOutcome(outcome::notRun, "malformed-target", 400);
    }
    auto current = m_parts.snapshots.load();
    const auto* place = current->find(service);
    if (!m_isReady || !place) {
        int status = m_isReady ? 404 : 503;
        return makeOutcome(
            outcome::notRun, m_isReady ? "no-such-service" : "no-configuration-yet", status, retrySoon);
    }
    auto message = http::makeResponse(200, "application/json",
        directoryJson(*place, nearDomain, wall_clock::now(), m_options.directoryTtl));
    auto seconds = std::chrono::floor<std::chrono::seconds>(m_options.directoryTtl).count();
    message.head.set("Cache-Control", "max-age=" + std::to_string(seconds));
    return message;
}

}
