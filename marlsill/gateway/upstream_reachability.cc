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

void upstream_reachability::recordAttempt(std::string_view upstream, bool wasReached,
    steady_clock::time_point startedAt, steady_clock::time_point now)
{
    m_monitor.recordAttempt(upstream, wasReached, startedAt, now);
    if (!wasReached) {
        tick(now);
    }
}

void upstream_reachability::tick(steady_clock::time_point now)
{
    auto due = static_cast<std::size_t>(m_monitor.takeDueProbes(now));
    if (due == 0) {
        return;
    }
    auto addresses = m_loadBalancer.sampleAddresses(due);
    for (const auto& each : addresses) {
        asio::co_spawn(m_io, probe(each), asio::detached);
    }
    // Without upstreams there is nothing to be cut off from.
    for (auto missing = addresses.size(); missing < due; ++missing) {
        recordProbe(addresses.empty());
    }
}

asio::awaitable<void> upstream_reachability::probe(std::string address)
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
    recordProbe(wasReached);
}

void upstream_reachability::recordProbe(bool wasReached)
{
    if (!m_monitor.recordProbe(wasReached, steady_clock::now())) {
        return;
    }
    logEvent(event::cutOffChanged, { { "cut_off", isCutOff() ? "1" : "0" } });
    if (m_listener) {
        m_listener(isCutOff());
    }
}

}
