#include "marlsill/gateway/gateway.h"

#include "marlsill/events/events.h"
#include "marlsill/supervisor/loop_guard.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cstdio>

namespace marlsill::gateway {

namespace {

    constexpr std::int64_t maxTimeoutMs = 3'600'000;
    constexpr std::chrono::milliseconds startupRetryDelay { 500 }; // Retry-After without a configuration.
    constexpr std::chrono::milliseconds drainRetryDelay { 50 }; // The caller only has to choose another VM.
    constexpr double minRetryAfterSeconds = 0.01; // The resolution of the field.
    constexpr std::chrono::milliseconds drainPollInterval { 50 };
    constexpr std::chrono::milliseconds finalPollInterval { 10 };
    constexpr std::chrono::milliseconds finalWriteTime { 250 }; // For responses to leave the VM before exit.

    // Parses the caller's timeout, capped at `maxTimeoutMs`. Returns std::nullopt if the field is absent.
    // Sets `isValid` to false if it is malformed.
    std::optional<std::chrono::milliseconds> callerTimeout(const std::string& text, bool& isValid)
    {
        isValid = true;
        if (text.empty()) {
            return std::nullopt;
        }
        std::int64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        isValid = error == std::errc() && end == text.data() + text.size() && value >= 0;
        return std::chrono::milliseconds(std::min(value, maxTimeoutMs));
    }

