#pragma once

// The registration of one upstream.

#include "marlsill/base/time.h"

#include <cstdint>
#include <string>

namespace marlsill::placement {

// A registered upstream. `startedUnixMs` changes when the upstream restarts under the same identifier.
struct upstream_entry {
    std::string id;
    std::string service;
    std::string address; // ip:port
    std::string failureDomain;
    int slots = 1; // Concurrency limit, in requests.
    bool isLeaving = false; // Draining: it completes its requests and accepts no new ones.
    deadline warmUpUntil {}; // End of the warm-up, during which it is slow.
    std::int64_t startedUnixMs = 0; // Start time in milliseconds since the Unix epoch; 0 if unknown.
    std::uint64_t version = 0; // Version of the registration; increases with each change.
    bool isUnconfirmed = false; // The registration disappeared during an outage; it may merely have expired.

    bool operator==(const upstream_entry&) const = default;
};

}
