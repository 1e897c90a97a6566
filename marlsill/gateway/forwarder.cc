#include "marlsill/gateway/forwarder.h"

#include "marlsill/base/hash.h"
#include "marlsill/events/events.h"
#include "marlsill/gateway/attempt_response.h"
#include "marlsill/gateway/endpoint.h"
#include "marlsill/gateway/response_match.h"
#include "marlsill/http/message_writer.h"
#include "marlsill/supervisor/loop_guard.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marlsill::gateway {

using placement::attempt_outcome;
using placement::choice_status;
using placement::next_step;

namespace {

    // Waiting callers come back when others may have told them of VMs that are not cut off.
    constexpr std::chrono::milliseconds cutOffRetryDelay { 300 };
    constexpr std::chrono::milliseconds staleKeysRetryDelay { 300 }; // Likewise, of VMs that know the keys.
    constexpr const char* connectFailed = "cannot connect";
    constexpr const char* permitsUsedUp = "the upstreams' limits are used up";
    constexpr const char* vmIsStopping = "this VM is stopping";
    constexpr std::chrono::milliseconds stopRetryDelay { 50 }; // The caller only has to choose another VM.
    // With thousands of services each is observed once in minutes, and its serving VMs are worked out then.
    constexpr std::size_t servicesPerSweep = 4;
    constexpr int latencyHeadroomFactor = 2; // Multiple of the usual latency that a request may need.

    std::chrono::milliseconds toMilliseconds(steady_clock::duration interval)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(interval);
    }

    std::int64_t toMs(steady_clock::duration interval) { return toMilliseconds(interval).count(); }

}

forwarder::forwarder(asio::io_context& io, forwarder_options options, wire_fields wire)
    : m_io(io)
    , m_options(std::move(options))
    , m_wire(std::move(wire))
    , m_loadBalancer({ .failureDomain = m_options.failureDomain })
    , m_responseBuffers(m_options.maxResponseBuffers)
    , m_access(m_wire, m_counters)
    , m_crashMonitor(io, m_loadBalancer, m_counters,
          { .connectTimeout = m_options.connectTimeout,
              .source = m_options.upstreamSource,
              .quarantine = m_options.quarantine })
    , m_rateLimiter(
          m_loadBalancer, m_counters, [this](const std::string& service) { wakeNextQueued(service); })
    , m_leavingMonitor(m_loadBalancer, m_counters, m_wire.leaving,
          [this](const placement::upstream_entry& upstream) { handleLeaving(upstream); })
    , m_turnAways(m_loadBalancer, m_counters)
    , m_reachability(io, m_loadBalancer, { .source = m_options.upstreamSource })
    , m_absenceDetector(m_options.shortestAbsence)
{
    m_crashMonitor.setLinkCheck([this] { return m_reachability.isSuspicious(); });
}

bool forwarder::setConfiguration(std::shared_ptr<const configuration> next)
{
    if (m_configuration && next->version() <= m_configuration->version()) {
        return false;
    }
    m_configuration = std::move(next);
    return true;
}

void forwarder::changeUpstreams(
    std::span<const placement::upstream_entry> changed, std::span<const std::string> removed)
{
    for (const auto& each : changed) {
        const auto* known = m_loadBalancer.find(each.id);
        if (known && (known->startedUnixMs != each.startedUnixMs || known->address != each.address)) {
            m_pool.closeIdle(each.id); // They lead to another process.
        }
    }
    for (const auto& id : removed) {
        m_pool.closeIdle(id);
    }
    m_loadBalancer.changeUpstreams(changed, removed, steady_clock::now());
    m_leavingMonitor.logEnded();
    m_rateLimiter.forgetUnregistered();
    m_crashMonitor.recordCrashesOfRestarted();
    for (auto& [service, queue] : m_queues) {
        wakeNextQueued(service);
    }
}

placement::windowed_retry_budget& forwarder::retryBudgetOf(const std::string& service)
{
    auto now = steady_clock::now();
    if (m_absenceDetector.noteRunning(boot_clock::now())) {
        for (auto& [each, retries] : m_retries) {
            retries.share.restart(now);
        }
    }
    auto view = m_serviceShareOf(service);
    m_loadBalancer.setServiceShare(service, view.sharingVms, view.partition);
    auto found = m_retries.find(service);
    if (found == m_retries.end()) {
        placement::retry_slack_share share(m_startedAt, { .window = m_options.retryWindow });
        placement::windowed_retry_budget budget({ m_options.retryWindow, m_options.retryRatio, 0 });
        found = m_retries.emplace(service, service_retries { share, budget }).first;
    }
    auto& [share, budget] = found->second;
    share.observe(view.serving, now);
    budget.setOptions(
        { m_options.retryWindow, m_options.retryRatio, m_options.fleetRetrySlack * share.fraction(now) });
    return budget;
}

// Observes the shares of some services without waiting for a request, as a share can be used one window after
// this VM is known to serve the service.
void forwarder::observeServices()
{
    const auto* services = m_configuration ? &m_configuration->routes().services() : nullptr;
    for (std::size_t turn = 0; services && turn < std::min(services->size(), servicesPerSweep); ++turn) {
        retryBudgetOf((*services)[m_nextObservedService++ % services->size()]);
    }
}

