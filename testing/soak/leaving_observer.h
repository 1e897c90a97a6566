#pragma once

// Checks the users' rule on upstreams that say in their answers that they leave, without asking the product.
//
//     leaving_observer observer(drainTime);
//     observer.noteSent("r1", "entry-1#1", now); // A caller is about to send it to this process.
//     observer.notePassedOn("r1", "u2", now); // The caller got u2's answer, which says that it leaves.
//     observer.noteArrival("r2", "u2", now); // Told by the upstream.
//     for (const auto& broken : observer.broken())
//         ...
//
// The rule: what a caller has sent to a process later than the drain time after that process passed such an
// answer on must not reach the upstream, until another process takes the upstream's place. Thread safe.

#include "marlsill/base/time.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marlsill::testing {

class leaving_observer {
public:
    explicit leaving_observer(steady_clock::duration drainTime)
        : m_drainTime(drainTime)
    {
    }

    void noteSent(const std::string& request, const std::string& process, steady_clock::time_point at);
    void notePassedOn(const std::string& request, const std::string& upstream, steady_clock::time_point at);
    void noteArrival(const std::string& request, const std::string& upstream);

    // Notes that another process has the upstream's id from now on.
    void noteReplaced(const std::string& upstream, steady_clock::time_point at);

    // Returns what is broken, in words.
    std::vector<std::string> broken() const;

    // Returns for how many notices, one for each process and upstream, a request came after the drain time.
    std::size_t checked() const;

private:
    struct sent_request {
        std::string process;
        steady_clock::time_point at;
    };

    using notice_key = std::pair<std::string, std::string>; // Process and upstream.

    bool isLate(const sent_request& request, const notice_key& key) const;

    const steady_clock::duration m_drainTime;
    mutable std::mutex m_mutex; // Guards what follows.
    std::map<std::string, sent_request> m_requests;
    std::map<notice_key, steady_clock::time_point> m_passedOn; // The first of each.
    std::map<std::string, steady_clock::time_point> m_replacedAt;
    std::set<std::pair<notice_key, steady_clock::time_point>> m_checked;
    std::vector<std::string> m_broken;
};

}
