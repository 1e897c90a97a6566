#include "marlsill/gateway/forwarder.h"

#include "marlsill/base/hash.h"
#include "marlsill/events/events.h"
#include "marlsill/gateway/endpoint.h"
#include "marlsill/http/message_writer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marlsill::gateway {

using placement::attempt_outcome;
using placement::choice_status;
using placement::next_step;

namespace {

    constexpr std::chrono::milliseconds crashCheckDelay { 100 }; // A crashed process's port closes by then.
    constexpr std::chrono::milliseconds unroutedWait { 1'000 }; // Until a registration or a restart is known.

    std::chrono::milliseconds toLength(steady_clock::duration length)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(length);
    }

    std::int64_t toMs(steady_clock::duration length) { return toLength(length).count(); }

    std::string_view toText(attempt_outcome end)
    {
        constexpr std::string_view names[] = { "answered", "refused", "wrong_upstream", "not_sent",
            "no_answer", "broken", "timed_out", "cancelled" };
        return names[static_cast<int>(end)];
    }

    attempt_outcome toAttemptEnd(exchange_status status)
    {
        switch (status) {
        case exchange_status::answered:
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

    std::uint64_t fingerprintOf(const request_run& current)
    {
        const auto& head = current.request.head;
        auto print = fastHash(head.getMethod());
        print = fastHash(head.getHost(), print);
        print = fastHash(head.getURI(), print);
        print = fastHash(current.caller, print);
        return fastHash(current.request.body, print);
    }

}

void request_run::cancel()
{
    isCancelled = true;
    event.cancel();
}

bool request_run::mayHaveRun() const
{
    return std::any_of(attempts.begin(), attempts.end(), [](const auto& each) {
        bool isProvenNotRun = each->isConcluded && !placement::mayHaveRun(each->ended.outcome);
        return each->isSent && !isProvenNotRun;
    });
}

forwarder::forwarder(asio::io_context& io, forwarder_options options, wire_fields wire)
    : m_io(io)
    , m_options(std::move(options))
    , m_wire(std::move(wire))
    , m_board({ .failureDomain = m_options.failureDomain })
{
}

bool forwarder::setConfiguration(std::shared_ptr<const configuration> next)
{
    if (m_rules && next->version <= m_rules->version) {
        return false;
    }
    m_rules = std::move(next);
    return true;
}

void forwarder::setUpstreams(std::span<const placement::upstream_entry> upstreams)
{
    m_board.replaceUpstreams(upstreams, steady_clock::now());
    for (auto& [service, line] : m_lines) {
        wakeWaiter(service);
    }
}

placement::windowed_retry_budget& forwarder::budgetOf(const std::string& service)
{
    auto share = m_shareOf(service);
    placement::windowed_retry_budget_options bounds { m_options.retryWindow, m_options.retryRatio,
        m_options.fleetRetrySlack * share.slack };
    auto found = m_budgets.try_emplace(service, bounds).first;
    found->second.setOptions(bounds);
    m_board.setServingVms(share.servingVms);
    return found->second;
}

void forwarder::learn(const placement::upstream_evidence& evidence)
{
    const auto* known = m_board.find(evidence.upstream);
    if (!known) {
        return;
    }
    bool isAtMostOnce = m_rules && m_rules->isAtMostOnce(known->service);
    m_board.applyEvidence(evidence, isAtMostOnce, steady_clock::now());
    logEvent(event::upstreamEvidence,
        { { "upstream", evidence.upstream }, { "source", "peer" },
            { "kind", std::to_string(static_cast<int>(evidence.kind)) } });
    if (evidence.kind == placement::evidence_kind::recovered) {
        wakeWaiter(known->service);
    }
}

void forwarder::learnLoad(std::string_view peer, const placement::upstream_load& load)
{
    m_board.applyPeerLoad(peer, load, steady_clock::now());
}

void forwarder::learnCrash(std::uint64_t print, int crashes)
{
    m_crashes.mergePeerCount(print, crashes, steady_clock::now());
}

void forwarder::sweep()
{
    auto now = steady_clock::now();
    for (const auto& each : m_board.excludeStalled(now)) {
        logEvent(event::upstreamEvidence, { { "upstream", each.upstream }, { "source", "stall" } });
        if (m_notices.evidence) {
            m_notices.evidence(each);
        }
    }
    m_pool.sweep([this](const std::string& upstream) { return isInUse(upstream); }, now);
}

http::response_message forwarder::makeAnswer(int status, std::string_view why) const
{
    return http::makeResponse(status, "text/plain", std::string(why) + "\n");
}

http::response_message forwarder::makeRefusal(std::string_view why, std::chrono::milliseconds expectedWait)
{
    return makeRefusalUntil(why, spreadReturn(expectedWait));
}

std::chrono::milliseconds forwarder::spreadReturn(std::chrono::milliseconds expectedWait)
{
    return placement::retryAfter(expectedWait, std::uniform_real_distribution<>()(m_random));
}

http::response_message forwarder::makeRefusalUntil(
    std::string_view why, std::chrono::milliseconds pause) const
{
    auto message = makeAnswer(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE, why);
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.2f", static_cast<double>(pause.count()) / 1000.0);
    message.head.set("Retry-After", seconds);
    return message;
}

placement::queue_load forwarder::outlookOf(const std::string& service, steady_clock::time_point now) const
{
    auto condition = m_board.statsOf(service, now);
    auto line = m_lines.find(service);
    auto usual = std::chrono::milliseconds(condition.latencyMs);
    if (line == m_lines.end()) {
        return { 0, condition.slots, usual };
    }
    return { line->second.size(), condition.slots, usual, line->second.isStanding(now) };
}

asio::awaitable<std::optional<final_answer>> forwarder::run(std::shared_ptr<request_run> current)
{
    ++m_counters.requests;
    ++m_inWork;
    auto answer = co_await work(current);
    --m_inWork;
    leaveQueue(*current);
    if (!answer) {
        ++m_counters.cancelled;
        logEvent(event::requestCancelled,
            { { "request", current->id },
                { "elapsed_ms", std::to_string(toMs(steady_clock::now() - current->arrivedAt)) } });
        co_return std::nullopt;
    }
    m_counters.callerLatency.add(steady_clock::now() - current->arrivedAt);
    co_return answer;
}

void forwarder::logEnd(const request_run& current, const final_answer& answer, std::string_view why)
{
    bool isServed = answer.message.head.getStatus() < Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    m_board.recordOutcome(current.service, isServed, steady_clock::now());
    logEvent(event::requestAnswered,
        { { "request", current.id }, { "status", std::to_string(answer.message.head.getStatus()) },
            { "why", std::string(why) }, { "service", current.service },
            { "attempts", std::to_string(current.attempts.size()) },
            { "elapsed_ms", std::to_string(toMs(steady_clock::now() - current.arrivedAt)) },
            { "config", std::to_string(current.rules->version) } });
}

bool forwarder::mayRetry(request_run& current, bool isArrival, steady_clock::time_point now)
{
    return !isArrival || budgetOf(current.service).tryAcquire(now);
}

placement::answer_deadlines forwarder::limitsOf(const request_run& current)
{
    return { current.arrivedAt + current.routed->latencyObjective, current.limit };
}

bool forwarder::mayHedge(request_run& current, steady_clock::time_point now)
{
    return budgetOf(current.service).tryAcquire(now, m_options.budgetForFailures);
}

deadline forwarder::hedgeTime(const request_run& current) const
{
    bool isCandidate = !current.state.isAtMostOnce && current.state.possibleRuns < current.state.maxUpstreams
        && current.attempts.size() == 1;
    if (!isCandidate) {
        return deadline::max();
    }
    auto condition = m_board.statsOf(current.service, steady_clock::now());
    auto usual
        = std::chrono::milliseconds(static_cast<std::int64_t>(m_options.hedgeFactor * condition.latencyMs));
    auto pause
        = condition.latencyMs == 0 ? current.routed->latencyObjective : std::max(m_options.minHedge, usual);
    return current.attempts.front()->startedAt + pause;
}

std::string forwarder::serializeFor(
    const request_run& current, const attempt& each, steady_clock::time_point now) const
{
    auto forwarded = current.request;
    http::removeHopByHopFields(forwarded.head);
    auto left = std::max<std::int64_t>(1, millisecondsUntil(current.limit - m_options.returnTrip, now));
    forwarded.head.set(m_wire.timeoutMs, std::to_string(left));
    forwarded.head.set(m_wire.expectedUpstream, each.upstream);
    return http::serialize(forwarded);
}

bool forwarder::isOwnAnswer(const request_run& current, const http::response_message& answer) const
{
    if (answer.head.has(m_wire.requestId)) {
        return answer.head.get(m_wire.requestId) == current.id;
    }
    return answer.head.has(m_wire.notRun) || current.id.empty()
        || answer.head.getStatus() == Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST;
}

bool forwarder::isInUse(const std::string& upstream) const
{
    const auto* known = m_board.find(upstream);
    return known && !known->isLeaving;
}

asio::awaitable<void> forwarder::runAttempt(
    std::shared_ptr<request_run> current, std::shared_ptr<attempt> each)
{
    auto usualIdle = current->state.isAtMostOnce ? m_options.maxIdleForOnce : m_options.maxIdleRepeatable;
    auto maxIdle = m_idleLimits.maxIdleOf(current->service, usualIdle, each->startedAt);
    auto link = m_pool.take(each->upstream, { maxIdle }, each->startedAt);
    each->ended.wasReused = link != nullptr;
    if (link) {
        each->ended.idleBefore = toLength(each->startedAt - link->idleSince());
    }
    auto address = parseEndpoint(each->address);
    if (link) {
        ++m_counters.reusedConnections;
    } else if (address) {
        ++m_counters.newConnections;
        link = std::make_shared<upstream_link>(m_io, *address);
        each->link = link;
        auto connectUntil = std::min(current->limit, steady_clock::now() + m_options.connectLimit);
        if (!co_await link->open(connectUntil)) {
            link = nullptr;
        }
    }
    each->link = link;
    if (link && !isInUse(each->upstream)) {
        link->abort();
        link = nullptr; // It began to leave during the connect.
    }
    if (!link || each->isOver || current->isCancelled) {
        each->ended.outcome
            = each->isOver || current->isCancelled ? attempt_outcome::cancelled : attempt_outcome::notSent;
    } else {
        exchange_options options { .isHead = current->request.head.getMethod() == "HEAD",
            .isOwn = [this, current](const auto& answer) { return isOwnAnswer(*current, answer); },
            .limits = { .maxBodyBytes = m_options.maxAnswerBytes } };
        each->isSent = true;
        auto result = co_await link->exchange(
            serializeFor(*current, *each, steady_clock::now()), std::move(options), current->limit);
        m_counters.lateAnswersSkipped += static_cast<std::uint64_t>(result.skippedAnswers);
        each->ended.outcome = toAttemptEnd(result.status);
        each->ended.status = result.answer.head.getStatus();
        each->answer = std::move(result.answer);
        bool isMisdirected = each->ended.status == Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST;
        if (each->ended.outcome == attempt_outcome::answered && isMisdirected) {
            each->ended.outcome = attempt_outcome::wrongUpstream;
        } else if (each->ended.outcome == attempt_outcome::answered && each->answer.head.has(m_wire.notRun)) {
            each->ended.outcome = attempt_outcome::refused;
        } else if (each->ended.outcome == attempt_outcome::answered && each->ended.status < 300
            && (!each->answer.head.has(m_wire.seal) || each->answer.head.has("Content-Encoding"))) {
            each->ended.outcome = attempt_outcome::broken;
        }
        if (link->isReusable() && each->ended.outcome == attempt_outcome::answered) {
            m_pool.put(each->upstream, link);
        } else {
            link->abort();
        }
    }
    finishAttempt(*current, *each, steady_clock::now());
    each->isOver = true;
    current->event.cancel();
}

void forwarder::finishAttempt(request_run& current, attempt& each, steady_clock::time_point now)
{
    auto elapsed = now - each.startedAt;
    each.ended.elapsed = toLength(elapsed);
    auto condition = m_board.statsOf(current.service, now);
    auto verdict = placement::healthSignalOf(each.ended, std::chrono::milliseconds(condition.latencyMs));
    if (each.ended.outcome == attempt_outcome::answered) {
        m_counters.upstreamLatency.add(elapsed);
    }
    bool isFailure = placement::isFailure(verdict);
    m_counters.upstreamFailures += isFailure ? 1 : 0;
    m_counters.upstreamRefusals += verdict == placement::health_signal::refused ? 1 : 0;
    logEvent(event::attemptEnded,
        { { "request", current.id }, { "upstream", each.upstream },
            { "end", std::string(toText(each.ended.outcome)) },
            { "status", std::to_string(each.ended.status) }, { "reused", each.ended.wasReused ? "1" : "0" },
            { "idle_ms", std::to_string(each.ended.idleBefore.count()) },
            { "trial", each.isTrial ? "1" : "0" }, { "elapsed_ms", std::to_string(toMs(elapsed)) } });
    auto evidence = m_board.finishAttempt(
        each.upstream, verdict, elapsed, each.startedAt, current.state.isAtMostOnce, now);
    if (evidence && m_notices.evidence) {
        m_notices.evidence(*evidence);
    }
    if (placement::isKeepAliveRace(each.ended)) {
        m_idleLimits.recordKeepAliveRace(current.service, now);
        logEvent(event::idleLimitLearned,
            { { "request", current.id }, { "service", current.service }, { "upstream", each.upstream },
                { "idle_ms", std::to_string(each.ended.idleBefore.count()) } });
    }
    if (each.ended.outcome == attempt_outcome::noAnswer) {
        m_pool.drop(each.upstream);
        checkForCrash(current, each);
    }
    wakeWaiter(current.service);
}

void forwarder::checkForCrash(request_run& current, const attempt& each)
{
    auto address = parseEndpoint(each.address);
    if (!address) {
        return;
    }
    auto check = [this, upstream = each.upstream, print = current.print, id = current.id,
                     endpoint = *address]() -> asio::awaitable<void> {
        asio::steady_timer pause(m_io, crashCheckDelay);
        boost::system::error_code ignored;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        auto link = std::make_shared<upstream_link>(m_io, endpoint);
        bool isAlive = co_await link->open(steady_clock::now() + m_options.connectLimit);
        link->abort();
        if (isAlive) {
            co_return;
        }
        int crashes = m_crashes.recordCrash(print, upstream, steady_clock::now());
        logEvent(event::upstreamCrashed,
            { { "request", id }, { "upstream", upstream }, { "crashes", std::to_string(crashes) } });
        if (m_notices.crash) {
            m_notices.crash(print, crashes);
        }
    };
    asio::co_spawn(m_io, std::move(check), asio::detached);
}

void forwarder::wakeWaiter(const std::string& service)
{
    auto found = m_lines.find(service);
    if (found == m_lines.end()) {
        return;
    }
    if (auto first = found->second.peekNext()) {
        first->event.cancel();
    }
}

void forwarder::joinQueue(const std::shared_ptr<request_run>& current)
{
    if (!std::exchange(current->isQueued, true)) {
        m_lines[current->service].enqueue(current,
            { .priority = current->routed->priority, .limit = current->limit, .caller = current->caller },
            steady_clock::now());
    }
}

void forwarder::leaveQueue(request_run& current)
{
    if (std::exchange(current.isQueued, false)) {
        m_lines[current.service].remove(current);
    }
}

bool forwarder::startAttempt(
    const std::shared_ptr<request_run>& current, steady_clock::time_point now, choice_status& status)
{
    auto chosen
        = m_board.choose({ .service = current->service,
                             .tried = current->tried,
                             .isAtMostOnce = current->state.isAtMostOnce,
                             .mayUseExcluded = now - current->arrivedAt > m_options.patience,
                             .canBeRetried = current->state.possibleRuns + 1 < current->state.maxUpstreams
                                 && budgetOf(current->service).canAcquire(now) },
            now);
    status = chosen.status;
    if (chosen.status != choice_status::chosen) {
        return false;
    }
    auto each = std::make_shared<attempt>();
    each->upstream = chosen.upstream->id;
    each->address = chosen.upstream->address;
    each->isTrial = chosen.isProbe;
    each->startedAt = now;
    m_board.startAttempt(each->upstream, chosen.isProbe, now);
    if (chosen.isProbe && m_notices.evidence) {
        m_notices.evidence({ each->upstream, placement::evidence_kind::probe });
    }
    ++m_counters.attempts;
    ++current->state.possibleRuns;
    current->tried.push_back(each->upstream);
    current->attempts.push_back(each);
    logEvent(event::attemptStarted,
        { { "request", current->id }, { "route", current->routed->name }, { "upstream", each->upstream },
            { "trial", chosen.isProbe ? "1" : "0" }, { "in_flight", std::to_string(chosen.inFlight) },
            { "entry", std::to_string(chosen.upstream->version) },
            { "left_ms", std::to_string(millisecondsUntil(current->limit, now)) },
            { "config", std::to_string(current->rules->version) } });
    asio::co_spawn(m_io, runAttempt(current, each), asio::detached);
    return true;
}

void forwarder::abortAttempts(request_run& current)
{
    for (auto& each : current.attempts) {
        if (!each->isOver) {
            each->isOver = true;
            if (each->link) {
                each->link->abort();
            }
        }
    }
}

final_answer forwarder::refuseOrGiveUp(request_run& current, next_step step, std::string_view why)
{
    final_answer answer;
    if (step == next_step::refuse) {
        ++m_counters.refused;
        answer.message
            = makeRefusal(why, placement::expectedWait(outlookOf(current.service, steady_clock::now())));
    } else {
        ++m_counters.unknown;
        bool isLate = hasPassed(current.limit, steady_clock::now());
        answer.message = makeAnswer(isLate ? Poco::Net::HTTPResponse::HTTP_GATEWAY_TIMEOUT
                                           : Poco::Net::HTTPResponse::HTTP_BAD_GATEWAY,
            why);
    }
    logEnd(current, answer, why);
    return answer;
}

final_answer forwarder::refuseForLoad(
    request_run& current, std::string_view why, steady_clock::time_point now)
{
    ++m_counters.refused;
    auto pause = spreadReturn(placement::expectedWait(outlookOf(current.service, now)));
    m_returnGate.recordRetryAfter(current.caller, now + pause, now);
    final_answer answer { makeRefusalUntil(why, pause) };
    logEnd(current, answer, why);
    return answer;
}

final_answer forwarder::timeOut(request_run& current)
{
    abortAttempts(current);
    if (!current.mayHaveRun()) {
        return refuseOrGiveUp(current, next_step::refuse, "no upstream had room in time");
    }
    ++m_counters.timedOut;
    final_answer answer { makeAnswer(Poco::Net::HTTPResponse::HTTP_GATEWAY_TIMEOUT, "no answer in time") };
    logEnd(current, answer, "timed_out");
    return answer;
}

std::optional<final_answer> forwarder::conclude(request_run& current, attempt& each, bool& needsAnother)
{
    auto now = steady_clock::now();
    each.isConcluded = true;
    if (!placement::mayHaveRun(each.ended.outcome)) {
        --current.state.possibleRuns;
        ++current.state.notRunAttempts;
    }
    current.state.mayHaveRun = current.mayHaveRun();
    current.state.isAnotherInFlight = std::any_of(
        current.attempts.begin(), current.attempts.end(), [](const auto& other) { return !other->isOver; });
    auto decision = placement::decideNextStep(each.ended, current.state);
    auto step = decision.step;
    if (step == next_step::tryAnother) {
        bool isArrival = each.ended.outcome != attempt_outcome::notSent;
        bool mayTry = !m_crashes.isQuarantined(current.print, now) && mayRetry(current, isArrival, now);
        if (mayTry && current.state.isAnotherInFlight) {
            step = next_step::wait;
        } else if (mayTry) {
            m_counters.retries += isArrival ? 1 : 0;
            needsAnother = true;
            return std::nullopt;
        } else {
            step = decision.fallback;
        }
    }
    if (step == next_step::wait) {
        return std::nullopt;
    }
    if (step == next_step::deliver) {
        abortAttempts(current);
        ++m_counters.answered;
        final_answer answer { std::move(each.answer), true };
        logEnd(current, answer, "upstream_answer");
        return answer;
    }
    return refuseOrGiveUp(
        current, step, std::string("attempt ended: ") + std::string(toText(each.ended.outcome)));
}

asio::awaitable<std::optional<final_answer>> forwarder::work(std::shared_ptr<request_run> current)
{
    auto now = steady_clock::now();
    current->limit = std::min(current->callerLimit, current->arrivedAt + current->routed->timeout);
    current->print = fingerprintOf(*current);
    current->state.isAtMostOnce = current->routed->isAtMostOnce;
    current->state.maxUpstreams = current->routed->maxUpstreams;
    const auto* part = pickPart(*current->routed, std::uniform_real_distribution<>()(m_random));
    if (!part) {
        co_return refuseOrGiveUp(*current, next_step::refuse, "the route leads to no service");
    }
    current->service = part->service;
    if (m_crashes.isQuarantined(current->print, now)) {
        co_return refuseOrGiveUp(*current, next_step::refuse, "upstreams crashed under this request");
    }
    budgetOf(current->service).countRequest(now);
    bool needsAnother = true;
    std::size_t concluded = 0;
    while (true) {
        now = steady_clock::now();
        if (current->isCancelled) {
            abortAttempts(*current);
            co_return std::nullopt;
        }
        std::optional<final_answer> answer;
        while (concluded < current->attempts.size() && !answer) {
            auto next = std::find_if(current->attempts.begin() + static_cast<std::ptrdiff_t>(concluded),
                current->attempts.end(), [](const auto& each) { return each->isOver; });
            if (next == current->attempts.end()) {
                break;
            }
            std::iter_swap(next, current->attempts.begin() + static_cast<std::ptrdiff_t>(concluded));
            answer = conclude(*current, *current->attempts[concluded++], needsAnother);
        }
        if (answer) {
            co_return answer;
        }
        if (hasPassed(current->limit, now)) {
            co_return timeOut(*current);
        }
        auto hedgeAt = hedgeTime(*current);
        bool isHedge = !needsAnother && hasPassed(hedgeAt, now);
        auto status = choice_status::chosen;
        if (needsAnother || (isHedge && mayHedge(*current, now))) {
            if (startAttempt(current, now, status)) {
                m_counters.hedges += isHedge ? 1 : 0;
                needsAnother = false;
                isHedge = false;
                leaveQueue(*current);
            } else if (needsAnother && status == choice_status::noneUsable) {
                auto step = current->mayHaveRun() ? next_step::giveUp : next_step::refuse;
                co_return refuseOrGiveUp(*current, step, "no upstream left to try");
            } else if (needsAnother) {
                bool isHopeless
                    = placement::shouldShed(outlookOf(current->service, now), limitsOf(*current), now);
                bool isEarly = !current->isQueued && m_returnGate.isTooEarly(current->caller, now);
                if (!current->mayHaveRun() && (isHopeless || isEarly)) {
                    co_return refuseForLoad(
                        *current, isHopeless ? "the queue is too long" : "came back too early", now);
                }
                joinQueue(current);
            }
        }
        auto wakeAt = needsAnother ? std::min(current->limit, now + m_options.queueCheck)
                                   : std::min(current->limit, isHedge ? now + m_options.minHedge : hedgeAt);
        current->event.expires_at(wakeAt);
        boost::system::error_code ignored;
        co_await current->event.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

}
