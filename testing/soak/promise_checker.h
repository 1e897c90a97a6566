#pragma once

// Checks the promises to callers and upstreams from what both have seen.
//
//     promise_checker checker;
//     checker.noteSent("r1", true);
//     checker.noteRun("r1", "u2", now); // Told by the upstream.
//     checker.noteAnswer("r1", { .status = 200, .request = "r1", .isWhole = true });
//     for (const auto& broken : checker.broken())
//         ...
//
// Thread safe.

#include "marlsill/base/time.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace marlsill::testing {

// An answer as a caller has got it.
struct seen_answer {
    int status = 0; // 0 when the connection ended without one.
    std::string request; // That it names.
    std::string seal; // That the upstream gave to it.
    bool isWhole = true; // All bytes that its head announced have come.
    bool isExpectedBody = true;
};

class promise_checker {
public:
    void noteSent(const std::string& request, bool isAtMostOnce);
    void noteRun(const std::string& request, const std::string& upstream, steady_clock::time_point at);
    void noteAnswer(const std::string& request, const seen_answer& answer);

    // Notes that an upstream must get nothing from `bound` on.
    void noteLeaving(const std::string& upstream, steady_clock::time_point bound);

    // Takes back the last noteLeaving() of an upstream, as no VM could have heard of it in time.
    void forgetLeaving(const std::string& upstream);

    // Notes by which version of the configuration a process has answered a request that was sent at `sentAt`.
    void noteConfiguration(const std::string& process, int version, steady_clock::time_point sentAt,
        steady_clock::time_point answeredAt);

    // Notes that a request's connection to a process ended without an answer.
    void noteUnanswered(const std::string& request, const std::string& process);

    // Notes that a process was told to stop, and that it was killed or paused, which excuses it.
    void notePlannedStop(const std::string& process);
    void noteDisturbed(const std::string& process);

    // Notes which process has read a request from its caller.
    void noteCarrier(const std::string& request, const std::string& process);

    // Notes that a request has reached an upstream, also if it is not run, and that it was turned away with a
    // time that ends at `until`. From half a second later until then the upstream may get two requests of the
    // same process.
    void noteArrival(const std::string& request, const std::string& upstream, steady_clock::time_point at);
    void noteTurnedAway(const std::string& request, const std::string& upstream, steady_clock::time_point at,
        steady_clock::time_point until);

    // Forgets the times that an upstream named, or a process was told, and ignores those named until `until`.
    void excuseTurnAways(const std::string& upstreamOrProcess, steady_clock::time_point until);

    // Returns how many times that were named have been watched.
    int turnAwaysWatched() const;

    // Notes anything else that is wrong.
    void noteBroken(std::string what);

    // Returns what is broken, in words. Call when all work has ended.
    std::vector<std::string> broken() const;

    int answered(int status) const;
    int sent() const;

private:
    struct run {
        std::string upstream;
        steady_clock::time_point at;
    };

    struct turn_away_window {
        steady_clock::time_point from {};
        steady_clock::time_point until {};
        int arrivals = 0;
    };

    struct version_record {
        int highest = 0;
        steady_clock::time_point at {};
    };

    struct request_record {
        bool isAtMostOnce = false;
        std::vector<run> runs;
        std::vector<seen_answer> answers;
        std::string unansweredBy; // Process.
    };

    mutable std::mutex m_mutex; // Guards what follows.
    std::map<std::string, request_record> m_requests;
    std::map<std::string, steady_clock::time_point> m_leaving;
    std::map<std::string, version_record> m_versions;
    std::map<std::string, std::string> m_carriers; // Processes by request.
    // By upstream and process.
    std::map<std::pair<std::string, std::string>, std::vector<turn_away_window>> m_turnAways;
    std::map<std::string, steady_clock::time_point> m_turnAwaysExcused; // By upstream or process.
    int m_turnAwaysWatched = 0;
    std::set<std::string> m_plannedStops;
    std::set<std::string> m_disturbed;
    std::vector<std::string> m_broken;
};

}
