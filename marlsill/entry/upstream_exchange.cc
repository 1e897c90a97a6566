#include "marlsill/entry/upstream_exchange.h"

#include "marlsill/http/client.h"
#include "marlsill/http/field_names.h"
#include "marlsill/http/message_writer.h"

namespace marlsill::entry {

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 1000 };
    // A process that is ending closes its listening socket, and connections to it, within this time.
    constexpr std::chrono::milliseconds endOfProcessTime { 100 };

    std::optional<pooled_connection> connectToUpstream(const std::string& address, deadline limit)
    {
        auto parsed = http::parseAddress(address);
        if (!parsed) {
            return std::nullopt;
        }
        auto newChannel = http::channel::connect(*parsed, std::min(limit, deadlineAfter(connectTimeout)));
        if (!newChannel) {
            return std::nullopt;
        }
        return pooled_connection { std::move(*newChannel), steady_clock::now() };
    }

    http::request_message makeForwardedRequest(const http::request_message& request, deadline limit)
    {
        auto forwarded = request;
        http::removeHopByHopFields(forwarded.head);
        forwarded.head.setVersion("HTTP/1.1");
        auto timeLeft = std::chrono::milliseconds(millisecondsUntil(limit, steady_clock::now()));
        auto unixDeadline = toUnixMilliseconds(wall_clock::now() + timeLeft);
        forwarded.head.set(http::field::requestDeadlineMs, std::to_string(unixDeadline));
        return forwarded;
    }

}

bool mayHaveRun(attempt_status status)
{
    return status != attempt_status::notSent && status != attempt_status::refused;
}

bool isAcceptingConnections(const std::string& address, deadline limit)
{
    auto connection = connectToUpstream(address, limit);
    return connection
        && connection->channel.fill(deadlineAfter(endOfProcessTime)) == http::io_status::timedOut;
}

attempt_result upstream_exchange::run(const http::request_message& request,
    const routing::upstream_state& upstream, const attempt_limits& limits)
{
    auto started = steady_clock::now();
    m_address = upstream.address;
    m_connection = limits.mayReuseConnection ? m_pool.take(m_address, started) : std::nullopt;
    m_wasReused = m_connection.has_value();
    if (!m_connection) {
        m_connection = connectToUpstream(m_address, limits.attemptDeadline);
    }
    attempt_result result;
    if (m_connection) {
        result = send(request, limits);
        result.openedAt = m_connection ? m_connection->openedAt : started;
    }
    result.wasReused = m_wasReused;
    result.elapsed = steady_clock::now() - started;
    // After a refusal the connection is closed: a repetition of it would be taken for the next response.
    if (result.status == attempt_status::responded && result.response->head.getKeepAlive()) {
        m_pool.put(m_address, std::move(*m_connection), steady_clock::now());
    }
    if (result.status != attempt_status::responseTooLarge) {
        m_connection.reset();
    }
    return result;
}

attempt_result upstream_exchange::send(const http::request_message& request, const attempt_limits& limits)
{
    auto bytes = http::serialize(makeForwardedRequest(request, limits.requestDeadline));
    auto writeStatus = m_connection->channel.write(bytes, limits.attemptDeadline);
    switch (writeStatus) {
    case http::io_status::ok:
        return receive(request, limits);
    case http::io_status::timedOut:
        return { attempt_status::timedOut };
    default:
        return { attempt_status::connectionEnded };
    }
}

attempt_result upstream_exchange::receive(const http::request_message& request, const attempt_limits& limits)
{
    attempt_result result;
    auto response = std::make_shared<http::response_message>();
    auto& channel = m_connection->channel;
    const auto& method = request.head.getMethod();
    http::read_limits readLimits { .maxBodyBytes = limits.maxBodyBytes };
    auto responseStartDeadline
        = m_wasReused ? std::min(limits.firstByteDeadline, limits.attemptDeadline) : limits.attemptDeadline;
    auto fillStatus = channel.fill(responseStartDeadline, limits.caller);
    if (fillStatus == http::io_status::timedOut && responseStartDeadline < limits.attemptDeadline) {
        result.status = attempt_status::silentConnection;
        return result;
    }
    if (fillStatus != http::io_status::ok) {
        auto status = fillStatus == http::io_status::timedOut ? http::read_status::timedOut
            : fillStatus == http::io_status::cancelled        ? http::read_status::cancelled
                                                              : http::read_status::closedBeforeStart;
        result.status = toAttemptStatus(status, limits);
        return result;
    }
    auto status = http::readResponseHead(
        channel, response->head, method, readLimits, limits.attemptDeadline, limits.caller, m_body);
    if (status == http::read_status::complete) {
        status = m_body->readInto(
            response->body, readLimits.maxBodyBytes, limits.attemptDeadline, limits.caller);
    }
    result.status = toAttemptStatus(status, limits);
    if (result.status == attempt_status::responded && response->head.has(http::field::refused)) {
        result.status = attempt_status::refused;
    }
    result.response = std::move(response);
    return result;
}

attempt_status upstream_exchange::toAttemptStatus(
    http::read_status status, const attempt_limits& limits) const
{
    switch (status) {
    case http::read_status::complete:
        return attempt_status::responded;
    case http::read_status::bodyTooLarge:
        return attempt_status::responseTooLarge;
    case http::read_status::timedOut:
        return attempt_status::timedOut;
    case http::read_status::cancelled:
        return attempt_status::cancelled;
    case http::read_status::malformed:
        return attempt_status::malformed;
    default:
        break;
    }
    return hasPassed(limits.attemptDeadline, steady_clock::now()) ? attempt_status::timedOut
                                                                  : attempt_status::connectionEnded;
}

http::read_status upstream_exchange::readMore(
    std::string& chunk, std::size_t maxBytes, deadline limit, http::watched_socket watched)
{
    return m_body->readInto(chunk, maxBytes, limit, watched);
}

}
