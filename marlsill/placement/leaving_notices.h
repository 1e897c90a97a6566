#pragma once

// Remembers which upstreams have said in their responses that they leave.
//
//     leaving_notices notices;
//     if (notices.record({ "u1", entry.startedUnixMs, now }, &entry, now))
//         tell peers, close idle connections
//     ...
//     notices.noteRegistered(changedEntry); // As the list of upstreams changes.
//     if (!notices.isLeaving(changedEntry))
//         send requests to it
//
// Answers the load of a rolling restart: each upstream stops accepting requests before the list says so, and
// lists, peers, health checks and stale copies of the store say for seconds to minutes that it is ready. A
// notice is therefore bound to the process that gave it and is not outdated by any later report about that
// process. It ends when another process is registered under the identifier: one with a later start time or
// of another service or, if start times are unknown, one that was registered after the removal.
//
// The cost of each operation does not grow with the number of upstreams. Not thread safe.

#include "marlsill/placement/upstream_entry.h"

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marlsill::placement {

// That the process of an upstream leaves, as VMs report it to each other.
struct leaving_notice {
    std::string upstream;
    std::int64_t startedUnixMs = 0; // Of the process, as registered; 0 if unknown.
    steady_clock::time_point observedAt {}; // When a response said so.

    bool operator==(const leaving_notice&) const = default;
};

// Settings of the notices of one VM.
struct leaving_notice_options {
    // Notices of upstreams that are not registered are kept this long, in case a stale copy of the list
    // contains them.
    std::chrono::milliseconds unregisteredLifetime { 600'000 };
};

// See the file comment.
class leaving_notices {
public:
    explicit leaving_notices(leaving_notice_options options = {})
        : m_options(options)
    {
    }

    // Records a notice about an upstream, of which `registered` is the registration or nullptr. Returns
    // whether it is news; it is not if the process was known to leave, or if a later one is registered.
    bool record(const leaving_notice& notice, const upstream_entry* registered, steady_clock::time_point now);

    // Returns whether the process of a registration has said that it leaves.
    bool isLeaving(const upstream_entry& entry) const;

    // Notes that an upstream was registered or that its registration changed. Ends the notice of another
    // process.
    void noteRegistered(const upstream_entry& entry);

    // Notes that the registration of an upstream was removed.
    void noteRemoved(std::string_view upstream, steady_clock::time_point now);

    // Returns the notices that were ended by another process since the last call.
    std::vector<leaving_notice> takeEnded() { return std::exchange(m_ended, {}); }

    std::size_t size() const { return m_known.size(); }

private:
    struct known_notice {
        leaving_notice notice;
        std::string service; // Empty if it was never registered.
        std::uint64_t version = 0; // The highest of its registrations.
        deadline forgetAt = deadline::max(); // Set while it is not registered.
    };

    static bool isOtherProcess(const known_notice& known, const upstream_entry& entry);
    static void updateRegistration(known_notice& known, const upstream_entry& entry);
    void scheduleRemoval(known_notice& known, steady_clock::time_point now);
    void forgetExpired(steady_clock::time_point now);

    const leaving_notice_options m_options;
    std::map<std::string, known_notice, std::less<>> m_known;
    std::deque<std::pair<deadline, std::string>> m_removals; // In the order of the deadlines.
    std::vector<leaving_notice> m_ended;
};

}