    asio::awaitable<void> sleepFor(asio::io_context& io, std::chrono::milliseconds duration)
    {
        asio::steady_timer timer(io, duration);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

}

gateway::gateway(asio::io_context& io, gateway_options options, wire_fields wire)
    : m_io(io)
    , m_options(std::move(options))
    , m_forwarder(io, m_options.forwarding, std::move(wire))
    , m_callerBuffers(m_options.maxCallerBuffers)
    , m_callerServer(io,
          { .endpoint = m_options.callerEndpoint,
              .limits =
                  [this] {
                      return m_forwarder.currentConfiguration() ? m_forwarder.currentConfiguration()->limits()
                                                                : caller_limits();
                  },
              .buffers = &m_callerBuffers },
          [this](auto request) { return serve(std::move(request)); })
{
}

boost::system::error_code gateway::start()
{
    auto failure = m_callerServer.start();
    if (!failure && !std::exchange(m_isSweeping, true)) {
        spawnSupervised(m_io, "sweep", [this] { return sweepLoop(); });
    }
    return failure;
}

bool gateway::isBusy() const
{
    return m_forwarder.inFlightRequests() > 0 || m_callerServer.isBusy()
        || (m_relayServer && m_relayServer->isBusy());
}

bool gateway::isReady() const
{
    return m_knowsUpstreams && m_forwarder.currentConfiguration() && !isStopping();
}

http::response_message gateway::makeUnroutedReply(const std::string& id, int status, std::string_view why)
{
    const auto& config = m_forwarder.currentConfiguration();
    ++m_forwarder.counters().noRoute;
    logEvent(event::requestNotRouted,
        { { "request", id }, { "status", std::to_string(status) }, { "why", std::string(why) },
            { "config", config ? std::to_string(config->version()) : "none" } });
    auto message = status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE
        ? m_forwarder.makeServiceUnavailable(why, isStopping() ? drainRetryDelay : startupRetryDelay)
        : m_forwarder.makeLocalReply(status, why);
    return message;
}

asio::awaitable<std::optional<http::response_message>> gateway::serve(std::shared_ptr<served_request> request)
{
    auto& head = request->message.head;
    const auto& wire = m_forwarder.wire();
    removeRelayFields(head); // Those of peers have been taken off before.
    auto id = head.get(wire.requestId, "");
    auto config = m_forwarder.currentConfiguration();
    if (!config || !m_knowsUpstreams) {
        co_return makeUnroutedReply(id, 503, "no configuration is known yet");
    }
    const auto* matchedRoute = config->routes().find(head.getHost(), head.getURI());
    if (!matchedRoute) {
        co_return makeUnroutedReply(id, 404, "no route");
    }
    auto current = std::make_shared<active_request>(m_io, std::move(request->message));
    head.setMethod(current->request.head.getMethod());
    current->id = id;
    current->arrivedAt = request->arrivedAt;
    current->earlierArrivals = request->earlierArrivals;
    current->keyDigest = request->relayedKey;
    current->config = config;
    current->matchedRoute = matchedRoute;
    auto access = m_forwarder.accessControl().admit(*current, *config, *matchedRoute);
    if (access != access_decision::granted) {
        co_return withId(m_forwarder.denyAccess(*current, access), *current);
    }
    bool isValid = true;
    auto timeout = callerTimeout(current->request.head.get(wire.timeoutMs, ""), isValid);
    if (!isValid) {
        co_return makeUnroutedReply(id, 400, "malformed time limit");
    }
    current->caller = callerOf(current->request, m_forwarder.accountFieldOf(*current), request->caller);
    current->callerDeadline = request->arrivedAt + timeout.value_or(std::chrono::milliseconds(maxTimeoutMs));
    current->isRelayed = request->isRelayed;
    current->isCounted = request->isCounted;
    current->state.possibleRuns = request->earlierArrivals;
    request->cancel = [current] { current->cancel(); };
    bool isCountedHere = current->account && !current->isRelayed;
    auto& accounts = m_forwarder.counters().accounts;
    if (isCountedHere) {
        accounts.countRequest(current->account->name);
    }
    auto response = co_await forwardWithinLimit(current);
    request->cancel = {};
    if (!response) {
        co_return std::nullopt;
    }
    if (isCountedHere && response->isFromUpstream) {
        accounts.countAnswered(current->account->name);
    }
    co_return withId(std::move(*response), *current);
}

// Returns the message of a response, which names the request also if this VM has generated it.
http::response_message gateway::withId(final_response response, const active_request& current) const
{
    if (!response.isFromUpstream && !current.id.empty()) {
        response.message.head.set(m_forwarder.wire().requestId, current.id);
    }
    return std::move(response.message);
}

// Forwards a request once its account has a token for it. A peer that relays a request has taken one.
asio::awaitable<std::optional<final_response>> gateway::forwardWithinLimit(
    std::shared_ptr<active_request> current)
{
    bool isLimited = m_accountLimiter && current->account && current->account->requestsPerSecond > 0
        && !current->isRelayed;
    if (!isLimited) {
        co_return co_await forwardOrRelay(current);
    }
    auto account = current->account->name;
    accounts::account_limit limit { .requestsPerSecond = current->account->requestsPerSecond,
        .burst = current->account->burst,
        .version = current->config->version() };
    auto decision = co_await m_accountLimiter->take(account, limit, current);
    if (decision.status == limit_status::cancelled) {
        ++m_forwarder.counters().cancelled;
        co_return std::nullopt;
    }
    if (decision.status != limit_status::allowed) {
        co_return refuseByLimit(*current, decision);
    }
    auto response = co_await forwardOrRelay(current);
    bool isUnrun = response && !response->isFromUpstream && !current->mayHaveRun()
        && response->message.head.getStatus() == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    if (isUnrun) {
        m_accountLimiter->giveBack(account, decision);
    }
    co_return response;
}

// Refuses a request without a token: with 429 if its account has used up its limit, else with 503.
final_response gateway::refuseByLimit(const active_request& current, const limit_decision& decision)
{
    bool isOverLimit = decision.status == limit_status::overLimit;
    auto known = m_accountLimiter->knowledgeOf(current.account->name);
    auto& counters = m_forwarder.counters();
    ++(isOverLimit ? counters.overLimitRefusals : counters.noLenderRefusals);
    if (isOverLimit) {
        counters.accounts.countLimited(current.account->name);
    }
    auto why = decision.status == limit_status::stopping ? "this VM is stopping"
        : isOverLimit                                    ? "the account has used up its limit"
                                                         : "no VM lends for the account";
    logEvent(isOverLimit ? event::requestOverLimit : event::requestWithoutLender,
        { { "request", current.id }, { "account", current.account->name }, { "why", why },
            { "rate", std::to_string(current.account->requestsPerSecond) },
            { "burst", std::to_string(current.account->burst) },
            { "shares", std::to_string(known.shares) + "/" + std::to_string(known.shareCount) },
            { "answer_age_ms", known.answerAge ? std::to_string(known.answerAge->count()) : "none" },
            { "retry_after_ms", std::to_string(decision.retryAfter.count()) },
            { "elapsed_ms",
                std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                    steady_clock::now() - current.arrivedAt)
                                   .count()) },
            { "config", std::to_string(current.config->version()) } });
    if (!isOverLimit) {
        return { m_forwarder.makeServiceUnavailable(why, decision.retryAfter) };
    }
    auto message = m_forwarder.makeLocalReply(Poco::Net::HTTPResponse::HTTP_TOO_MANY_REQUESTS, why);
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.2f",
        std::max(minRetryAfterSeconds, std::chrono::duration<double>(decision.retryAfter).count()));
    message.head.set("Retry-After", seconds);
    return { std::move(message) };
}

