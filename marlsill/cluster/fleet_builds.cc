#include "marlsill/cluster/fleet_builds.h"

#include <algorithm>

namespace marlsill::cluster {

namespace {

    // Keeps what is stated out of the syntax of logs and metrics.
    bool isVersionCharacter(char character)
    {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z')
            || (character >= 'A' && character <= 'Z') || character == '.' || character == '-'
            || character == '+';
    }

}

fleet_builds::fleet_builds(std::string own)
{
    m_counts[own.empty() ? std::string(unstated) : std::move(own)] = 1;
}

bool fleet_builds::note(const std::string& host, std::string_view build)
{
    bool isReadable
        = build.size() <= maxLength && std::all_of(build.begin(), build.end(), isVersionCharacter);
    std::string next(build.empty() ? unstated : isReadable ? build : unreadable);
    auto& known = m_builds[host];
    if (known == next) {
        return false;
    }
    bool isNew = ++m_counts[next] == 1;
    bool hasGone = !known.empty() && remove(known);
    known = std::move(next);
    return isNew || hasGone;
}

bool fleet_builds::forget(const std::string& host)
{
    auto found = m_builds.find(host);
    if (found == m_builds.end()) {
        return false;
    }
    bool hasGone = remove(found->second);
    m_builds.erase(found);
    return hasGone;
}

std::string fleet_builds::summary() const
{
    std::string text;
    for (const auto& [build, count] : m_counts) {
        text += (text.empty() ? "" : ",") + build + "=" + std::to_string(count);
    }
    return text;
}

bool fleet_builds::remove(const std::string& build)
{
    auto found = m_counts.find(build);
    if (found == m_counts.end() || --found->second > 0) {
        return false;
    }
    m_counts.erase(found);
    return true;
}

}
