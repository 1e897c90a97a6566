#pragma once

// Checks every promise again from the record alone.
//
//     auto result = audit(texts, "key of the fleet");
//     return result.exitStatus();

#include "marlsill/record/record_file.h"

#include <span>
#include <string>
#include <vector>

namespace marlsill::record {

// What the record says of a promise.
enum class promise_verdict {
    kept,
    broken,
    unknown, // The record has gaps that could hide a breach.
};

// One promise and the facts that decided on it.
struct promise_result {
    std::string promise;
    promise_verdict verdict = promise_verdict::kept;
    std::vector<std::string> findings;
};

// The result of an audit.
struct audit_result {
    std::vector<promise_result> promises;
    std::size_t facts = 0;
    std::size_t incarnations = 0;

    // Returns 0 when every promise was kept, 1 when one was broken, and 3 when one is unknown and none
    // broken.
    int exitStatus() const;
};

// The time within which an accepted configuration is in force everywhere.
constexpr std::int64_t inForceMilliseconds = 8'000;

// Audits segments in any order.
audit_result audit(std::span<const std::string> segmentTexts, std::string_view key);

}
