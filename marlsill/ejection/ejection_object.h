#pragma once

// The format of the platform objects that hold agreed ejections. Services are distributed over a fixed number
// of objects by a hash of their names.

#include "marlsill/base/reason.h"
#include "marlsill/base/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::ejection {

// One agreed ejection and the grounds for it.
struct ejection_entry {
    std::string service;
    std::string upstream;
    wall_deadline startedAt;
    wall_deadline until;
    std::string evidence;
    int floorSlots = 0; // The service's capacity floor when the ejection was agreed.
    int healthySlotsLeft = 0; // The healthy slots that remained after the ejection.
};

// Returns the name of the object that holds the ejections of `service`.
std::string ejectionObjectOf(std::string_view service);

// Serializes the entries of one object as JSON.
std::string formatEjections(const std::vector<ejection_entry>& entries);

// Parses an object that formatEjections() wrote. Returns std::nullopt and sets `why` to `invalid` if the text
// is not a JSON array or an entry has a missing field or one of the wrong type.
std::optional<std::vector<ejection_entry>> parseEjections(std::string_view text, reason& why);

}
