#pragma once

// The stored form of segments.

#include "marlsill/base/reason.h"
#include "marlsill/record/fact_log.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::record {

// A segment that was read back.
struct read_segment {
    std::string incarnation;
    std::int64_t number = 0;
    std::string previousTag;
    std::string tag;
    std::vector<fact> facts;
};

// Where segments are stored: record/INCARNATION/NUMBER.
inline constexpr const char* recordPrefix = "record/";

// Returns the bytes of a segment and sets its tag.
std::string toText(read_segment& segment, std::string_view key);

// Parses a segment and checks its tag under the key.
std::optional<read_segment> parseSegment(std::string_view text, std::string_view key, reason& why);

}