void forwarder::applyPeerEvidence(const placement::upstream_evidence& evidence)
{
    const auto* known = m_loadBalancer.find(evidence.upstream);
    if (!known) {
        return;
    }
    bool isAtMostOnce = m_configuration && m_configuration->routes().isAtMostOnce(known->service);
    if (auto isExcluded = m_loadBalancer.applyEvidence(evidence, isAtMostOnce, steady_clock::now())) {
        logEvent(event::upstreamEvidence,
            { { "upstream", evidence.upstream }, { "source", "peer" },
                { "kind", std::to_string(static_cast<int>(evidence.kind)) },
                { "excluded", *isExcluded ? "1" : "0" } });
    }
    if (evidence.kind == placement::evidence_kind::recovered) {
        wakeNextQueued(known->service);
    }
}

// Returns how long a request may wait for a permit and still be answered within its objective, also if it
// takes longer than usual.
std::chrono::milliseconds forwarder::maxPermitDelay(
    const active_request& current, steady_clock::time_point now) const
{
    auto deadlines = queueDeadlinesOf(current);
    auto needed = std::chrono::milliseconds(
        latencyHeadroomFactor * m_loadBalancer.statsOf(current.service, now).latencyMs);
    auto left = millisecondsUntil(std::min(deadlines.objective, deadlines.limit) - needed, now);
    return std::min(std::chrono::milliseconds(left), m_options.maxPermitDelay);
}

void forwarder::applyPeerLoad(std::string_view peer, const placement::upstream_load& load)
{
    m_loadBalancer.applyPeerLoad(peer, load, steady_clock::now());
}

void forwarder::sweep()
{
    m_crashMonitor.noteRunning();
    m_rateLimiter.noteRunning();
    observeServices();
    auto now = steady_clock::now();
    m_reachability.tick(now);
    for (const auto& each : m_loadBalancer.excludeStalled(now)) {
        logEvent(event::upstreamEvidence, { { "upstream", each.upstream }, { "source", "stall" } });
        if (const auto* known = m_loadBalancer.find(each.upstream)) {
            reportEvidence(known->service, each);
        }
    }
    m_pool.sweep(
        [this](const std::string& upstream) { return m_loadBalancer.isAcceptingRequests(upstream); }, now);
}

http::response_message forwarder::makeLocalReply(int status, std::string_view why) const
{
    return http::makeResponse(status, "text/plain", std::string(why) + "\n");
}

http::response_message forwarder::makeUnauthorized(std::string_view why) const
{
    auto message = makeLocalReply(Poco::Net::HTTPResponse::HTTP_UNAUTHORIZED, why);
    message.head.set("WWW-Authenticate", "Bearer");
    return message;
}

http::response_message forwarder::makeServiceUnavailable(
    std::string_view why, std::chrono::milliseconds expectedWait)
{
    return makeServiceUnavailableAfter(why, jitteredRetryAfter(expectedWait));
}

std::chrono::milliseconds forwarder::jitteredRetryAfter(std::chrono::milliseconds expectedWait)
{
    return placement::retryAfter(expectedWait, std::uniform_real_distribution<>()(m_random));
}

// Returns the Retry-After of a refused request: when held upstreams return if all are held back, otherwise
// the expected wait with random jitter.
std::chrono::milliseconds forwarder::refusalDelay(
    const active_request& current, std::chrono::milliseconds expectedWait, steady_clock::time_point now)
{
    auto held = m_turnAways.returnDelay(current.service,
        { .sharingVms = m_serviceShareOf(current.service).sharingVms,
            .fraction = std::uniform_real_distribution<>()(m_random),
            .isEarly = m_retryAfterGate.isTooEarly(current.caller, now) },
        now);
    return held ? *held : jitteredRetryAfter(expectedWait);
}

http::response_message forwarder::makeServiceUnavailableAfter(
    std::string_view why, std::chrono::milliseconds delay) const
{
    auto message = makeLocalReply(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE, why);
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.2f", static_cast<double>(delay.count()) / 1000.0);
    message.head.set("Retry-After", seconds);
    return message;
}

placement::queue_load forwarder::queueLoadOf(const std::string& service, steady_clock::time_point now) const
{
    auto condition = m_loadBalancer.statsOf(service, now, &m_rateLimiter.limits());
    auto queue = m_queues.find(service);
    auto usualLatency = std::chrono::milliseconds(condition.latencyMs);
    if (queue == m_queues.end()) {
        return { 0, condition.slots, usualLatency };
    }
    auto waiting = queue->second.size();
    bool isStanding = queue->second.isStanding(now) || (condition.hasHeld && waiting > 0);
    return { waiting, condition.slots, usualLatency, isStanding };
}

asio::awaitable<std::optional<final_response>> forwarder::forwardRequest(
    std::shared_ptr<active_request> current)
{
    ++m_counters.requests;
    m_inFlight.insert(current.get());
    std::optional<final_response> response;
    std::exception_ptr failure;
    try {
        response = co_await processRequest(current);
    } catch (...) {
        failure = std::current_exception();
    }
    m_inFlight.erase(current.get());
    dequeue(*current);
    if (failure) {
        logEvent(
            event::handlerFailed, { { "request", current->id }, { "cause", describeException(failure) } });
        current->abortAttempts();
        co_return finishWithLocalReply(
            *current, current->mayHaveRun() ? next_step::giveUp : next_step::refuse, "internal error");
    }
    if (!response) {
        ++m_counters.cancelled;
        logEvent(event::requestCancelled,
            { { "request", current->id },
                { "elapsed_ms", std::to_string(toMs(steady_clock::now() - current->arrivedAt)) } });
        co_return std::nullopt;
    }
    m_counters.callerLatency.add(steady_clock::now() - current->arrivedAt);
    co_return response;
}

