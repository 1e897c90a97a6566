#pragma once

// Keeps to the times for which upstreams turn requests away, and tells refused callers when to return; see
// placement/retry_after_holds.h and placement/return_schedule.h.
//
//     turn_away_monitor monitor(balancer, counters);
//     bool isHeldBack = monitor.recordResponse({ .upstream = "u1", ... }, response.head, now);
//     ...
//     if (auto delay = monitor.returnDelay("bookings", conditions, now))
//         refuse(*delay); // Every upstream of the service turns requests away.
//
// Not thread safe; used from a single event loop.

#include "marlsill/gateway/traffic_counters.h"
#include "marlsill/placement/load_balancer.h"
#include "marlsill/placement/return_schedule.h"

#include <Poco/Net/HTTPResponse.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace marlsill::gateway {

// The attempt that a response belongs to.
struct answered_attempt {
    std::string_view request; // Its id.
    std::string_view upstream;
    std::int64_t upstreamStartedUnixMs = 0; // As registered when the attempt began.
};

class turn_away_monitor {
public:
    // `balancer` and `counters` must outlive the monitor.
    turn_away_monitor(placement::load_balancer& balancer, traffic_counters& counters);

    // Takes over the time in the head of a response, if it is a 503 that names one. Returns whether it does.
    // One that cannot be read is logged, at most once a second, and ignored.
    bool recordResponse(const answered_attempt& attempt, const Poco::Net::HTTPResponse& response,
        steady_clock::time_point now);

    // Returns after which time a caller should return that is refused now, if every upstream of the service
    // turns requests away; otherwise std::nullopt. The latency in `conditions` is filled in.
    std::optional<std::chrono::milliseconds> returnDelay(
        const std::string& service, placement::return_conditions conditions, steady_clock::time_point now);

private:
    placement::load_balancer& m_loadBalancer;
    traffic_counters& m_counters;
    std::map<std::string, placement::return_schedule, std::less<>> m_schedules; // By service.
    deadline m_nextIgnoredLine {}; // When a value that cannot be read may be logged again.
};

}
