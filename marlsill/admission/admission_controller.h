#pragma once

// Admission control for the requests of one service: each request is assigned an upstream with a free slot,
// waits in a fair queue, or is refused early.
//
//     auto admitted = controller.acquire(service, "account-1", limit, {});
//     if (admitted.status == admission_status::granted)
//         send(service.upstreams[admitted.upstream]);
//     controller.release(*service.upstreams[admitted.upstream].state, elapsed);

#include "marlsill/admission/chooser.h"
#include "marlsill/admission/fair_queue.h"
#include "marlsill/admission/retry_budget.h"
#include "marlsill/base/random.h"
#include "marlsill/base/time.h"
#include "marlsill/routing/snapshot.h"

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace marlsill::admission {

// The result of a request for admission.
enum class admission_status {
    granted,
    queueFull, // The queue was full, and this was the newest request of the account with the most.
    wouldBeLate, // The request was not admitted, or is not expected to be served, by its deadline.
    noUpstream, // Every upstream is leaving, ejected or excluded.
    closed, // close() was called.
    cancelled, // Not returned by acquire().
};

// The result of acquire().
struct admission_result {
    admission_status status = admission_status::noUpstream;
    std::size_t upstream = 0; // Index in the service's list of upstreams; set if granted.
    std::chrono::milliseconds retryAfter {}; // How long a refused client should wait before a retry.
};

// Options of an admission controller.
struct admission_options {
    std::size_t maxWaiting = 256; // The largest number of requests in the queue.
    std::chrono::microseconds initialServiceTime { 20'000 }; // Start value of the smoothed mean.
};

// Admits the requests of one service on this VM. Thread safe.
template <upstream_chooser Chooser> class admission_controller {
public:
    explicit admission_controller(Chooser chooser, admission_options options = {})
        : m_chooser(chooser)
        , m_options(options)
        , m_waiting(options.maxWaiting)
        , m_meanServiceTime(std::chrono::duration<double>(options.initialServiceTime).count())
    {
    }

    // Waits for an upstream until `limit` at most. `excluded` holds indexes of upstreams that are not chosen.
    // A request that is not expected to be served by `limit` is refused without waiting.
    admission_result acquire(const routing::routed_service& service, std::string_view account, deadline limit,
        std::span<const std::size_t> excluded)
    {
        std::unique_lock lock(m_mutex);
        if (m_isClosed) {
            return { admission_status::closed, 0, minRetryAfter };
        }
        auto candidates = listCandidates(service, excluded, steady_clock::now());
        if (candidates.empty()) {
            return { admission_status::noUpstream, 0, minRetryAfter };
        }
        if (m_waiting.size() == 0) {
            if (auto chosen = m_chooser(candidates, threadRandom())) {
                return grant(service, *chosen);
            }
        }
        auto wait = expectedWait(candidates);
        if (steady_clock::now() + wait > limit) {
            return { admission_status::wouldBeLate, 0, retryAfter(wait) };
        }
        return waitInQueue(lock, service, account, limit, excluded);
    }

    // Releases the slot of an upstream after a request that took `elapsed`, and admits waiting requests.
    void release(routing::upstream_state& upstream, steady_clock::duration elapsed)
    {
        std::lock_guard lock(m_mutex);
        upstream.inFlight.fetch_sub(1);
        constexpr double smoothingFactor = 0.05;
        double seconds = std::chrono::duration<double>(elapsed).count();
        m_meanServiceTime += smoothingFactor * (seconds - m_meanServiceTime);
        admitWaiting();
    }

    // Admits the waiting requests that can be served now. Called after a change of weights, ejections or the
    // configuration.
    void refresh()
    {
        std::lock_guard lock(m_mutex);
        admitWaiting();
    }

    // Refuses the waiting requests and all later ones.
    void close()
    {
        std::lock_guard lock(m_mutex);
        m_isClosed = true;
        while (auto next = m_waiting.pop()) {
            (*next)->state = wait_state::closed;
            (*next)->stateChanged.notify_one();
        }
    }

    // Returns the smoothed mean of how long requests take at their upstreams.
    std::chrono::milliseconds meanServiceTime() const
    {
        std::lock_guard lock(m_mutex);
        return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(m_meanServiceTime));
    }

    // Returns the number of waiting requests.
    std::size_t waiting() const
    {
        std::lock_guard lock(m_mutex);
        return m_waiting.size();
    }

    // Returns the retry budget of the service.
    retry_budget& retryBudget() { return m_retryBudget; }

private:
    static constexpr std::chrono::milliseconds minRetryAfter { 1000 };

    enum class wait_state {
        waiting,
        granted,
        refused,
        closed,
    };

    struct waiter {
        waiter(const routing::routed_service& place, std::span<const std::size_t> excludedUpstreams)
            : service(place)
            , excluded(excludedUpstreams)
        {
        }

        const routing::routed_service& service;
        std::span<const std::size_t> excluded;
        wait_state state = wait_state::waiting;
        std::size_t upstream = 0;
        std::condition_variable stateChanged;
    };

    // Returns true with probability `weight`, and always for weights of at least 1. A suspect upstream is
    // skipped according to its weight even if the others are busy, so that it gets few requests.
    static bool isSampled(double weight)
    {
        return weight >= 1 || std::uniform_real_distribution<double>(0, 1)(threadRandom()) < weight;
    }

    // Returns the upstreams that may be chosen now. Suspects that were skipped according to their weight are
    // returned only if there are no other upstreams.
    static std::vector<candidate> listCandidates(const routing::routed_service& service,
        std::span<const std::size_t> excluded, steady_clock::time_point now)
    {
        std::vector<candidate> candidates;
        std::vector<candidate> skipped;
        candidates.reserve(service.upstreams.size());
        for (std::size_t index = 0; index < service.upstreams.size(); ++index) {
            const auto& each = service.upstreams[index];
            bool isExcluded = std::find(excluded.begin(), excluded.end(), index) != excluded.end();
            if (each.state->isLeaving.load() || isExcluded || each.state->isEjected(now)) {
                continue;
            }
            int ownSlots = service.isMember ? each.ownSlots : 0;
            bool isSkipped = !isSampled(each.state->weight.load());
            (isSkipped ? skipped : candidates)
                .push_back({ index, each.state->inFlight.load(), each.spec.slots, ownSlots });
        }
        return candidates.empty() ? skipped : candidates;
    }

    admission_result grant(const routing::routed_service& service, std::size_t index)
    {
        service.upstreams[index].state->inFlight.fetch_add(1);
        return { admission_status::granted, index, {} };
    }

    // Estimates the time until a request that joins the queue now is answered, including its own service
    // time.
    std::chrono::microseconds expectedWait(std::span<const candidate> candidates) const
    {
        int parallel = 0;
        for (const auto& each : candidates) {
            parallel += std::max(each.ownSlots, each.inFlight);
        }
        double rounds = static_cast<double>(m_waiting.size() + 1) / std::max(1, parallel);
        return std::chrono::microseconds(static_cast<std::int64_t>((rounds + 1) * m_meanServiceTime * 1e6));
    }

    static std::chrono::milliseconds retryAfter(std::chrono::microseconds wait)
    {
        return std::max(minRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(wait));
    }

    admission_result waitInQueue(std::unique_lock<std::mutex>& lock, const routing::routed_service& service,
        std::string_view account, deadline limit, std::span<const std::size_t> excluded)
    {
        auto self = std::make_shared<waiter>(service, excluded);
        if (auto dropped = m_waiting.push(account, self)) {
            (*dropped)->state = wait_state::refused;
            (*dropped)->stateChanged.notify_one();
        }
        self->stateChanged.wait_until(lock, limit, [&] { return self->state != wait_state::waiting; });
        switch (self->state) {
        case wait_state::granted:
            return { admission_status::granted, self->upstream, {} };
        case wait_state::refused:
            return { admission_status::queueFull, 0, minRetryAfter };
        case wait_state::closed:
            return { admission_status::closed, 0, minRetryAfter };
        case wait_state::waiting:
            break;
        }
        m_waiting.remove(account, self);
        return { admission_status::wouldBeLate, 0, minRetryAfter };
    }

    void admitWaiting()
    {
        while (const auto* next = m_waiting.front()) {
            auto& nextWaiter = **next;
            auto candidates = listCandidates(nextWaiter.service, nextWaiter.excluded, steady_clock::now());
            auto chosen = m_chooser(candidates, threadRandom());
            if (!chosen) {
                return;
            }
            m_waiting.pop();
            grant(nextWaiter.service, *chosen);
            nextWaiter.upstream = *chosen;
            nextWaiter.state = wait_state::granted;
            nextWaiter.stateChanged.notify_one();
        }
    }

    const Chooser m_chooser;
    const admission_options m_options;
    mutable std::mutex
        m_mutex; // Guards m_waiting, m_isClosed and m_meanServiceTime; the retry budget is thread safe.
    fair_queue<std::shared_ptr<waiter>> m_waiting;
    bool m_isClosed = false;
    double m_meanServiceTime; // Seconds, exponentially smoothed.
    retry_budget m_retryBudget { 10 };
};

}
