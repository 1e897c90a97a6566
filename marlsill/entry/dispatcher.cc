#include "marlsill/entry/dispatcher.h"

#include "marlsill/events/events.h"
#include "marlsill/http/field_names.h"
#include "marlsill/http/message_writer.h"

#include <cmath>

namespace marlsill::entry {

namespace {

    constexpr std::chrono::milliseconds retrySoon { 1000 };
    constexpr std::chrono::milliseconds minSilentLimit { 250 };
    constexpr std::size_t streamPieceBytes = 64 * 1024;

    // Returns the evidence that one attempt gives on its upstream.
    routing::upstream_evidence evidenceOf(const attempt_result& result)
    {
        routing::upstream_evidence evidence;
        switch (result.status) {
        case attempt_status::answered:
        case attempt_status::answerTooLarge: {
            evidence.runs = 1;
            evidence.failures = result.answer->head.getStatus() >= 500 ? 1 : 0;
            double milliseconds = std::chrono::duration<double, std::milli>(result.elapsed).count();
            double logLatency = std::log(std::max(0.01, milliseconds));
            evidence.logLatencySum = logLatency;
            evidence.logLatencySquareSum = logLatency * logLatency;
            evidence.latencies = 1;
            break;
        }
        case attempt_status::refused:
            evidence.refusals = 1;
            break;
        case attempt_status::died:
            evidence.runs = 1;
            evidence.failures = result.wasReused ? 0 : 1;
            evidence.connectionLosses = 1;
            break;
        case attempt_status::notSent:
        case attempt_status::malformed:
        case attempt_status::timedOut:
            evidence.runs = 1;
            evidence.failures = 1;
            break;
        case attempt_status::silent:
        case attempt_status::cancelled:
            break;
        }
        return evidence;
    }

    std::string_view describe(attempt_status status)
    {
        switch (status) {
        case attempt_status::notSent:
            return "no-connection";
        case attempt_status::refused:
            return "refused-by-upstream";
        case attempt_status::died:
            return "connection-ended";
        case attempt_status::malformed:
            return "malformed-answer";
        case attempt_status::timedOut:
            return "deadline";
        case attempt_status::silent:
            return "silent-connection";
        case attempt_status::cancelled:
            return "caller-gone";
        default:
            return "answered";
        }
    }

    std::string_view describe(admission::admission_status status)
    {
        switch (status) {
        case admission::admission_status::queueFull:
            return "overload-queue-full";
        case admission::admission_status::wouldBeLate:
            return "overload-would-be-late";
        case admission::admission_status::noUpstream:
            return "no-upstream";
        default:
            return "cancelled";
        }
    }

}

dispatcher::dispatcher(upstream_pool& pool, quarantine_list& quarantine, dispatcher_options options)
    : m_pool(pool)
    , m_quarantine(quarantine)
    , m_options(options)
{
}

// The attempts of one request.
class dispatcher::run_state {
public:
    run_state(dispatcher& owner, const dispatch_job& job)
        : m_owner(owner)
        , m_job(job)
        , m_gate(owner.gateOf(job.service.name))
        , m_print(fingerprintOf(job.request))
        , m_exchange(owner.m_pool)
    {
    }

    dispatch_result run()
    {
        m_gate->retryBudget().setPercent(m_job.service.rules.retryPercent);
        m_gate->retryBudget().countRequest();
        while (true) {
            auto admitted = m_gate->acquire(m_job.service, m_job.account, m_job.limit, m_excluded);
            if (admitted.status != admission::admission_status::granted) {
                return orEarlierAnswer(refuse(describe(admitted.status), admitted.retryAfter));
            }
            const auto& upstream = m_job.service.upstreams[admitted.upstream];
            if (auto early = claim()) {
                m_gate->release(*upstream.state, {});
                return *early;
            }
            auto result = attempt(upstream);
            if (auto final = settle(upstream, admitted.upstream, result)) {
                return final->told == outcome::ran ? *final : orEarlierAnswer(std::move(*final));
            }
        }
    }

private:
    // Takes the right to dispatch; returns a result when that is denied.
    std::optional<dispatch_result> claim()
    {
        if (hasPassed(m_job.limit, steady_clock::now())) {
            return refuse("deadline", retrySoon);
        }
        auto verdict = m_owner.m_quarantine.admit(m_print);
        if (verdict == quarantine_verdict::suspected) {
            return refuse("suspected", retrySoon);
        }
        if (verdict == quarantine_verdict::quarantined) {
            auto refused = refuse("quarantined", {});
            refused.status = 422;
            return refused;
        }
        m_isOnTrial = verdict == quarantine_verdict::trial;
        if (m_job.key && !m_job.key->tryDispatch()) {
            endTrial(false);
            return dispatch_result { outcome::notRun, "cancelled", 409 };
        }
        return std::nullopt;
    }

