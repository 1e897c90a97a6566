#pragma once

// Admission queue of the requests for one service on one VM, and its load shedding.
//
//     admission_queue<active_request> queue;
//     queue.enqueue(request, { .priority = 1, .limit = limit, .caller = "10.0.0.7" }, now);
//     if (auto next = queue.peekNext())
//         next->wake();
//
// Handles overload of a service: requests are ordered by priority (of the account, then of the route), then
// round-robin by caller, then by deadline, and requests that would miss their deadline are shed at once. Not
// thread safe.

#include "marlsill/base/time.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace marlsill::placement {

// Determines the position of a request in the queue.
struct queue_key {
    int accountPriority = 0; // Of the client account; lower values are served first.
    int priority = 0; // Of the route, among accounts of equal priority; likewise.
    deadline limit {}; // When its response is due.
    std::string caller; // Callers of equal priority take turns.
};

// See the file comment. Holds weak references: a destroyed `Waiter` leaves the queue automatically.
template <typename Waiter> class admission_queue {
public:
    void enqueue(const std::shared_ptr<Waiter>& waiter, queue_key key, steady_clock::time_point now)
    {
        removeExpired();
        m_nonEmptySince = m_entries.empty() ? now : m_nonEmptySince;
        auto turn = std::count_if(m_entries.begin(), m_entries.end(),
            [&](const entry& each) { return each.key.caller == key.caller; });
        m_entries.push_back({ waiter, std::move(key), turn });
    }

    void remove(const Waiter& waiter)
    {
        std::erase_if(m_entries, [&](const entry& each) {
            auto waiting = each.waiter.lock();
            return !waiting || waiting.get() == &waiter;
        });
    }

    // Returns the waiter to serve next without removing it; nullptr if there is none.
    std::shared_ptr<Waiter> peekNext()
    {
        removeExpired();
        auto found = std::min_element(m_entries.begin(), m_entries.end(),
            [](const entry& left, const entry& right) { return rankOf(left) < rankOf(right); });
        return found == m_entries.end() ? nullptr : found->waiter.lock();
    }

    // Returns how many waiters are served before this one; all of them if it is not in the queue.
    std::size_t waitersAhead(const Waiter& waiter)
    {
        removeExpired();
        auto own = std::find_if(m_entries.begin(), m_entries.end(),
            [&](const entry& each) { return each.waiter.lock().get() == &waiter; });
        if (own == m_entries.end()) {
            return m_entries.size();
        }
        auto isAhead = [&](const entry& each) { return rankOf(each) < rankOf(*own); };
        auto isAheadOrEqual = [&](const entry& each) { return rankOf(each) <= rankOf(*own); };
        return static_cast<std::size_t>(std::count_if(m_entries.begin(), own, isAheadOrEqual)
            + std::count_if(own, m_entries.end(), isAhead));
    }

    // Calls `visit` with each waiter.
    template <typename Visitor> void forEachWaiter(Visitor visit) const
    {
        for (const auto& each : m_entries) {
            if (auto waiting = each.waiter.lock()) {
                visit(*waiting);
            }
        }
    }

    std::size_t size() const { return m_entries.size(); }

    // Returns whether the queue has been non-empty too long for a passing burst.
    bool isStanding(steady_clock::time_point now) const
    {
        return !m_entries.empty() && now - m_nonEmptySince >= standingAfter;
    }

private:
    struct entry {
        std::weak_ptr<Waiter> waiter;
        queue_key key;
        std::ptrdiff_t turn = 0; // Requests of its caller that were queued before it.
    };

    static std::tuple<int, int, std::ptrdiff_t, deadline> rankOf(const entry& each)
    {
        return { each.key.accountPriority, each.key.priority, each.turn, each.key.limit };
    }

    // Longer than bursts and upstream restarts, during which a late response is better than a refusal.
    static constexpr std::chrono::milliseconds standingAfter { 1'500 };

    void removeExpired()
    {
        std::erase_if(m_entries, [](const entry& each) { return each.waiter.expired(); });
    }

    std::vector<entry> m_entries;
    steady_clock::time_point m_nonEmptySince {};
};

// The queue and the capacity of a service, from which the waiting time is estimated.
struct queue_load {
    std::size_t waiting = 0; // Requests queued on this VM.
    int slots = 0; // Sum over the service's upstreams that are not excluded.
    std::chrono::milliseconds usual {}; // Average latency of the service; 0 if unknown.
    // See admission_queue::isStanding(). Also set while upstreams turn requests away and others wait: slots
    // are missing for a known time, so the queue is no passing burst.
    bool isStanding = false;
};

// When the response to a request is due.
struct answer_deadlines {
    deadline objective {}; // Latency objective; a later response is still useful.
    deadline limit {}; // Time limit; a later response is useless.
};

// Returns the estimated time until an upstream has a free slot for one more request.
std::chrono::milliseconds expectedWait(const queue_load& load);

// Returns whether a request that waits `wait` and then takes `usual` would be answered after its limit, or
// after its objective in a standing queue.
bool shouldShed(std::chrono::milliseconds wait, std::chrono::milliseconds usual, bool isStanding,
    const answer_deadlines& deadlines, steady_clock::time_point now);

// Returns whether a queued request should be shed, because its response would come after its limit, or after
// its objective in a standing queue, where a late response would make the requests behind it late as well.
bool shouldShed(const queue_load& load, const answer_deadlines& deadlines, steady_clock::time_point now);

// Returns the time after which a refused caller should retry: the `expected` wait, jittered by `fraction`
// (random, 0 to 1), so that callers refused together do not retry together.
std::chrono::milliseconds retryAfter(std::chrono::milliseconds expected, double fraction);

}
