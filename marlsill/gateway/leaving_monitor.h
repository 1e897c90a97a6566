#pragma once

// Reads from responses, and hears from peers, which upstreams leave; see placement/leaving_notices.h.
//
//     leaving_monitor monitor(balancer, counters, "X-Leaving", closeAndWake);
//     monitor.setReporter(...);
//     monitor.recordResponse("u1", startedUnixMs, response.head); // As soon as the head is read.
//
// Not thread safe; used from a single event loop.

#include "marlsill/gateway/traffic_counters.h"
#include "marlsill/placement/leaving_notices.h"
#include "marlsill/placement/load_balancer.h"

#include <Poco/Net/HTTPResponse.h>
#include <functional>
#include <string>

namespace marlsill::gateway {

// Called to tell peers of a notice. May be empty.
using leaving_reporter = std::function<void(const placement::leaving_notice&)>;

// See the file comment.
class leaving_monitor {
public:
    // `field` is the name of the header field. `onLeaving` is called when an upstream that is registered is
    // found to leave. `balancer` and `counters` must outlive the monitor.
    leaving_monitor(placement::load_balancer& balancer, traffic_counters& counters, std::string field,
        std::function<void(const placement::upstream_entry&)> onLeaving);

    void setReporter(leaving_reporter report) { m_report = std::move(report); }

    // Takes over what the head of a response says, if it says that the upstream leaves. `startedUnixMs` is
    // the start time under which the upstream was registered when the connection was chosen. A response that
    // rejects the request as misdirected comes from another process and is ignored.
    void recordResponse(const std::string& upstream, std::int64_t startedUnixMs,
        const Poco::Net::HTTPResponse& head, steady_clock::time_point now);

    // Applies a peer's notice.
    void applyPeerNotice(const placement::leaving_notice& notice);

    // Logs which notices a change of the registrations has ended.
    void logEnded();

private:
    bool apply(
        const placement::leaving_notice& notice, std::string_view source, steady_clock::time_point now);
    void recordMalformed(const std::string& upstream, const std::string& value, steady_clock::time_point now);

    placement::load_balancer& m_loadBalancer;
    traffic_counters& m_counters;
    const std::string m_field;
    const std::function<void(const placement::upstream_entry&)> m_onLeaving;
    leaving_reporter m_report;
    deadline m_nextMalformedLogAt {};
};

}
