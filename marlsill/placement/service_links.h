#pragma once

// Decides to which upstreams this VM has lost its links: to all, or to those of single services.
//
//     service_links links;
//     links.recordAttempt("bookings", "upstream-17", false, startedAt, now);
//     for (const auto& [service, count] : links.takeDueProbes(now))
//         connectToSome(service, count); // Then recordProbe(service, isConnected, now) for each.
//     if (links.mayReport("bookings", evidence_kind::unreachable, now))
//         tellPeers();
//
// There is a reachability_monitor for all upstreams, named by the empty service, and one for each service
// with connects that failed. A VM that has lost the upstreams of one service goes on to reach those of
// others, so that the monitor for all never suspects anything. What such a VM finds out about the upstreams
// says nothing about them: peers that believed it would leave sound upstreams unused, or take them for used.
// A probe that reaches an upstream of the service proves the links, and for a time failures count as the
// upstreams' own again, so that peers still hear of upstreams that crash together. Does no I/O. Not thread
// safe.

#include "marlsill/placement/load_balancer.h"
#include "marlsill/placement/reachability_monitor.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::placement {

// Probes that are due for a service, or for all if it is empty.
struct due_probes {
    std::string service;
    int count = 0;
};

// See the file comment.
class service_links {
public:
    explicit service_links(reachability_options options = {})
        : m_options(options)
        , m_all(options)
    {
    }

    // Records an attempt that opened a connection, or lost one that was idle before. Returns whether
    // isCutOffFrom() has changed, as a connection that was opened since the cut proves the links.
    bool recordAttempt(std::string_view service, std::string_view upstream, bool wasReached,
        steady_clock::time_point startedAt, steady_clock::time_point now);

    // Returns which probes to start now; each must be followed by one recordProbe(). The cost grows with the
    // services of which a connect has failed lately.
    std::vector<due_probes> takeDueProbes(steady_clock::time_point now);

    // Records the result of a probe. Returns whether isCutOff() or isCutOffFrom() has changed for `service`.
    bool recordProbe(std::string_view service, bool wasReached, steady_clock::time_point now);

    // Returns whether no upstream at all can be reached, as confirmed by probes.
    bool isCutOff() const { return m_all.isCutOff(); }

    // Returns whether no upstream of the service can be reached, as confirmed by probes.
    bool isCutOffFrom(std::string_view service) const;

    // Returns whether failures of connections to any upstream may be this VM's own.
    bool isSuspicious() const { return m_all.isSuspicious(); }

    // Returns whether peers may be told what this VM has seen at an upstream of the service.
    bool mayReport(std::string_view service, evidence_kind kind, steady_clock::time_point now) const;

private:
    struct service_state {
        explicit service_state(const reachability_options& options)
            : monitor(options)
        {
        }

        reachability_monitor monitor;
        deadline trustedUntil {}; // A probe has reached upstreams; failures until then are theirs.
        steady_clock::time_point cutOffSince {};
        steady_clock::time_point lastFailure {};
    };

    const reachability_options m_options;
    reachability_monitor m_all;
    std::map<std::string, service_state, std::less<>> m_services;
};

}
