#pragma once

// Admits the requests of one service: each gets an upstream with room, waits in a fair queue, or is refused
// early.
//
//     auto admitted = gate.acquire(service, "account-1", limit, {});
//     if (admitted.status == admission_status::granted)
//         send(service.upstreams[admitted.upstream]);
//     gate.release(*service.upstreams[admitted.upstream].state, elapsed);

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

// How an attempt to enter ended.
enum class admission_status {
    granted,
    queueFull, // Too many requests wait; this one was refused for fairness or for the bound.
    wouldBeLate, // The wait would outlast the request's deadline.
    noUpstream, // Every upstream is leaving, ejected or excluded.
    cancelled, // The gate was closed.
};

// The result of acquire().
struct admission {
    admission_status status = admission_status::noUpstream;
    std::size_t upstream = 0; // Index in the service's list; set when granted.
    std::chrono::milliseconds retryAfter {}; // When refused: how long the queue needs to drain.
};

// Options of a gate.
struct gate_options {
    std::size_t maxWaiting = 256;
    std::chrono::microseconds initialServiceTime { 20'000 };
};

// The gate of one service on this VM. Thread safe.
template <upstream_chooser Chooser> class service_gate {
public:
    explicit service_gate(Chooser chooser, gate_options options = {})
        : m_chooser(chooser)
        , m_options(options)
        , m_waiting(options.maxWaiting)
        , m_meanServiceTime(std::chrono::duration<double>(options.initialServiceTime).count())
    {
    }

    // Waits for an upstream until `limit` at most. Upstreams named in `excluded` are not chosen. A request
    // that cannot be served in time is refused without waiting.
    admission acquire(const routing::routed_service& service, std::string_view account, deadline limit,
        std::span<const std::size_t> excluded)
    {
        std::unique_lock lock(m_mutex);
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
        return waitForTurn(lock, service, account, limit, excluded);
    }

    // Gives back an upstream after `elapsed` and admits those who wait.
    void release(routing::upstream_state& upstream, steady_clock::duration elapsed)
    {
        std::lock_guard lock(m_mutex);
        upstream.inFlight.fetch_sub(1);
        constexpr double newShare = 0.05;
        double seconds = std::chrono::duration<double>(elapsed).count();
        m_meanServiceTime += newShare * (seconds - m_meanServiceTime);
        serveWaiting();
    }

    // Looks again at who can be admitted; called when weights, ejections or the configuration have changed.
    void refresh()
    {
        std::lock_guard lock(m_mutex);
        serveWaiting();
    }

    // Returns the number of requests that wait.
    std::size_t waiting() const
    {
        std::lock_guard lock(m_mutex);
        return m_waiting.size();
    }

    retry_budget& retries() { return m_retries; }

private:
    static constexpr std::chrono::milliseconds minRetryAfter { 1000 };

    enum class turn_state {
        waiting,
        granted,
        refused,
    };

    struct waiter {
        waiter(const routing::routed_service& place, std::span<const std::size_t> without)
            : service(place)
            , excluded(without)
        {
        }

        const routing::routed_service& service;
        std::span<const std::size_t> excluded;
        turn_state state = turn_state::waiting;
        std::size_t upstream = 0;
        std::condition_variable turned;
    };

    // Returns whether an upstream of this weight is considered this time. Passing a suspect over, also when
    // the others are busy, keeps it at a trickle.
    static bool takesItsTurn(double weight)
    {
        return weight >= 1 || std::uniform_real_distribution<double>(0, 1)(threadRandom()) < weight;
    }

    // Returns the upstreams that may be chosen now; the suspects that were passed over only if there are no
    // others.
    static std::vector<candidate> listCandidates(const routing::routed_service& service,
        std::span<const std::size_t> excluded, steady_clock::time_point now)
    {
        std::vector<candidate> candidates;
        std::vector<candidate> passedOver;
        candidates.reserve(service.upstreams.size());
        for (std::size_t index = 0; index < service.upstreams.size(); ++index) {
            const auto& each = service.upstreams[index];
            bool isExcluded = std::find(excluded.begin(), excluded.end(), index) != excluded.end();
            if (each.state->isLeaving.load() || isExcluded || each.state->isEjected(now)) {
                continue;
            }
            int ownSlots = service.isMember ? each.ownSlots : 0;
            bool isPassedOver = !takesItsTurn(each.state->weight.load());
            (isPassedOver ? passedOver : candidates)
                .push_back({ index, each.state->inFlight.load(), each.spec.slots, ownSlots });
        }
        return candidates.empty() ? passedOver : candidates;
    }

    admission grant(const routing::routed_service& service, std::size_t index)
    {
        service.upstreams[index].state->inFlight.fetch_add(1);
        return { admission_status::granted, index, {} };
    }

    // Estimates how long a request that joins the queue now will take, its own service included.
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

    admission waitForTurn(std::unique_lock<std::mutex>& lock, const routing::routed_service& service,
        std::string_view account, deadline limit, std::span<const std::size_t> excluded)
    {
        auto self = std::make_shared<waiter>(service, excluded);
        if (auto dropped = m_waiting.push(account, self)) {
            (*dropped)->state = turn_state::refused;
            (*dropped)->turned.notify_one();
        }
        self->turned.wait_until(lock, limit, [&] { return self->state != turn_state::waiting; });
        switch (self->state) {
        case turn_state::granted:
            return { admission_status::granted, self->upstream, {} };
        case turn_state::refused:
            return { admission_status::queueFull, 0, minRetryAfter };
        case turn_state::waiting:
            break;
        }
        m_waiting.remove(account, self);
        return { admission_status::wouldBeLate, 0, minRetryAfter };
    }

    void serveWaiting()
    {
        while (const auto* next = m_waiting.front()) {
            auto& self = **next;
            auto candidates = listCandidates(self.service, self.excluded, steady_clock::now());
            auto chosen = m_chooser(candidates, threadRandom());
            if (!chosen) {
                return;
            }
            m_waiting.pop();
            grant(self.service, *chosen);
            self.upstream = *chosen;
            self.state = turn_state::granted;
            self.turned.notify_one();
        }
    }

    const Chooser m_chooser;
    const gate_options m_options;
    mutable std::mutex m_mutex; // Guards everything below but the budget.
    fair_queue<std::shared_ptr<waiter>> m_waiting;
    double m_meanServiceTime; // seconds
    retry_budget m_retries { 10 };
};

}
