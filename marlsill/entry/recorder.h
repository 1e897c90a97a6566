#pragma once

// Writes this daemon's segments of the audit record in the platform: single facts, and request counts per
// service that are summed up between two segments.
//
//     recorder auditRecorder(platform, { .incarnation = incarnation, .hmacKey = fleetKey });
//     auditRecorder.add({ .kind = fact_kind::inForce, .generation = 17 });
//     auditRecorder.countRequest(report);
//     auditRecorder.run(stop); // On a thread of its own, run by a supervisor.

#include "marlsill/entry/outcome_facts.h"
#include "marlsill/platform/platform_client.h"
#include "marlsill/record/fact_log.h"

#include <map>
#include <mutex>
#include <stop_token>
#include <string>

namespace marlsill::entry {

// Options of a recorder.
struct recorder_options {
    std::string incarnation;
    std::string hmacKey; // Authenticates the segments; the fleet key.
    // Time between two segments, which limits the rate of writes to the platform.
    std::chrono::milliseconds segmentInterval { 10'000 };
};

// Buffers facts in memory and stores them in the platform as sealed segments. Thread safe.
class recorder {
public:
    recorder(platform::platform_client& platform, recorder_options options);

    // Records a fact with the current time.
    void add(record::fact newFact);

    // Counts a finished request for its service level. Also records the outcome if the request has an
    // idempotency key and is not repeatable.
    void countRequest(const request_report& report);

    // Stores a segment every `segmentInterval` until a stop is requested. The facts of a segment that could
    // not be stored go into the next one.
    void run(const std::stop_token& stop);

    // Records the planned stop and stores all remaining facts. Returns false if the deadline `limit` passed
    // or the platform failed before everything was stored.
    bool close(deadline limit);

private:
    struct service_level_key {
        std::string service;
        std::string upstream;
        std::string cause;

        auto operator<=>(const service_level_key&) const = default;
    };

    struct service_level_counts {
        std::int64_t requests = 0;
        std::int64_t failed = 0;
        std::int64_t slow = 0;
    };

    // Turns the request counts so far into facts and resets them.
    void recordServiceLevels();

    // Returns whether a segment was stored; false also if there was nothing to store.
    bool storeNextSegment(deadline limit);

    platform::platform_client& m_platform;
    const recorder_options m_options;
    record::fact_log m_log;
    std::mutex m_storeMutex; // Held while a segment is sealed and stored.
    std::mutex m_serviceLevelsMutex; // Guards m_serviceLevels.
    std::map<service_level_key, service_level_counts> m_serviceLevels;
};

}
