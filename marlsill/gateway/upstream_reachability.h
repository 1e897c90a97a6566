#pragma once

// Finds out, from the attempts of requests and with a few connects of its own, whether this VM has lost its
// links to all upstreams, or to those of single services; see placement::service_links.
//
//     upstream_reachability reachability(io, loadBalancer, {});
//     reachability.setListener([](bool isCutOff) { tellPeers(isCutOff); });
//     reachability.recordAttempt("bookings", "upstream-17", false, startedAt, now);
//
// Not thread safe; used from a single event loop.

#include "marlsill/base/time.h"
#include "marlsill/placement/load_balancer.h"
#include "marlsill/placement/service_links.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace marlsill::gateway {

namespace asio = boost::asio;

// Settings of an upstream_reachability.
struct upstream_reachability_options {
    placement::reachability_options monitor;
    asio::ip::address_v4 source; // Of connections; unspecified: the system chooses.
    std::chrono::milliseconds connectTimeout { 300 }; // Far above a round trip between failure domains.
    std::chrono::milliseconds resetDelay { 30 }; // A connection that is reset within it was not established.
};

// See the file comment.
class upstream_reachability {
public:
    upstream_reachability(asio::io_context& io, placement::load_balancer& balancer,
        const upstream_reachability_options& options)
        : m_io(io)
        , m_loadBalancer(balancer)
        , m_options(options)
        , m_links(options.monitor)
    {
    }

    // Sets what is called when isCutOff() has changed.
    void setListener(std::function<void(bool isCutOff)> listener) { m_listener = std::move(listener); }

    // Records an attempt that opened a connection, or lost one that was idle before.
    void recordAttempt(std::string_view service, std::string_view upstream, bool wasReached,
        steady_clock::time_point startedAt, steady_clock::time_point now);

    // Starts probes that are due. Call a few times a second.
    void tick(steady_clock::time_point now);

    bool isCutOff() const { return m_links.isCutOff(); }
    bool isSuspicious() const { return m_links.isSuspicious(); }

    // Returns whether peers may be told what this VM has seen at an upstream of the service.
    bool mayReport(
        std::string_view service, placement::evidence_kind kind, steady_clock::time_point now) const
    {
        return m_links.mayReport(service, kind, now);
    }

private:
    asio::awaitable<void> probe(std::string service, std::string address);
    void recordProbe(std::string_view service, bool wasReached);
    void logChange(std::string_view service) const;

    asio::io_context& m_io;
    placement::load_balancer& m_loadBalancer;
    const upstream_reachability_options m_options;
    placement::service_links m_links;
    std::function<void(bool)> m_listener;
};

}