void forwarder::recordCompletion(
    const active_request& current, const final_response& response, std::string_view why)
{
    bool isServed = response.message.head.getStatus() < Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    m_loadBalancer.recordOutcome(current.service, isServed, steady_clock::now());
    logEvent(event::requestAnswered,
        { { "request", current.id }, { "status", std::to_string(response.message.head.getStatus()) },
            { "why", std::string(why) }, { "service", current.service },
            { "fingerprint", std::to_string(current.fingerprint) },
            { "attempts", std::to_string(current.attempts.size()) },
            { "elapsed_ms", std::to_string(toMs(steady_clock::now() - current.arrivedAt)) },
            { "config", std::to_string(current.config->version()) } });
}

bool forwarder::tryTakeRetry(active_request& current, bool countsAsRetry, steady_clock::time_point now)
{
    return !countsAsRetry || retryBudgetOf(current.service).tryAcquire(now);
}

placement::answer_deadlines forwarder::queueDeadlinesOf(const active_request& current)
{
    return { current.arrivedAt + current.matchedRoute->latencyObjective, current.effectiveDeadline };
}

bool forwarder::tryTakeHedge(active_request& current, steady_clock::time_point now)
{
    return retryBudgetOf(current.service).tryAcquire(now, m_options.retryBudgetReserve);
}

deadline forwarder::hedgeTime(const active_request& current) const
{
    auto now = steady_clock::now();
    bool canHedge = !current.state.isAtMostOnce && current.state.possibleRuns < current.state.maxUpstreams
        && current.attempts.size() == 1 && !m_stop && !m_crashMonitor.isQuarantined(current.fingerprint, now);
    if (!canHedge) {
        return deadline::max();
    }
    auto condition = m_loadBalancer.statsOf(current.service, now);
    auto usualLatency = std::chrono::milliseconds(
        static_cast<std::int64_t>(m_options.hedgeLatencyFactor * condition.latencyMs));
    auto delay = condition.latencyMs == 0 ? current.matchedRoute->latencyObjective
                                          : std::max(m_options.minHedgeDelay, usualLatency);
    return current.attempts.front()->startedAt + delay;
}

// Takes effect at once on what is idle or waits; attempts whose connect is under way look for themselves.
void forwarder::handleLeaving(const placement::upstream_entry& upstream)
{
    m_pool.closeIdle(upstream.id);
    auto queue = m_queues.find(upstream.service);
    if (queue == m_queues.end() || m_loadBalancer.hasUpstreams(upstream.service)) {
        return;
    }
    // None of them can be served, so that each is refused without waiting for the one before.
    queue->second.forEachWaiter([](active_request& waiting) { waiting.wakeTimer.cancel(); });
}

// Returns whether the process that an attempt went to is the one that is registered.
bool forwarder::isRegisteredAs(const attempt& thisAttempt) const
{
    const auto* known = m_loadBalancer.find(thisAttempt.upstream);
    return known && known->startedUnixMs == thisAttempt.upstreamStartedUnixMs
        && known->address == thisAttempt.address;
}

