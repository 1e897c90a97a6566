#include "marlsill/gateway/upstream_reachability.h"

#include "marlsill/events/events.h"
#include "marlsill/gateway/endpoint.h"
#include "marlsill/gateway/upstream_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marlsill::gateway {

void upstream_reachability::recordAttempt(std::string_view service, std::string_view upstream,
    bool wasReached, steady_clock::time_point startedAt, steady_clock::time_point now)
{
    if (m_links.recordAttempt(service, upstream, wasReached, startedAt, now)) {
        logChange(service);
    }
    if (!wasReached) {
        tick(now);
    }
}

void upstream_reachability::tick(steady_clock::time_point now)
{
    for (const auto& [service, count] : m_links.takeDueProbes(now)) {
        auto due = static_cast<std::size_t>(count);
        auto addresses = m_loadBalancer.sampleAddresses(service, due);
        for (const auto& each : addresses) {
            asio::co_spawn(m_io, probe(service, each), asio::detached);
        }
        // Without upstreams there is nothing to be cut off from.
        for (auto missing = addresses.size(); missing < due; ++missing) {
            recordProbe(service, addresses.empty());
        }
    }
}

asio::awaitable<void> upstream_reachability::probe(std::string service, std::string address)
{
    bool wasReached = false;
    if (auto endpoint = parseEndpoint(address)) {
        auto connection = std::make_shared<upstream_connection>(m_io, *endpoint, m_options.source);
        if (co_await connection->open(deadlineAfter(m_options.connectTimeout))) {
            asio::steady_timer timer(m_io, m_options.resetDelay);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            wasReached = connection->hasNoPendingInput();
        }
        connection->abort();
    }
    recordProbe(service, wasReached);
}

void upstream_reachability::recordProbe(std::string_view service, bool wasReached)
{
    if (!m_links.recordProbe(service, wasReached, steady_clock::now())) {
        return;
    }
    logChange(service);
    if (service.empty() && m_listener) {
        m_listener(isCutOff());
    }
}

void upstream_reachability::logChange(std::string_view service) const
{
    bool hasLost = service.empty() ? isCutOff() : m_links.isCutOffFrom(service);
    logEvent(
        event::cutOffChanged, { { "cut_off", hasLost ? "1" : "0" }, { "service", std::string(service) } });
}

}
