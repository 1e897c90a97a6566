#pragma once

// The version of the build that a program is from.
//
//     std::puts(std::string(buildVersion()).c_str());

#include <string_view>

namespace marlsill {

// Returns the version that the project's build file states, such as "0.2.0".
std::string_view buildVersion();

}