    attempt_result attempt(const routing::routed_upstream& upstream)
    {
        ++m_attempts;
        ++m_owner.m_counts.attempts;
        auto now = steady_clock::now();
        attempt_limits limits { m_job.limit, m_job.limit };
        if (m_job.isIdempotent && m_attempts == 1) {
            limits.attemptUntil = now + (m_job.limit - now) / 2;
        }
        limits.silentUntil = now + std::min<steady_clock::duration>(minSilentLimit, (m_job.limit - now) / 4);
        limits.mayReuseConnection = m_job.isIdempotent && !m_hasMetSilence;
        limits.maxBodyBytes = m_owner.m_options.wholeAnswerBytes;
        if (m_job.caller && !m_job.isNotRepeatable) {
            limits.caller = m_job.caller->watch();
        }
        return m_exchange.run(m_job.request, *upstream.state, limits);
    }

    // Draws the consequences of one attempt; returns a result unless another attempt follows.
    std::optional<dispatch_result> settle(
        const routing::routed_upstream& upstream, std::size_t index, const attempt_result& result)
    {
        m_gate->release(*upstream.state, result.elapsed);
        upstream.state->addEvidence(evidenceOf(result));
        if (result.status == attempt_status::died) {
            m_owner.m_quarantine.reportDeath(m_print, m_job.service.name, upstream.spec.name, m_isOnTrial);
        }
        endTrial(
            result.status == attempt_status::answered || result.status == attempt_status::answerTooLarge);
        switch (result.status) {
        case attempt_status::answered:
            return mayTryElsewhere(index, result) ? std::nullopt : std::optional(answered(upstream, result));
        case attempt_status::answerTooLarge:
            return stream(upstream, result);
        case attempt_status::cancelled:
            ++m_owner.m_counts.cancelled;
            return dispatch_result { .told = outcome::unknown, .why = "caller-gone", .isCallerBroken = true };
        case attempt_status::silent:
            return meetSilence(upstream);
        case attempt_status::notSent:
        case attempt_status::refused:
            return returnUnrun(index, result);
        default:
            return failUnknown(upstream, index, result);
        }
    }

    dispatch_result answered(const routing::routed_upstream& upstream, const attempt_result& result)
    {
        if (m_hasMetSilence && m_silentUpstream == upstream.spec.name) {
            auto condemned = m_owner.m_pool.condemn(upstream.spec.address, m_silentSince);
            logEvent(event::upstreamConnectionsCondemned,
                { { "upstream", upstream.spec.name }, { "connections", std::to_string(condemned) } });
        }
        http::removeHopByHopFields(result.answer->head);
        result.answer->head.set(http::field::servedBy, upstream.spec.name);
        setOutcome(result.answer->head, outcome::ran, "");
        if (m_job.key) {
            m_job.key->finish(result.answer);
        }
        return { .told = outcome::ran, .answer = result.answer, .upstream = upstream.spec.name };
    }

    // Returns whether a server's error is worth another upstream. The answer is kept for the case that no
    // other one gives a better.
    bool mayTryElsewhere(std::size_t index, const attempt_result& result)
    {
        int status = result.answer->head.getStatus();
        bool isServerError = status == 500 || status == 502 || status == 503 || status == 504;
        bool hasTime = !hasPassed(m_job.limit, steady_clock::now());
        bool mayRetry = isServerError && m_job.isIdempotent && hasTime
            && m_attempts < m_owner.m_options.maxAttempts && m_gate->retryBudget().tryTake();
        if (mayRetry) {
            ++m_owner.m_counts.retries;
            m_excluded.push_back(index);
            m_erroneous = result;
            m_erroneousIndex = index;
        }
        return mayRetry;
    }

    // Falls back to the server's error that came before, if there was one.
    dispatch_result orEarlierAnswer(dispatch_result failure)
    {
        return m_erroneous ? answered(m_job.service.upstreams[m_erroneousIndex], *m_erroneous)
                           : std::move(failure);
    }

    // A reused connection brought nothing. The same request goes out once more on a fresh one; only
    // idempotent requests use reused connections.
    std::optional<dispatch_result> meetSilence(const routing::routed_upstream& upstream)
    {
        ++m_owner.m_counts.silentConnections;
        m_mayHaveRun = true;
        m_hasMetSilence = true;
        m_silentUpstream = upstream.spec.name;
        m_silentSince = steady_clock::now();
        return std::nullopt;
    }

    // The upstream has certainly not run the request.
    std::optional<dispatch_result> returnUnrun(std::size_t index, const attempt_result& result)
    {
        if (result.status == attempt_status::refused) {
            ++m_owner.m_counts.refusedByUpstream;
        }
        m_excluded.push_back(index);
        bool mayRetry = m_attempts < m_owner.m_options.maxAttempts && m_gate->retryBudget().tryTake();
        if (m_job.key) {
            m_job.key->returnToQueue();
        }
        if (!mayRetry) {
            return refuse(describe(result.status), retrySoon);
        }
        ++m_owner.m_counts.retries;
        return std::nullopt;
    }

