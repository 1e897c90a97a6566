#pragma once

// Counts the VMs of the fleet by the build that they run, as each states it of itself.
//
//     fleet_builds builds(std::string(buildVersion()));
//     if (builds.note(message.sender, message.build))
//         logEvent(event::fleetBuildsChanged, { { "builds", builds.summary() } });
//
// During an upgrade several builds run side by side. Performs no I/O. Not thread safe.

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace marlsill::cluster {

class fleet_builds {
public:
    // What VMs count as whose build states nothing, and those whose statement is no version.
    static constexpr std::string_view unstated = "unstated";
    static constexpr std::string_view unreadable = "unreadable";

    explicit fleet_builds(std::string own);

    // Records what a VM states, which is empty if its build states nothing. Returns whether a build is new in
    // the fleet, or has gone from it.
    bool note(const std::string& host, std::string_view build);

    // Forgets a VM that is gone. Returns whether its build has gone from the fleet.
    bool forget(const std::string& host);

    // Returns the number of VMs by build, this one included.
    const std::map<std::string, std::size_t, std::less<>>& counts() const { return m_counts; }

    // Returns the counts as in "0.2.0=31,unstated=5".
    std::string summary() const;

private:
    bool remove(const std::string& build);

    static constexpr std::size_t maxLength = 24; // Characters of a version.

    std::map<std::string, std::string, std::less<>> m_builds; // By host; of the other VMs.
    std::map<std::string, std::size_t, std::less<>> m_counts;
};

}