// Forwards a request to an upstream, or to a peer if this VM cannot reach any.
asio::awaitable<std::optional<final_response>> gateway::forwardOrRelay(
    std::shared_ptr<active_request> current)
{
    auto response = co_await m_forwarder.forwardRequest(current);
    if (!response || !response->mustRelay) {
        co_return response;
    }
    auto peers
        = m_relayPeersFor ? m_relayPeersFor(current->request.head.getHost()) : std::vector<std::string>();
    relay_outcome outcome;
    if (!peers.empty()) {
        outcome = co_await m_relay->send(current, std::move(peers));
    }
    if (current->isCancelled) {
        co_return std::nullopt;
    }
    if (outcome.status == relay_status::answered) {
        co_return final_response { std::move(outcome.response), true };
    }
    co_return m_forwarder.finishUnrelayed(*current, outcome.status == relay_status::unknown);
}

asio::awaitable<std::optional<http::response_message>> gateway::serveRelayed(
    std::shared_ptr<served_request> request)
{
    auto version = takeRelayFields(*request);
    const auto& config = m_forwarder.currentConfiguration();
    bool canCheckKey = !request->relayedKey || m_forwarder.accessControl().areKeysFresh();
    bool canServe = version && isReady() && config->version() >= *version && canCheckKey
        && !m_forwarder.reachability().isCutOff();
    if (!canServe) {
        co_return makeDecliningReply("this VM does not take relayed requests now");
    }
    auto response = co_await serve(std::move(request));
    if (response) {
        removeRelayFields(*response); // A decline is this VM's to state, not an upstream's.
    }
    co_return response;
}

asio::awaitable<void> gateway::sweepLoop()
{
    while (true) {
        co_await sleepFor(m_io, m_options.sweepInterval);
        m_forwarder.sweep();
        m_callerServer.sweep();
        if (m_relay) {
            m_relay->sweep();
        }
    }
}

void gateway::beginStop(deadline exitDeadline, std::function<void()> onDone)
{
    if (m_exitDeadline) {
        return;
    }
    m_exitDeadline = exitDeadline;
    m_forwarder.beginStop({ steady_clock::now(), exitDeadline });
    if (m_accountLimiter) {
        m_accountLimiter->beginStop();
    }
    m_callerServer.beginDrain();
    if (m_relayServer) {
        m_relayServer->beginDrain(idle_connections::keep);
    }
    spawnSupervised(m_io, "drain", [this, onDone = std::move(onDone)] { return drainLoop(onDone); });
}

asio::awaitable<void> gateway::drainLoop(std::function<void()> onDone)
{
    auto earliestExit = std::min(*m_exitDeadline, deadlineAfter(m_options.minDrainTime));
    auto idleSince = steady_clock::now();
    bool isDone = false;
    while (!isDone && !hasPassed(*m_exitDeadline, steady_clock::now())) {
        co_await sleepFor(m_io, drainPollInterval);
        auto now = steady_clock::now();
        if (isBusy()) {
            idleSince = now;
        }
        isDone = hasPassed(earliestExit, now) && now - idleSince > finalWriteTime;
    }
    // The responses of what is given up are still written, also by a VM that runs late.
    m_forwarder.expireRequests();
    if (m_relay) {
        m_relay->expireRequests();
    }
    m_callerServer.refuseUnfinished();
    if (m_relayServer) {
        m_relayServer->refuseUnfinished();
    }
    auto writeUntil = deadlineAfter(finalWriteTime);
    while (isBusy() && !hasPassed(writeUntil, steady_clock::now())) {
        co_await sleepFor(m_io, finalPollInterval);
    }
    m_callerServer.stopAccepting();
    onDone();
}

}
