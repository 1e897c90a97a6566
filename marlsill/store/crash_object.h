#pragma once

// The form in which the store holds the crash records of one request.
//
//     auto object = toCrashObject(records, steady_clock::now(), wall_clock::now());
//     client.put(kind, crashObjectName(fingerprint), encodeCrashObject(object), limit, why);

#include "marlsill/base/reason.h"
#include "marlsill/base/time.h"
#include "marlsill/placement/crash_quarantine.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::store {

// The crashes of one upstream under the request, and those of them that it was cleared of.
struct crash_counts {
    int crashes = 0;
    int cleared = 0;

    bool operator==(const crash_counts&) const = default;
};

// All that is known of one request.
struct crash_object {
    std::map<std::string, crash_counts> upstreams; // By id.
    wall_deadline expiresAt; // When the request is forgotten.

    // Returns how many crashes the request may have caused.
    int crashes() const;
};

// Returns the name of a request's object.
std::string crashObjectName(std::uint64_t fingerprint);

// Returns the request that an object of this name is about; std::nullopt if it is no such name.
std::optional<std::uint64_t> crashObjectFingerprint(const std::string& name);

// Convert between the records of one request and its object, given one reading of both clocks.
crash_object toCrashObject(std::span<const placement::crash_record> records, steady_clock::time_point now,
    wall_clock::time_point wallNow);
std::vector<placement::crash_record> toCrashRecords(std::uint64_t fingerprint, const crash_object& object,
    steady_clock::time_point now, wall_clock::time_point wallNow);

nlohmann::json encodeCrashObject(const crash_object& object);

// Return std::nullopt and set `why` if a field is missing or malformed. parseCrashObject() reads JSON text
// and refuses one of more than `maxCrashObjectBytes`, which no VM writes.
std::optional<crash_object> decodeCrashObject(const nlohmann::json& content, reason& why);
std::optional<crash_object> parseCrashObject(std::string_view text, reason& why);

constexpr std::size_t maxCrashObjectBytes = 64 * 1024; // Hundreds of upstreams.

// Returns the larger of each count, and the later expiry.
crash_object merged(const crash_object& first, const crash_object& second);

// Returns whether `stored` need not be written again for what `known` says: its counts are at least as large,
// and it does not expire much earlier.
bool covers(const crash_object& stored, const crash_object& known);

}
