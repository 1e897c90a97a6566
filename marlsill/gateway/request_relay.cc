#include "marlsill/gateway/request_relay.h"

#include "marlsill/base/random.h"
#include "marlsill/events/events.h"
#include "marlsill/gateway/response_match.h"
#include "marlsill/http/message_writer.h"
#include "marlsill/supervisor/loop_guard.h"

#include <sstream>

namespace marlsill::gateway {

namespace {

    // Caller, configuration, arrivals so far, counted; and whether the sender vouches for `accountField`,
    // which builds without accounts leave out, as they let a caller's own field of that name pass.
    constexpr const char* relayField = "Marlsill-Relay";
    constexpr const char* accountField = "Marlsill-Relay-Account"; // Digest of the key, in hexadecimal.
    constexpr const char* declinedField = "Marlsill-Relay-Declined";

}

bool isDeclined(const http::response_message& response) { return response.head.has(declinedField); }

http::response_message makeDecliningReply(std::string_view why)
{
    auto message = http::makeResponse(
        Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST, "text/plain", std::string(why) + "\n");
    message.head.set(declinedField, "1");
    return message;
}

void removeRelayFields(http::response_message& response)
{
    response.head.erase(declinedField);
    response.head.erase(relaySendingField);
}

void removeRelayFields(Poco::Net::HTTPRequest& head)
{
    head.erase(relayField);
    head.erase(accountField);
    head.erase(relaySendingField);
}

std::optional<std::uint64_t> takeRelayFields(served_request& request)
{
    std::istringstream field(request.message.head.get(relayField, ""));
    auto digest = request.message.head.get(accountField, "");
    removeRelayFields(request.message.head);
    std::uint64_t version = 0;
    bool isCounted = false;
    if (!(field >> request.caller >> version >> request.earlierArrivals >> isCounted)
        || request.earlierArrivals < 0) {
        return std::nullopt;
    }
    bool hasAccount = false;
    if (field >> hasAccount && hasAccount) {
        request.relayedKey = accounts::parseDigest(digest);
        if (!request.relayedKey) {
            return std::nullopt;
        }
    }
    request.isCounted = isCounted;
    request.isRelayed = true;
    return version;
}

std::string request_relay::serialize(
    const active_request& current, const std::string& sending, steady_clock::time_point now) const
{
    auto relayed = current.request;
    http::removeHopByHopFields(relayed.head);
    auto left = std::max<std::int64_t>(
        1, millisecondsUntil(current.effectiveDeadline - m_options.transitTime, now));
    relayed.head.set(m_wire.timeoutMs, std::to_string(left));
    std::ostringstream field;
    field << current.caller << ' ' << current.config->version() << ' ' << current.state.possibleRuns << ' '
          << current.isCounted;
    if (current.keyDigest) {
        field << " 1";
        relayed.head.set(accountField, accounts::toHex(*current.keyDigest));
    }
    relayed.head.set(relayField, field.str());
    relayed.head.set(relaySendingField, sending);
    return http::serialize(relayed);
}

asio::awaitable<std::shared_ptr<upstream_connection>> request_relay::connectTo(
    std::string peer, std::shared_ptr<active_request> current)
{
    auto now = steady_clock::now();
    bool isHead = current->request.head.getMethod() == "HEAD";
    auto connection = m_pool.take(peer, { .maxIdle = m_options.maxIdle, .isHead = isHead }, now);
    if (connection) {
        co_return connection;
    }
    boost::system::error_code invalid;
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(peer, invalid), m_options.port);
    if (invalid) {
        co_return nullptr;
    }
    connection = std::make_shared<upstream_connection>(m_io, endpoint, m_options.source);
    current->relayConnection = connection;
    bool isOpen
        = co_await connection->open(std::min(current->effectiveDeadline, now + m_options.connectTimeout));
    co_return isOpen ? connection : nullptr;
}

asio::awaitable<relay_outcome> request_relay::send(
    std::shared_ptr<active_request> current, std::vector<std::string> peers)
{
    relay_outcome outcome;
    if (m_inFlight.size() >= m_options.maxInFlight) {
        co_return outcome;
    }
    m_inFlight.insert(current.get());
    std::exception_ptr failure;
    try {
        outcome = co_await tryPeers(current, std::move(peers));
    } catch (...) {
        failure = std::current_exception();
    }
    current->relayConnection = nullptr;
    m_inFlight.erase(current.get());
    if (failure) {
        logEvent(
            event::handlerFailed, { { "request", current->id }, { "cause", describeException(failure) } });
        outcome.status = relay_status::unknown;
    }
    co_return outcome;
}

asio::awaitable<relay_outcome> request_relay::tryPeers(
    std::shared_ptr<active_request> current, std::vector<std::string> peers)
{
    relay_outcome outcome;
    int tried = 0;
    for (const auto& peer : peers) {
        if (tried++ >= m_options.maxPeersTried || current->isCancelled
            || hasPassed(current->effectiveDeadline, steady_clock::now())) {
            break;
        }
        auto connection = co_await connectTo(peer, current);
        if (!connection || current->isCancelled) {
            continue;
        }
        if (!m_mayStart(*current)) {
            connection->abort();
            break;
        }
        current->relayConnection = connection;
        const bool wasReused = connection->hasCarriedRequest();
        const auto sending = std::to_string(threadRandom()());
        exchange_options options { .isHead = current->request.head.getMethod() == "HEAD",
            .matchesRequest =
                [this, current, wasReused, sending](const auto& response) {
                    return isRelayedResponseTo(response, m_wire, current->id, sending, wasReused);
                },
            .limits = { .maxBodyBytes = m_options.maxResponseBytes },
            .buffers = m_options.buffers };
        auto result = co_await connection->exchange(serialize(*current, sending, steady_clock::now()),
            std::move(options), current->effectiveDeadline);
        bool isAnswered = result.status == exchange_status::completed;
        bool isRefusedByPeer = isAnswered && isDeclined(result.response);
        logEvent(event::requestRelayed,
            { { "request", current->id }, { "peer", peer },
                { "status", std::to_string(isAnswered ? result.response.head.getStatus() : 0) },
                { "declined", isRefusedByPeer ? "1" : "0" } });
        bool namesSending = result.response.head.has(relaySendingField);
        if (isAnswered && connection->isReusable() && namesSending) {
            m_pool.put(peer, connection);
        } else {
            connection->abort();
        }
        if (isRefusedByPeer) {
            continue;
        }
        outcome.status = isAnswered ? relay_status::answered : relay_status::unknown;
        outcome.response = std::move(result.response);
        removeRelayFields(outcome.response);
        break;
    }
    co_return outcome;
}

void request_relay::expireRequests()
{
    auto now = steady_clock::now();
    for (auto* each : m_inFlight) {
        each->effectiveDeadline = std::min(each->effectiveDeadline, now);
        if (each->relayConnection) {
            each->relayConnection->abort();
        }
    }
}

void request_relay::sweep()
{
    m_pool.sweep([](const std::string&) { return true; }, steady_clock::now());
}

}