    // The upstream may have run the request.
    std::optional<dispatch_result> failUnknown(
        const routing::routed_upstream& upstream, std::size_t index, const attempt_result& result)
    {
        logEvent(event::upstreamAnswerBroken,
            { { "upstream", upstream.spec.name }, { "cause", std::string(describe(result.status)) } });
        m_mayHaveRun = true;
        m_excluded.push_back(index);
        bool isStaleConnection = result.status == attempt_status::died && result.wasReused;
        if (isStaleConnection) {
            m_excluded.pop_back();
            m_hasMetSilence = true;
        }
        bool hasTime = !hasPassed(m_job.limit, steady_clock::now());
        bool mayRetry = m_job.isIdempotent && hasTime && m_attempts < m_owner.m_options.maxAttempts
            && (isStaleConnection || m_gate->retryBudget().tryTake());
        if (mayRetry) {
            ++m_owner.m_counts.retries;
            return std::nullopt;
        }
        if (m_job.key) {
            m_job.key->finish(nullptr);
        }
        int status = result.status == attempt_status::timedOut ? 504 : 502;
        return dispatch_result { outcome::unknown, std::string(describe(result.status)), status, retrySoon };
    }

    dispatch_result refuse(std::string_view why, std::chrono::milliseconds retryAfter)
    {
        ++m_owner.m_counts.refusedHere;
        if (m_mayHaveRun) {
            return { outcome::unknown, std::string(why), 503, retryAfter };
        }
        if (m_job.key && !m_job.key->tryCancel()) {
            return { outcome::unknown, std::string(why), 503, retryAfter };
        }
        return { outcome::notRun, std::string(why), 503, retryAfter };
    }

    // Passes an answer on that is too large to hold whole. A break is visible to the caller, whose chunked
    // body then has no last chunk.
    dispatch_result stream(const routing::routed_upstream& upstream, const attempt_result& result)
    {
        dispatch_result told { .told = outcome::ran, .upstream = upstream.spec.name, .wasStreamed = true };
        if (m_job.key) {
            auto note = makeOutcome(outcome::ran, "answer-not-kept", 409);
            m_job.key->finish(std::make_shared<http::response_message>(std::move(note)));
        }
        auto& head = result.answer->head;
        http::removeHopByHopFields(head);
        head.erase("Content-Length");
        head.set(http::field::servedBy, upstream.spec.name);
        head.setChunkedTransferEncoding(true);
        setOutcome(head, outcome::ran, "");
        if (!m_job.caller) {
            return told;
        }
        auto limit = m_job.limit;
        auto written = m_job.caller->write(http::serializeHead(head), limit);
        std::string piece = std::move(result.answer->body);
        auto status = http::read_status::bodyTooLarge;
        while (written == http::io_status::ok && !piece.empty()) {
            written = m_job.caller->write(http::serializeChunk(piece), limit);
            piece.clear();
            if (status == http::read_status::bodyTooLarge && written == http::io_status::ok) {
                status = m_exchange.readMore(piece, streamPieceBytes, limit);
            }
        }
        bool isWhole = status == http::read_status::complete && written == http::io_status::ok;
        if (isWhole) {
            written = m_job.caller->write(http::serializeChunk(""), limit);
        } else {
            logEvent(event::upstreamAnswerBroken,
                { { "upstream", upstream.spec.name }, { "cause", "streaming" } });
        }
        told.isCallerBroken = !isWhole || written != http::io_status::ok;
        return told;
    }

    void endTrial(bool isHarmless)
    {
        if (m_isOnTrial) {
            m_owner.m_quarantine.endTrial(m_print, isHarmless);
            m_isOnTrial = false;
        }
    }

    dispatcher& m_owner;
    const dispatch_job& m_job;
    std::shared_ptr<admission_controller> m_gate;
    const fingerprint m_print;
    upstream_exchange m_exchange;
    std::vector<std::size_t> m_excluded;
    int m_attempts = 0;
    std::optional<attempt_result> m_erroneous; // A server's error that another upstream may better.
    std::size_t m_erroneousIndex = 0;
    bool m_isOnTrial = false;
    bool m_mayHaveRun = false;
    bool m_hasMetSilence = false;
    std::string m_silentUpstream;
    steady_clock::time_point m_silentSince;
};

dispatch_result dispatcher::run(const dispatch_job& job) { return run_state(*this, job).run(); }

std::shared_ptr<admission_controller> dispatcher::gateOf(const std::string& service)
{
    std::lock_guard lock(m_mutex);
    m_touched.insert(service);
    auto& gate = m_gates[service];
    if (!gate) {
        gate = std::make_shared<admission_controller>(admission::slot_share_choice {});
    }
    return gate;
}

std::set<std::string> dispatcher::takeTouched()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_touched, {});
}

void dispatcher::refreshGates()
{
    std::vector<std::shared_ptr<admission_controller>> gates;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [name, gate] : m_gates) {
            gates.push_back(gate);
        }
    }
    for (const auto& gate : gates) {
        gate->refresh();
    }
}

}
