#pragma once

// The requests for one service that wait for an upstream on one VM, and what they can expect.
//
//     admission_queue<request_run> line;
//     line.enqueue(request, { .priority = 1, .limit = limit, .caller = "10.0.0.7" });
//     if (auto next = line.peekNext())
//         next->wake();
//
// Answers the load of a service that has less room than requests: urgent requests go first, callers take
// turns, and what cannot be answered in time is refused at once. Not thread safe.

#include "marlsill/base/time.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace marlsill::placement {

// What decides the place of a waiting request.
struct queue_key {
    int priority = 0; // Lower goes first.
    deadline limit {}; // When its answer is due.
    std::string caller; // Those that send many at once wait for their turn.
};

// See the file comment. `Waiter` is owned by others; one that has gone leaves the line by itself.
template <typename Waiter> class admission_queue {
public:
    void enqueue(const std::shared_ptr<Waiter>& waiter, queue_key place, steady_clock::time_point now)
    {
        clean();
        m_standingSince = m_entries.empty() ? now : m_standingSince;
        auto turn = std::count_if(m_entries.begin(), m_entries.end(),
            [&](const entry& each) { return each.place.caller == place.caller; });
        m_entries.push_back({ waiter, std::move(place), turn });
    }

    void remove(const Waiter& waiter)
    {
        std::erase_if(m_entries, [&](const entry& each) {
            auto waiting = each.waiter.lock();
            return !waiting || waiting.get() == &waiter;
        });
    }

    // Returns the one to be served next, or nullptr.
    std::shared_ptr<Waiter> peekNext()
    {
        clean();
        auto found = std::min_element(m_entries.begin(), m_entries.end(),
            [](const entry& left, const entry& right) { return rankOf(left) < rankOf(right); });
        return found == m_entries.end() ? nullptr : found->waiter.lock();
    }

    std::size_t size() const { return m_entries.size(); }

    // Returns whether the line has not been empty for so long that it is no passing burst.
    bool isStanding(steady_clock::time_point now) const
    {
        return !m_entries.empty() && now - m_standingSince >= standingAfter;
    }

private:
    struct entry {
        std::weak_ptr<Waiter> waiter;
        queue_key place;
        std::ptrdiff_t turn = 0; // Requests of its caller that waited when it joined.
    };

    static std::tuple<int, std::ptrdiff_t, deadline> rankOf(const entry& each)
    {
        return { each.place.priority, each.turn, each.place.limit };
    }

    // Longer than bursts and restarts of upstreams, which a late answer bridges better than a refusal.
    static constexpr std::chrono::milliseconds standingAfter { 1'500 };

    void clean()
    {
        std::erase_if(m_entries, [](const entry& each) { return each.waiter.expired(); });
    }

    std::vector<entry> m_entries;
    steady_clock::time_point m_standingSince {};
};

// What a request that waits can expect of its service.
struct queue_load {
    std::size_t waiting = 0; // On this VM.
    int slots = 0; // Of upstreams in use, fleet-wide.
    std::chrono::milliseconds usual {}; // Latency of the service; 0 when unknown.
    bool isStanding = false; // The line is no passing burst.
};

// When the answer to a request is due.
struct answer_deadlines {
    deadline objective {}; // A later answer has less worth.
    deadline limit {}; // A later answer has none.
};

// Returns how long until there is room for one more request.
std::chrono::milliseconds expectedWait(const queue_load& outlook);

// Returns whether a request that waits for its turn would be answered too late: after its limit, or after its
// objective while the line stands, as a late answer would then make those behind it late as well.
bool shouldShed(const queue_load& outlook, const answer_deadlines& limits, steady_clock::time_point now);

// Returns how long a caller should wait before it comes again: `expected` until there is room, spread by
// `fraction` (0 to 1, drawn by the caller) so that those refused together do not return together.
std::chrono::milliseconds retryAfter(std::chrono::milliseconds expected, double fraction);

}