asio::awaitable<void> forwarder::runAttempt(
    std::shared_ptr<active_request> current, std::shared_ptr<attempt> thisAttempt)
{
    const bool isHead = current->request.head.getMethod() == "HEAD";
    auto defaultMaxIdle
        = current->state.isAtMostOnce ? m_options.maxIdleAtMostOnce : m_options.maxIdleRepeatable;
    auto maxIdle = m_idleLimits.maxIdleOf(current->service, defaultMaxIdle, thisAttempt->startedAt);
    auto connection = mayReuseConnection(current->id, current->triedUpstreams, thisAttempt->upstream)
        ? m_pool.take(
            thisAttempt->upstream, { maxIdle, fastHash(current->id), isHead }, thisAttempt->startedAt)
        : nullptr;
    thisAttempt->outcome.wasReused = connection != nullptr;
    if (connection) {
        thisAttempt->outcome.idleBefore = toMilliseconds(thisAttempt->startedAt - connection->idleSince());
    }
    auto address = parseEndpoint(thisAttempt->address);
    if (connection) {
        ++m_counters.reusedConnections;
    } else if (address) {
        ++m_counters.newConnections;
        connection = std::make_shared<upstream_connection>(m_io, *address, m_options.upstreamSource);
        thisAttempt->connection = connection;
        auto connectUntil
            = std::min(current->effectiveDeadline, steady_clock::now() + m_options.connectTimeout);
        if (!co_await connection->open(connectUntil)) {
            connection = nullptr;
            thisAttempt->failure = connectFailed;
        }
    }
    thisAttempt->connection = connection;
    if (connection && !m_loadBalancer.isAcceptingRequests(thisAttempt->upstream)) {
        connection->abort();
        connection = nullptr; // The upstream began to drain during the connect.
    }
    bool isHeld = m_loadBalancer.isHeld(thisAttempt->upstream, steady_clock::now());
    if (connection && (isHeld || accessOf(*current) != access_decision::granted)) {
        thisAttempt->outcome.isHeldBack = true;
        connection->abort();
        connection
            = nullptr; // During the connect, the upstream turned another request away or the key ended.
    }
    if (!connection || thisAttempt->isFinished || current->isCancelled) {
        thisAttempt->outcome.outcome = thisAttempt->isFinished || current->isCancelled
            ? attempt_outcome::cancelled
            : attempt_outcome::notSent;
    } else {
        exchange_options options { .isHead = isHead,
            .matchesRequest =
                [this, current, thisAttempt](const auto& response) {
                    return isResponseTo(response, m_wire, current->id, thisAttempt->outcome.wasReused);
                },
            .onHead =
                [this, thisAttempt](const auto& head) {
                    m_leavingMonitor.recordResponse(
                        thisAttempt->upstream, thisAttempt->upstreamStartedUnixMs, head, steady_clock::now());
                },
            .limits = { .maxBodyBytes = m_options.maxResponseBytes },
            .requestHash = fastHash(current->id),
            .buffers = &m_responseBuffers };
        thisAttempt->isSent = true;
        auto left = std::max<std::int64_t>(1,
            millisecondsUntil(
                current->effectiveDeadline - m_options.responseTransitTime, steady_clock::now()));
        auto bytes = serializeFor(m_wire, *current, *thisAttempt, std::chrono::milliseconds(left));
        auto result
            = co_await connection->exchange(std::move(bytes), std::move(options), current->effectiveDeadline);
        m_counters.lateAnswersSkipped += static_cast<std::uint64_t>(result.skippedResponses);
        thisAttempt->outcome.outcome = outcomeOf(m_wire, result);
        thisAttempt->failure = result.failure;
        thisAttempt->outcome.status = result.response.head.getStatus();
        thisAttempt->response = std::move(result.response);
        bool mayReuse
            = m_loadBalancer.isAcceptingRequests(thisAttempt->upstream) && isRegisteredAs(*thisAttempt);
        if (connection->isReusable() && mayReuse
            && thisAttempt->outcome.outcome == attempt_outcome::answered) {
            m_pool.put(thisAttempt->upstream, connection);
        } else {
            connection->abort();
        }
    }
    recordAttemptResult(*current, *thisAttempt, steady_clock::now());
    if (thisAttempt->outcome.outcome == attempt_outcome::noAnswer) {
        m_crashMonitor.examine(
            {
                current->id,
                current->fingerprint,
                thisAttempt->upstream,
                thisAttempt->address,
                thisAttempt->upstreamStartedUnixMs,
                thisAttempt->startedAt,
            },
            [current] { return current->hasSucceeded(); });
    } else if (isSuccess(thisAttempt->outcome)) {
        m_crashMonitor.recordSuccess(current->id, current->fingerprint);
    }
    thisAttempt->isFinished = true;
    current->wakeTimer.cancel();
}

// Ends an attempt whose coroutine an exception has ended, as if the upstream had not answered.
void forwarder::endFailedAttempt(
    active_request& current, attempt& thisAttempt, const std::exception_ptr& failure)
{
    logEvent(event::handlerFailed,
        { { "request", current.id }, { "upstream", thisAttempt.upstream },
            { "cause", describeException(failure) } });
    if (thisAttempt.connection) {
        thisAttempt.connection->abort();
    }
    if (!thisAttempt.isRecorded) {
        thisAttempt.outcome.outcome = attempt_outcome::noAnswer;
        recordAttemptResult(current, thisAttempt, steady_clock::now());
    }
    thisAttempt.isFinished = true;
    current.wakeTimer.cancel();
}

void forwarder::recordAttemptResult(
    active_request& current, attempt& thisAttempt, steady_clock::time_point now)
{
    thisAttempt.isRecorded = true;
    auto elapsed = now - thisAttempt.startedAt;
    thisAttempt.outcome.elapsed = toMilliseconds(elapsed);
    auto condition = m_loadBalancer.statsOf(current.service, now);
    if (recordTurnAway(current, thisAttempt, now)) {
        thisAttempt.outcome.isHeldBack = thisAttempt.outcome.outcome != attempt_outcome::broken;
    }
    auto verdict
        = placement::healthSignalOf(thisAttempt.outcome, std::chrono::milliseconds(condition.latencyMs));
    if (thisAttempt.outcome.outcome == attempt_outcome::answered) {
        m_counters.upstreamLatency.add(elapsed);
    }
    if (thisAttempt.outcome.outcome == attempt_outcome::answered
        || thisAttempt.outcome.outcome == attempt_outcome::refused) {
        m_rateLimiter.recordResponse(
            thisAttempt.upstream, thisAttempt.response.head, m_wire.rateLimit, thisAttempt.startedAt, now);
    }
    bool isFailure = placement::isFailure(verdict);
    m_counters.upstreamFailures += isFailure ? 1 : 0;
    m_counters.upstreamRefusals += verdict == placement::health_signal::refused ? 1 : 0;
    logEvent(event::attemptEnded,
        { { "request", current.id }, { "upstream", thisAttempt.upstream },
            { "end", std::string(toText(thisAttempt.outcome.outcome)) },
            { "status", std::to_string(thisAttempt.outcome.status) },
            { "why", std::string(thisAttempt.failure) },
            { "limit", thisAttempt.response.head.get(m_wire.rateLimit, "none") },
            { "reused", thisAttempt.outcome.wasReused ? "1" : "0" },
            { "idle_ms", std::to_string(thisAttempt.outcome.idleBefore.count()) },
            { "trial", thisAttempt.isProbe ? "1" : "0" }, { "elapsed_ms", std::to_string(toMs(elapsed)) } });
    auto evidence = m_loadBalancer.finishAttempt(
        thisAttempt.upstream, verdict, elapsed, thisAttempt.startedAt, current.state.isAtMostOnce, now);
    recordReachability(current, thisAttempt, now);
    if (evidence) {
        reportEvidence(current.service, *evidence);
    }
    if (placement::isKeepAliveRace(thisAttempt.outcome)) {
        m_idleLimits.recordKeepAliveRace(current.service, now);
        logEvent(event::idleLimitLearned,
            { { "request", current.id }, { "service", current.service }, { "upstream", thisAttempt.upstream },
                { "idle_ms", std::to_string(thisAttempt.outcome.idleBefore.count()) } });
    }
    if (thisAttempt.outcome.outcome == attempt_outcome::noAnswer) {
        m_pool.closeIdle(thisAttempt.upstream);
    }
    wakeNextQueued(current.service);
}

