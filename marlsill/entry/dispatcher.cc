#include "marlsill/entry/dispatcher.h"

#include "marlsill/events/events.h"
#include "marlsill/http/field_names.h"
#include "marlsill/http/message_writer.h"

#include <cmath>
#include <sys/eventfd.h>
#include <unistd.h>

namespace marlsill::entry {

namespace {

    constexpr std::chrono::milliseconds defaultRetryAfter { 1000 };
    constexpr std::chrono::milliseconds maxFirstByteWait { 250 };
    constexpr std::size_t streamChunkBytes = 64 * 1024;
    constexpr const char* vmIsStopping = "stopping"; // Outcome reason.
    constexpr std::chrono::milliseconds crashCheckTimeout { 400 }; // Far above a round trip.

    // Converts the result of one attempt into evidence about its upstream.
    routing::upstream_evidence makeEvidence(const attempt_result& result)
    {
        routing::upstream_evidence evidence;
        switch (result.status) {
        case attempt_status::responded:
        case attempt_status::responseTooLarge: {
            evidence.runs = 1;
            evidence.failures = result.response->head.getStatus() >= 500 ? 1 : 0;
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
        case attempt_status::connectionEnded:
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
        case attempt_status::silentConnection:
        case attempt_status::cancelled:
            break;
        }
        return evidence;
    }

    // Returns the outcome reason for an attempt that did not produce a response.
    std::string_view toReason(attempt_status status)
    {
        switch (status) {
        case attempt_status::notSent:
            return "no-connection";
        case attempt_status::refused:
            return "refused-by-upstream";
        case attempt_status::connectionEnded:
            return "connection-ended";
        case attempt_status::malformed:
            return "malformed-answer";
        case attempt_status::timedOut:
            return "deadline";
        case attempt_status::silentConnection:
            return "silent-connection";
        case attempt_status::cancelled:
            return "caller-gone";
        default:
            return "answered";
        }
    }

    // Returns the outcome reason for a request that was not admitted.
    std::string_view toReason(admission::admission_status status)
    {
        switch (status) {
        case admission::admission_status::queueFull:
            return "overload-queue-full";
        case admission::admission_status::wouldBeLate:
            return "overload-would-be-late";
        case admission::admission_status::noUpstream:
            return "no-upstream";
        case admission::admission_status::closed:
            return vmIsStopping;
        default:
            return "cancelled";
        }
    }

}

dispatcher::dispatcher(upstream_pool& pool, quarantine_list& quarantine, dispatcher_options options)
    : m_pool(pool)
    , m_quarantine(quarantine)
    , m_options(options)
    , m_expiry(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

dispatcher::~dispatcher()
{
    if (m_expiry >= 0) {
        ::close(m_expiry);
    }
}

// State of one request over all its attempts.
class dispatcher::dispatch_run {
public:
    dispatch_run(dispatcher& owner, const dispatch_job& job)
        : m_owner(owner)
        , m_job(job)
        , m_admission(owner.admissionControllerFor(job.service.name))
        , m_fingerprint(quarantineFingerprintOf(job.request))
        , m_exchange(owner.m_pool)
    {
    }

    dispatch_result run()
    {
        m_admission->retryBudget().setPercent(m_job.service.rules.retryPercent);
        m_admission->retryBudget().countRequest();
        while (true) {
            if (!mayStart()) {
                return orServerErrorResponse(makeRejection(vmIsStopping, defaultRetryAfter));
            }
            auto admitted
                = m_admission->acquire(m_job.service, m_job.account, m_job.requestDeadline, m_excluded);
            if (admitted.status != admission::admission_status::granted) {
                return orServerErrorResponse(makeRejection(toReason(admitted.status), admitted.retryAfter));
            }
            const auto& upstream = m_job.service.upstreams[admitted.upstream];
            if (auto rejected = beginDispatch()) {
                m_admission->release(*upstream.state, {});
                return *rejected;
            }
            auto result = attempt(upstream);
            if (auto final = handleAttemptResult(upstream, admitted.upstream, result)) {
                return final->requestOutcome == outcome::ran ? *final
                                                             : orServerErrorResponse(std::move(*final));
            }
        }
    }

private:
    bool mayStart() const { return m_owner.mayStart(m_job.service, *m_admission); }

    // Checks the deadline, the planned stop and the quarantine list, and marks the key as dispatched. Returns
    // a result if the request must not be sent.
    std::optional<dispatch_result> beginDispatch()
    {
        if (hasPassed(m_job.requestDeadline, steady_clock::now())) {
            return makeRejection("deadline", defaultRetryAfter);
        }
        if (!mayStart()) {
            return makeRejection(vmIsStopping, defaultRetryAfter);
        }
        auto decision = m_owner.m_quarantine.admit(m_fingerprint);
        if (decision == quarantine_decision::suspected) {
            return makeRejection("suspected", defaultRetryAfter);
        }
        if (decision == quarantine_decision::quarantined) {
            auto rejection = makeRejection("quarantined", {});
            rejection.status = 422;
            return rejection;
        }
        m_isProbe = decision == quarantine_decision::probe;
        if (m_job.key && !m_job.key->tryDispatch()) {
            endProbe(false);
            return dispatch_result { outcome::notRun, "cancelled", 409 };
        }
        return std::nullopt;
    }

    attempt_result attempt(const routing::routed_upstream& upstream)
    {
        ++m_attempts;
        ++m_owner.m_counts.attempts;
        auto now = steady_clock::now();
        attempt_limits limits { m_job.requestDeadline, m_job.requestDeadline };
        if (m_job.isIdempotent && m_attempts == 1) {
            // Leaves half of the time for a retry.
            limits.attemptDeadline = now + (m_job.requestDeadline - now) / 2;
        }
        limits.firstByteDeadline
            = now + std::min<steady_clock::duration>(maxFirstByteWait, (m_job.requestDeadline - now) / 4);
        limits.mayReuseConnection = m_job.isIdempotent && !m_requiresNewConnection;
        limits.maxBodyBytes = m_owner.m_options.maxBufferedResponseBytes;
        if (m_job.caller && !m_job.isNotRepeatable) {
            limits.caller = m_job.caller->watch();
        }
        limits.caller.endDescriptor = m_owner.m_expiry;
        return m_exchange.run(m_job.request, *upstream.state, limits);
    }

    // Records the result of one attempt. Returns the final result unless another attempt follows.
    std::optional<dispatch_result> handleAttemptResult(
        const routing::routed_upstream& upstream, std::size_t index, const attempt_result& result)
    {
        m_admission->release(*upstream.state, result.elapsed);
        bool isGivenUp = m_owner.m_isExpired
            && (result.status == attempt_status::timedOut
                || result.status == attempt_status::silentConnection);
        if (!isGivenUp) {
            upstream.state->addEvidence(makeEvidence(result));
        }
        bool hasCrashed = result.status == attempt_status::connectionEnded
            && !isAcceptingConnections(upstream.state->address, deadlineAfter(crashCheckTimeout));
        if (hasCrashed) {
            m_owner.m_quarantine.reportCrash(
                m_fingerprint, m_job.service.name, upstream.spec.name, m_isProbe);
        }
        endProbe(
            result.status == attempt_status::responded || result.status == attempt_status::responseTooLarge);
        switch (result.status) {
        case attempt_status::responded:
            return prepareServerErrorRetry(index, result)
                ? std::nullopt
                : std::optional(makeUpstreamResult(upstream, result));
        case attempt_status::responseTooLarge:
            return streamToCaller(upstream, result);
        case attempt_status::cancelled:
            ++m_owner.m_counts.cancelled;
            return dispatch_result { .requestOutcome = outcome::unknown,
                .outcomeReason = "caller-gone",
                .mustCloseConnection = true };
        case attempt_status::silentConnection:
            return handleSilentConnection(upstream);
        case attempt_status::notSent:
        case attempt_status::refused:
            return handleNotExecuted(index, result);
        default:
            return handleUndetermined(upstream, index, result);
        }
    }

    // Prepares the response of an upstream for the caller. If an earlier attempt met a silent connection to
    // the same upstream, the upstream itself is reachable, so its older pooled connections are closed.
    dispatch_result makeUpstreamResult(const routing::routed_upstream& upstream, const attempt_result& result)
    {
        if (m_requiresNewConnection && m_silentUpstreamName == upstream.spec.name) {
            auto closedCount = m_owner.m_pool.invalidate(upstream.spec.address, m_silenceDetectedAt);
            logEvent(event::upstreamConnectionsCondemned,
                { { "upstream", upstream.spec.name }, { "connections", std::to_string(closedCount) } });
        }
        http::removeHopByHopFields(result.response->head);
        result.response->head.set(http::field::servedBy, upstream.spec.name);
        setOutcome(result.response->head, outcome::ran, "");
        if (m_job.key) {
            m_job.key->finish(result.response);
        }
        return {
            .requestOutcome = outcome::ran, .response = result.response, .upstream = upstream.spec.name
        };
    }

    // Prepares a retry on another upstream after a server error. Returns false if the request is not to be
    // retried. Keeps the error response in case no other upstream gives a better one.
    bool prepareServerErrorRetry(std::size_t index, const attempt_result& result)
    {
        int status = result.response->head.getStatus();
        bool isServerError = status == 500 || status == 502 || status == 503 || status == 504;
        bool hasTime = !hasPassed(m_job.requestDeadline, steady_clock::now());
        bool mayRetry = isServerError && m_job.isIdempotent && hasTime
            && m_attempts < m_owner.m_options.maxAttempts && mayStart()
            && m_admission->retryBudget().tryTake();
        if (mayRetry) {
            ++m_owner.m_counts.retries;
            m_excluded.push_back(index);
            m_serverErrorResult = result;
            m_serverErrorIndex = index;
        }
        return mayRetry;
    }

    // Returns the response of an earlier server error if there is one, and `failure` otherwise.
    dispatch_result orServerErrorResponse(dispatch_result failure)
    {
        return m_serverErrorResult
            ? makeUpstreamResult(m_job.service.upstreams[m_serverErrorIndex], *m_serverErrorResult)
            : std::move(failure);
    }

    // Handles a reused connection that delivered no response byte in time. Sends the request again on a new
    // connection, which is safe as only idempotent requests use reused connections.
    std::optional<dispatch_result> handleSilentConnection(const routing::routed_upstream& upstream)
    {
        ++m_owner.m_counts.silentConnections;
        m_mayHaveRun = true;
        m_requiresNewConnection = true;
        m_silentUpstreamName = upstream.spec.name;
        m_silenceDetectedAt = steady_clock::now();
        return std::nullopt;
    }

    // Handles an attempt that the upstream certainly did not run.
    std::optional<dispatch_result> handleNotExecuted(std::size_t index, const attempt_result& result)
    {
        if (result.status == attempt_status::refused) {
            ++m_owner.m_counts.refusedByUpstream;
        }
        m_excluded.push_back(index);
        bool mayRetry = m_attempts < m_owner.m_options.maxAttempts && mayStart()
            && m_admission->retryBudget().tryTake();
        if (m_job.key) {
            m_job.key->returnToQueue();
        }
        if (!mayRetry) {
            return makeRejection(toReason(result.status), defaultRetryAfter);
        }
        ++m_owner.m_counts.retries;
        return std::nullopt;
    }

    // Handles an attempt that the upstream may have run.
    std::optional<dispatch_result> handleUndetermined(
        const routing::routed_upstream& upstream, std::size_t index, const attempt_result& result)
    {
        logEvent(event::upstreamAnswerBroken,
            { { "upstream", upstream.spec.name }, { "cause", std::string(toReason(result.status)) } });
        m_mayHaveRun = true;
        m_excluded.push_back(index);
        bool isStaleConnection = result.status == attempt_status::connectionEnded && result.wasReused;
        if (isStaleConnection) {
            m_excluded.pop_back();
            m_requiresNewConnection = true;
        }
        bool hasTime = !hasPassed(m_job.requestDeadline, steady_clock::now());
        bool mayRetry = m_job.isIdempotent && hasTime && m_attempts < m_owner.m_options.maxAttempts
            && mayStart() && (isStaleConnection || m_admission->retryBudget().tryTake());
        if (mayRetry) {
            ++m_owner.m_counts.retries;
            return std::nullopt;
        }
        if (m_job.key) {
            m_job.key->finish(nullptr);
        }
        int status = result.status == attempt_status::timedOut ? 504 : 502;
        return dispatch_result { outcome::unknown, std::string(toReason(result.status)), status,
            defaultRetryAfter };
    }

    // Returns the result of a request that this VM does not send (again). The outcome is unknown if an
    // earlier attempt may have run or the key cannot be cancelled.
    dispatch_result makeRejection(std::string_view outcomeReason, std::chrono::milliseconds retryAfter)
    {
        ++m_owner.m_counts.refusedHere;
        if (m_mayHaveRun) {
            return { outcome::unknown, std::string(outcomeReason), 503, retryAfter };
        }
        if (m_job.key && !m_job.key->tryCancel()) {
            return { outcome::unknown, std::string(outcomeReason), 503, retryAfter };
        }
        return { outcome::notRun, std::string(outcomeReason), 503, retryAfter };
    }

    // Streams a response that is too large to buffer. If it is cut short, the caller can tell because the
    // chunked body lacks its last chunk.
    dispatch_result streamToCaller(const routing::routed_upstream& upstream, const attempt_result& result)
    {
        dispatch_result streamed {
            .requestOutcome = outcome::ran, .upstream = upstream.spec.name, .wasStreamed = true
        };
        if (m_job.key) {
            auto placeholder = makeOutcome(outcome::ran, "answer-not-kept", 409);
            m_job.key->finish(std::make_shared<http::response_message>(std::move(placeholder)));
        }
        auto& head = result.response->head;
        http::removeHopByHopFields(head);
        head.erase("Content-Length");
        head.set(http::field::servedBy, upstream.spec.name);
        head.setChunkedTransferEncoding(true);
        setOutcome(head, outcome::ran, "");
        if (!m_job.caller) {
            return streamed;
        }
        auto limit = m_job.requestDeadline;
        auto writeStatus = m_job.caller->write(http::serializeHead(head), limit);
        std::string chunk = std::move(result.response->body);
        auto status = http::read_status::bodyTooLarge;
        while (writeStatus == http::io_status::ok && !chunk.empty()) {
            writeStatus = m_job.caller->write(http::serializeChunk(chunk), limit);
            chunk.clear();
            if (status == http::read_status::bodyTooLarge && writeStatus == http::io_status::ok) {
                status = m_exchange.readMore(
                    chunk, streamChunkBytes, limit, { .endDescriptor = m_owner.m_expiry });
            }
        }
        bool isComplete = status == http::read_status::complete && writeStatus == http::io_status::ok;
        if (isComplete) {
            writeStatus = m_job.caller->write(http::serializeChunk(""), limit);
        } else {
            logEvent(event::upstreamAnswerBroken,
                { { "upstream", upstream.spec.name }, { "cause", "streaming" } });
        }
        streamed.mustCloseConnection = !isComplete || writeStatus != http::io_status::ok;
        return streamed;
    }

    void endProbe(bool receivedResponse)
    {
        if (m_isProbe) {
            m_owner.m_quarantine.endProbe(m_fingerprint, receivedResponse);
            m_isProbe = false;
        }
    }

    dispatcher& m_owner;
    const dispatch_job& m_job;
    std::shared_ptr<admission_controller> m_admission;
    const request_fingerprint m_fingerprint;
    upstream_exchange m_exchange;
    std::vector<std::size_t> m_excluded;
    int m_attempts = 0;
    std::optional<attempt_result> m_serverErrorResult; // Returned if no later attempt gets a response.
    std::size_t m_serverErrorIndex = 0;
    bool m_isProbe = false;
    bool m_mayHaveRun = false;
    bool m_requiresNewConnection = false; // A reused connection was silent or had been closed.
    std::string m_silentUpstreamName;
    steady_clock::time_point m_silenceDetectedAt; // Connections opened before then are suspect.
};

dispatch_result dispatcher::run(const dispatch_job& job) { return dispatch_run(*this, job).run(); }

void dispatcher::beginStop(const placement::stop_admission& admission)
{
    std::lock_guard lock(m_mutex);
    m_stop = admission;
    m_isStopping = true;
}

void dispatcher::refuseWaiting()
{
    std::lock_guard lock(m_mutex);
    m_refusesWaiting = true;
    for (const auto& [name, controller] : m_admissionControllers) {
        controller->close();
    }
}

void dispatcher::expireRequests()
{
    refuseWaiting();
    m_isExpired = true;
    ::eventfd_write(m_expiry, 1);
}

bool dispatcher::mayStart(const routing::routed_service& service, const admission_controller& admission)
{
    if (!m_isStopping) {
        return true;
    }
    placement::stop_outlook outlook { .usualLatency = admission.meanServiceTime(),
        .objective = std::chrono::milliseconds(service.rules.objective.latencyMilliseconds) };
    std::lock_guard lock(m_mutex);
    return m_stop->mayStart(outlook, steady_clock::now());
}

std::shared_ptr<admission_controller> dispatcher::admissionControllerFor(const std::string& service)
{
    std::lock_guard lock(m_mutex);
    m_activeServices.insert(service);
    auto& controller = m_admissionControllers[service];
    if (!controller) {
        controller = std::make_shared<admission_controller>(admission::slot_share_choice {});
        if (m_refusesWaiting) {
            controller->close();
        }
    }
    return controller;
}

std::set<std::string> dispatcher::takeActiveServices()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_activeServices, {});
}

void dispatcher::refreshAdmission()
{
    std::vector<std::shared_ptr<admission_controller>> controllers;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [name, controller] : m_admissionControllers) {
            controllers.push_back(controller);
        }
    }
    for (const auto& controller : controllers) {
        controller->refresh();
    }
}

}
