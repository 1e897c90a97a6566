#pragma once

// Reads the segments of a record from the platform.

#include "marlsill/platform/platform_client.h"

#include <optional>
#include <string>
#include <vector>

namespace marlsill::record {

// Returns the texts of all segments in the platform.
std::optional<std::vector<std::string>> readRecord(
    platform::platform_client& platform, deadline limit, reason& why);

}