// Takes over the time for which an upstream turns requests away, also from an answer that broke off after its
// head. Returns whether the answer names one.
bool forwarder::recordTurnAway(
    const active_request& current, const attempt& thisAttempt, steady_clock::time_point now)
{
    bool isAnswer = thisAttempt.isSent
        && isResponseTo(thisAttempt.response, m_wire, current.id, thisAttempt.outcome.wasReused);
    return isAnswer
        && m_turnAways.recordResponse(
            {
                .request = current.id,
                .upstream = thisAttempt.upstream,
                .upstreamStartedUnixMs = thisAttempt.upstreamStartedUnixMs,
            },
            thisAttempt.response.head, now);
}

// Tells the peers what this VM has seen at an upstream, unless the cause may be its own links.
void forwarder::reportEvidence(std::string_view service, const placement::upstream_evidence& evidence)
{
    if (m_reportEvidence && m_reachability.mayReport(service, evidence.kind, steady_clock::now())) {
        m_reportEvidence(evidence);
    }
}

// Feeds the detection of lost links with what an attempt says about them.
void forwarder::recordReachability(
    const active_request& current, const attempt& thisAttempt, steady_clock::time_point now)
{
    const auto& outcome = thisAttempt.outcome;
    bool isLost = outcome.outcome == attempt_outcome::noAnswer && !placement::isKeepAliveRace(outcome);
    if (isLost || thisAttempt.failure == connectFailed) {
        m_reachability.recordAttempt(
            current.service, thisAttempt.upstream, false, thisAttempt.startedAt, now);
    } else if (!outcome.wasReused && outcome.status > 0) {
        m_reachability.recordAttempt(current.service, thisAttempt.upstream, true, thisAttempt.startedAt, now);
    }
}

// Returns whether a peer should serve the request, as this VM is cut off. Requests that may have run are
// sent again only if they can be repeated and their response is overdue.
bool forwarder::shouldRelay(active_request& current, bool needsAttempt, steady_clock::time_point now)
{
    if (current.isRelayed || !m_reachability.isCutOff() || current.isCrashProbe) {
        return false;
    }
    if (!current.mayHaveRun()) {
        return needsAttempt;
    }
    return !current.state.isAtMostOnce && (needsAttempt || hasPassed(hedgeTime(current), now))
        && current.state.possibleRuns < current.state.maxUpstreams
        && (needsAttempt || tryTakeRetry(current, true, now));
}

access_decision forwarder::accessOf(active_request& current) const
{
    return m_access.recheck(current, *m_configuration);
}

const std::string& forwarder::accountFieldOf(const active_request& current) const
{
    return current.isUnderAccounts ? m_wire.clientAccount : m_wire.statedAccount;
}

final_response forwarder::denyAccess(active_request& current, access_decision decision)
{
    m_access.recordDenial(current, decision, *m_configuration);
    current.abortAttempts();
    auto why = toText(decision);
    if (current.mayHaveRun() || current.earlierArrivals > 0) {
        return finishWithLocalReply(current, next_step::giveUp, why);
    }
    m_counters.refused += decision == access_decision::staleKeys ? 1 : 0;
    final_response response { decision == access_decision::staleKeys
            ? makeServiceUnavailable(why, staleKeysRetryDelay)
            : makeUnauthorized(why) };
    if (!current.service.empty()) { // Otherwise it has not been taken over.
        recordCompletion(current, response, why);
    }
    return response;
}

final_response forwarder::finishUnrelayed(active_request& current, bool mayHaveRun)
{
    auto access = accessOf(current);
    if (access != access_decision::granted && !mayHaveRun) {
        return denyAccess(current, access);
    }
    if (mayHaveRun || current.mayHaveRun()) {
        return finishWithLocalReply(current, next_step::giveUp, "the relayed request got no answer");
    }
    return shedRequest(current, "no upstream can be reached", cutOffRetryDelay, steady_clock::now());
}

void forwarder::wakeNextQueued(const std::string& service)
{
    auto found = m_queues.find(service);
    if (found == m_queues.end()) {
        return;
    }
    if (auto first = found->second.peekNext()) {
        first->wakeTimer.cancel();
    }
}

