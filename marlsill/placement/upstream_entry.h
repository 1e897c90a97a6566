#pragma once

// What is registered about one upstream.

#include "marlsill/base/time.h"

#include <cstdint>
#include <string>

namespace marlsill::placement {

// One registered upstream. An upstream that starts again under the same identifier has a new `startedUnixMs`.
struct upstream_entry {
    std::string id;
    std::string service;
    std::string address; // ip:port
    std::string failureDomain;
    int slots = 1; // Requests that it runs at once.
    bool isLeaving = false; // It finishes its work and takes no new one.
    deadline warmUpUntil {}; // It is slow until then.
    std::int64_t startedUnixMs = 0; // Start of this life; 0 when unknown.
    std::uint64_t version = 0; // Of the registration; grows with each change.
    bool isUnconfirmed = false; // The registration went missing in an outage; it may only have lapsed.

    bool operator==(const upstream_entry&) const = default;
};

}