// Returns how many requests of its service are served before this one.
std::size_t forwarder::requestsAhead(const active_request& current)
{
    auto found = m_queues.find(current.service);
    return found == m_queues.end() ? 0 : found->second.waitersAhead(current);
}

void forwarder::enqueue(const std::shared_ptr<active_request>& current)
{
    if (!std::exchange(current->isQueued, true)) {
        m_queues[current->service].enqueue(current,
            { .accountPriority = current->account ? current->account->priority.value_or(0) : 0,
                .priority = current->matchedRoute->priority,
                .limit = current->effectiveDeadline,
                .caller = current->caller },
            steady_clock::now());
    }
}

void forwarder::dequeue(active_request& current)
{
    if (std::exchange(current.isQueued, false)) {
        m_queues[current.service].remove(current);
    }
}

placement::choice forwarder::chooseUpstream(const active_request& current, steady_clock::time_point now)
{
    auto chosen = m_loadBalancer.choose(
        { .service = current.service,
            .tried = current.triedUpstreams,
            .isAtMostOnce = current.state.isAtMostOnce,
            .mayUseExcluded = now - current.arrivedAt > m_options.maxWaitForHealthy,
            .canBeRetried = current.state.possibleRuns + 1 < current.state.maxUpstreams
                && retryBudgetOf(current.service).canAcquire(now),
            .limits = &m_rateLimiter.limits(),
            .requestsAhead = requestsAhead(current) },
        now);
    if (chosen.status == choice_status::chosen && current.isCrashProbe && chosen.inFlight > 0) {
        chosen.status = choice_status::allBusy; // Others would be lost if it crashes the upstream.
    }
    return chosen;
}

bool forwarder::startAttempt(
    const std::shared_ptr<active_request>& current, steady_clock::time_point now, placement::choice& chosen)
{
    bool isPermitAnswered = false;
    do {
        chosen = chooseUpstream(*current, now);
        isPermitAnswered = false;
        if (!chosen.permitWanted.empty()) {
            m_rateLimiter.requestPermit(chosen.permitWanted, maxPermitDelay(*current, now), now);
            now = steady_clock::now(); // A permit of this VM itself has been answered, and begins now.
            isPermitAnswered = !m_rateLimiter.limits().isExpectingPermit(chosen.permitWanted, now);
        }
    } while (chosen.status != choice_status::chosen && isPermitAnswered);
    if (chosen.status != choice_status::chosen) {
        return false;
    }
    m_rateLimiter.consume(chosen.upstream->id, now);
    auto thisAttempt = std::make_shared<attempt>();
    thisAttempt->upstream = chosen.upstream->id;
    thisAttempt->address = chosen.upstream->address;
    thisAttempt->upstreamStartedUnixMs = chosen.upstream->startedUnixMs;
    thisAttempt->isProbe = chosen.isProbe;
    thisAttempt->startedAt = now;
    m_loadBalancer.startAttempt(thisAttempt->upstream, chosen.isProbe, now);
    if (chosen.isProbe) {
        reportEvidence(current->service, { thisAttempt->upstream, placement::evidence_kind::probe });
    }
    ++m_counters.attempts;
    ++current->state.possibleRuns;
    current->triedUpstreams.push_back(thisAttempt->upstream);
    current->attempts.push_back(thisAttempt);
    logEvent(event::attemptStarted,
        { { "request", current->id }, { "route", current->matchedRoute->name },
            { "upstream", thisAttempt->upstream }, { "trial", chosen.isProbe ? "1" : "0" },
            { "crash_probe", current->isCrashProbe ? "1" : "0" },
            { "in_flight", std::to_string(chosen.inFlight) },
            { "entry", std::to_string(chosen.upstream->version) },
            { "left_ms", std::to_string(millisecondsUntil(current->effectiveDeadline, now)) },
            { "config", std::to_string(current->config->version()) },
            { "crashes", std::to_string(m_crashMonitor.crashesOf(current->fingerprint, now)) } });
    asio::co_spawn(m_io, runAttempt(current, thisAttempt),
        [this, current, thisAttempt](const std::exception_ptr& failure) {
            if (failure) {
                endFailedAttempt(*current, *thisAttempt, failure);
            }
        });
    return true;
}

final_response forwarder::finishWithLocalReply(active_request& current, next_step step, std::string_view why)
{
    final_response response;
    if (step == next_step::refuse) {
        ++m_counters.refused;
        auto now = steady_clock::now();
        response.message = makeServiceUnavailableAfter(
            why, refusalDelay(current, placement::expectedWait(queueLoadOf(current.service, now)), now));
    } else {
        ++m_counters.unknown;
        bool isLate = hasPassed(current.effectiveDeadline, steady_clock::now());
        response.message = makeLocalReply(isLate ? Poco::Net::HTTPResponse::HTTP_GATEWAY_TIMEOUT
                                                 : Poco::Net::HTTPResponse::HTTP_BAD_GATEWAY,
            why);
    }
    recordCompletion(current, response, why);
    return response;
}

final_response forwarder::shedRequest(active_request& current, std::string_view why,
    std::chrono::milliseconds expectedWait, steady_clock::time_point now)
{
    ++m_counters.refused;
    auto delay = refusalDelay(current, expectedWait, now);
    m_retryAfterGate.recordRetryAfter(current.caller, now + delay, now);
    final_response response { makeServiceUnavailableAfter(why, delay) };
    recordCompletion(current, response, why);
    return response;
}

// Decides about a request for which no upstream has room now: it waits, or is shed.
std::optional<final_response> forwarder::shedOrEnqueue(const std::shared_ptr<active_request>& current,
    const placement::choice& chosen, steady_clock::time_point now)
{
    auto load = queueLoadOf(current->service, now);
    auto wait = placement::expectedWait(load);
    bool hasNoPermit = false;
    if (chosen.nextPermitAt) {
        wait = std::chrono::milliseconds(millisecondsUntil(*chosen.nextPermitAt, now));
        hasNoPermit = static_cast<std::size_t>(chosen.expectedPermits) <= requestsAhead(*current);
    }
    bool isHopeless = hasNoPermit
        || placement::shouldShed(wait, load.usual, load.isStanding, queueDeadlinesOf(*current), now);
    if (hasNoPermit && current->mayHaveRun()) {
        return finishWithLocalReply(*current, next_step::giveUp, permitsUsedUp);
    }
    bool isEarly = !current->isQueued && m_retryAfterGate.isTooEarly(current->caller, now);
    if (!current->mayHaveRun() && (isHopeless || isEarly)) {
        auto why = chosen.nextPermitAt ? permitsUsedUp : "the queue is too long";
        return shedRequest(*current, isHopeless ? why : "came back too early", wait, now);
    }
    enqueue(current);
    return std::nullopt;
}

void forwarder::expireRequests()
{
    auto now = steady_clock::now();
    for (auto* each : m_inFlight) {
        each->effectiveDeadline = std::min(each->effectiveDeadline, now);
        each->wakeTimer.cancel();
    }
}

bool forwarder::mayStartDuringStop(active_request& current, steady_clock::time_point now)
{
    if (!m_stop) {
        return true;
    }
    auto usualLatencyMs = m_loadBalancer.statsOf(current.service, now).latencyMs;
    placement::stop_outlook outlook { .usualLatency = std::chrono::milliseconds(usualLatencyMs),
        .objective = current.matchedRoute->latencyObjective };
    bool mayStart = m_stop->mayStart(outlook, now);
    if (!mayStart || !std::exchange(current.isStopDecisionLogged, true)) {
        logEvent(event::requestDuringStop,
            { { "request", current.id }, { "route", current.matchedRoute->name },
                { "taken", mayStart ? "1" : "0" }, { "usual_ms", std::to_string(usualLatencyMs) },
                { "needed_ms", std::to_string(m_stop->neededTime(outlook).count()) },
                { "left_ms", std::to_string(millisecondsUntil(m_stop->exitAt(), now)) } });
    }
    return mayStart;
}

final_response forwarder::rejectQuarantined(active_request& current, steady_clock::time_point now)
{
    ++m_counters.quarantined;
    m_crashMonitor.recordArrival(current.fingerprint, now);
    return finishWithLocalReply(current, current.mayHaveRun() ? next_step::giveUp : next_step::refuse,
        "upstreams crashed under this request");
}

// Ends a request that no upstream would take now. Waiting would end with the same answer, and those
// behind it in the queue cannot be served either.
final_response forwarder::rejectHeld(active_request& current, steady_clock::time_point now)
{
    constexpr const char* why = "every upstream turns requests away";
    dequeue(current);
    wakeNextQueued(current.service);
    return current.mayHaveRun() ? finishWithLocalReply(current, next_step::giveUp, why)
                                : shedRequest(current, why, {}, now);
}

final_response forwarder::finishTimedOut(active_request& current)
{
    current.abortAttempts();
    if (!current.mayHaveRun()) {
        return finishWithLocalReply(current, next_step::refuse, "no upstream had room in time");
    }
    ++m_counters.timedOut;
    final_response response { makeLocalReply(
        Poco::Net::HTTPResponse::HTTP_GATEWAY_TIMEOUT, "no answer in time") };
    recordCompletion(current, response, "timed_out");
    return response;
}

std::optional<final_response> forwarder::evaluateAttempt(
    active_request& current, attempt& thisAttempt, bool& needsAttempt)
{
    auto now = steady_clock::now();
    thisAttempt.isEvaluated = true;
    if (!placement::mayHaveRun(thisAttempt.outcome.outcome)) {
        --current.state.possibleRuns;
        ++current.state.notRunAttempts;
    }
    current.state.mayHaveRun = current.mayHaveRun();
    current.state.isAnotherInFlight = std::any_of(current.attempts.begin(), current.attempts.end(),
        [](const auto& other) { return !other->isFinished; });
    auto decision = placement::decideNextStep(thisAttempt.outcome, current.state);
    auto step = decision.step;
    if (step == next_step::tryAnother) {
        auto access = accessOf(current);
        if (access != access_decision::granted && !current.mayHaveRun()) {
            return denyAccess(current, access);
        }
        bool countsAsRetry = thisAttempt.outcome.outcome != attempt_outcome::notSent;
        bool mayTry = access == access_decision::granted
            && !m_crashMonitor.isQuarantined(current.fingerprint, now) && mayStartDuringStop(current, now)
            && tryTakeRetry(current, countsAsRetry, now);
        if (mayTry && current.state.isAnotherInFlight) {
            step = next_step::wait;
        } else if (mayTry) {
            m_counters.retries += countsAsRetry ? 1 : 0;
            needsAttempt = true;
            return std::nullopt;
        } else {
            step = decision.fallback;
        }
    }
    if (step == next_step::wait) {
        return std::nullopt;
    }
    if (step == next_step::deliver) {
        current.abortAttempts();
        ++m_counters.answered;
        final_response response { std::move(thisAttempt.response), true };
        recordCompletion(current, response, "upstream_answer");
        return response;
    }
    return finishWithLocalReply(
        current, step, std::string("attempt ended: ") + std::string(toText(thisAttempt.outcome.outcome)));
}

asio::awaitable<std::optional<final_response>> forwarder::processRequest(
    std::shared_ptr<active_request> current)
{
    auto now = steady_clock::now();
    current->effectiveDeadline
        = std::min(current->callerDeadline, current->arrivedAt + current->matchedRoute->timeout);
    current->fingerprint = fingerprintOf(current->request, accountFieldOf(*current));
    current->state.isAtMostOnce = current->matchedRoute->isAtMostOnce;
    current->state.maxUpstreams = current->matchedRoute->maxUpstreams;
    const auto* target
        = pickWeightedService(*current->matchedRoute, std::uniform_real_distribution<>()(m_random));
    if (!target) {
        co_return finishWithLocalReply(*current, next_step::refuse, "the route leads to no service");
    }
    current->service = target->service;
    auto& budget = retryBudgetOf(current->service);
    if (!std::exchange(current->isCounted, true)) {
        budget.countRequest(now);
    }
    bool needsAttempt = true;
    std::size_t evaluatedCount = 0;
    while (true) {
        now = steady_clock::now();
        if (current->isCancelled) {
            current->abortAttempts();
            co_return std::nullopt;
        }
        std::optional<final_response> response;
        while (evaluatedCount < current->attempts.size() && !response) {
            auto next = std::find_if(current->attempts.begin() + static_cast<std::ptrdiff_t>(evaluatedCount),
                current->attempts.end(), [](const auto& each) { return each->isFinished; });
            if (next == current->attempts.end()) {
                break;
            }
            std::iter_swap(next, current->attempts.begin() + static_cast<std::ptrdiff_t>(evaluatedCount));
            auto& evaluated = *current->attempts[evaluatedCount++];
            response = evaluateAttempt(*current, evaluated, needsAttempt);
            if (!response) {
                std::exchange(evaluated.response.body, {}); // The request may go on for long without it.
            }
        }
        if (response) {
            co_return response;
        }
        if (hasPassed(current->effectiveDeadline, now)) {
            co_return finishTimedOut(*current);
        }
        m_crashMonitor.noteRunning();
        auto access = accessOf(*current);
        bool isGranted = access == access_decision::granted;
        if (needsAttempt && !isGranted) {
            co_return denyAccess(*current, access);
        }
        if (needsAttempt && !mayStartDuringStop(*current, now)) {
            if (current->mayHaveRun()) {
                co_return finishWithLocalReply(*current, next_step::giveUp, vmIsStopping);
            }
            ++m_counters.refused;
            final_response refusal { makeServiceUnavailable(vmIsStopping, stopRetryDelay) };
            recordCompletion(*current, refusal, vmIsStopping);
            co_return refusal;
        }
        if (isGranted && shouldRelay(*current, needsAttempt, now)) {
            current->abortAttempts();
            co_return final_response { .mustRelay = true };
        }
        if (needsAttempt && !current->isCrashProbe
            && m_crashMonitor.isQuarantined(current->fingerprint, now)) {
            current->isCrashProbe = current->attempts.empty()
                && m_crashMonitor.tryStartProbe(current->fingerprint, current->service, now);
            if (!current->isCrashProbe) {
                co_return rejectQuarantined(*current, now);
            }
        }
        auto hedgeAt = hedgeTime(*current);
        bool isHedge = !needsAttempt && hasPassed(hedgeAt, now);
        placement::choice chosen;
        bool isCatchingUp = m_crashMonitor.isCatchingUp(now);
        if (!isCatchingUp && (needsAttempt || (isHedge && isGranted && tryTakeHedge(*current, now)))) {
            if (startAttempt(current, now, chosen)) {
                m_counters.hedges += isHedge ? 1 : 0;
                needsAttempt = false;
                isHedge = false;
                dequeue(*current);
            } else if (needsAttempt && chosen.status == choice_status::allHeld) {
                co_return rejectHeld(*current, now);
            } else if (needsAttempt && chosen.status == choice_status::noneUsable) {
                auto step = current->mayHaveRun() ? next_step::giveUp : next_step::refuse;
                co_return finishWithLocalReply(*current, step, "no upstream left to try");
            } else if (needsAttempt) {
                if (auto shed = shedOrEnqueue(current, chosen, now)) {
                    co_return shed;
                }
            }
        }
        auto pollInterval = isCatchingUp ? m_options.catchUpPollInterval : m_options.queuePollInterval;
        auto pollAt = now + pollInterval;
        if (chosen.nextPermitAt && *chosen.nextPermitAt > now) {
            pollAt = std::min(pollAt, *chosen.nextPermitAt);
        }
        auto wakeAt = needsAttempt
            ? std::min(current->effectiveDeadline, pollAt)
            : std::min(current->effectiveDeadline, isHedge ? now + m_options.minHedgeDelay : hedgeAt);
        current->wakeTimer.expires_at(wakeAt);
        boost::system::error_code ignored;
        co_await current->wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}
}
