#pragma once

// Simulates a fleet, its upstreams and its callers in virtual time. Runs the product's decision code without
// a network.
//
//     auto result = simulate<fleet_policy>({ .load = 1.4, .downFraction = 0.33 }, 7);
//     auto baseline = simulate<baseline_policy>({ .load = 1.4, .downFraction = 0.33 }, 7);
//     if (result.utility() > baseline.utility())
//         ...
//
// There is one service. Each upstream has execution slots and a short queue. Upstreams can have periods of
// gray failure, in which most requests fail immediately, and some upstreams can be down but still registered.
// VMs receive each other's health evidence and loads after a delay. Runs with the same policy and seed are
// identical.

#include "marlsill/model/policies.h"
#include "marlsill/model/virtual_clock.h"

#include <array>
#include <map>
#include <random>
#include <utility>

namespace marlsill::model {

// Results of one class of callers. Each call is counted once, however often it is repeated.
struct caller_results {
    int issued = 0;
    int withinObjective = 0;
    int late = 0;
    int failed = 0;
    int refused = 0; // Not executed, even after the permitted repeats.

    double servedFraction() const
    {
        return issued == 0 ? 1.0 : static_cast<double>(withinObjective + late) / issued;
    }
};

// Result of one simulation run.
struct simulation_result {
    caller_results compliant; // Callers that wait for Retry-After before they repeat a refused request.
    caller_results repeating; // Callers that ignore Retry-After and repeat a refused request at once.
    int duplicateExecutions = 0; // At-most-once requests that were executed more than once.
    int extraAttempts = 0; // Attempts beyond the first of each request.
    int arrivals = 0; // Requests that arrived at the fleet, including repeats by callers.
    int turnedAway = 0; // Attempts at upstreams that turned requests away.
    // Most requests from one VM to an upstream from half a second after it has turned one away until the time
    // ends that it named.
    int mostWhileTurningAway = 0;
    // Most requests that reach an upstream within 100 ms after such a time, from all VMs that were told of
    // it.
    int mostAtReturn = 0;
    std::chrono::milliseconds maxWaitBeforeRefusal {}; // Longest wait of any refused request.
    std::chrono::milliseconds totalWaitBeforeRefusal {}; // Sum over all refused requests.

    // Returns the mean utility per call: 1 for a response within the latency objective, 0.5 for a later one,
    // otherwise 0. Returns 1 if there were no calls.
    double utility() const
    {
        auto issued = compliant.issued + repeating.issued;
        auto value
            = compliant.withinObjective + repeating.withinObjective + 0.5 * (compliant.late + repeating.late);
        return issued == 0 ? 1.0 : value / issued;
    }
};

// Simulates a fleet whose VMs use the given policy. An instance can be run once.
template <placement_policy Policy> class fleet_model {
public:
    fleet_model(model_options options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
    {
        for (int index = 0; index < options.upstreams; ++index) {
            auto isDown = index < static_cast<int>(options.downFraction * options.upstreams);
            m_upstreams.push_back({ "u" + std::to_string(index), isDown });
        }
        for (int index = 0; index < options.vms; ++index) {
            m_vms.push_back(std::make_unique<vm>(options, seed * 1000 + static_cast<std::uint64_t>(index)));
        }
    }

    simulation_result run()
    {
        for (auto& each : m_upstreams) {
            startGrayPeriods(each);
            startTurningAway(each);
        }
        scheduleArrival();
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            scheduleLoadReports(index);
        }
        m_clock.runUntil(m_options.duration + m_options.requestTimeout);
        return m_result;
    }

private:
    struct turn_away_window {
        steady_clock::time_point from {};
        deadline until {};
        int arrivals = 0;
    };

    struct upstream {
        std::string id;
        bool isDown = false;
        bool isGray = false;
        int busySlots = 0;
        std::vector<std::function<void()>> queue {};
        deadline turnsAwayUntil {};
        int arrivalsAtReturn = 0;
        std::map<std::size_t, turn_away_window> windows {}; // By VM; the last one that it was told of.
    };

    // A call by a caller; each repeat of a refused call is a new request.
    struct client_call {
        bool isRepeating = false;
        std::string caller;
        int repeatsLeft = 0;
    };

    struct request {
        client_call origin;
        std::size_t vm = 0;
        steady_clock::time_point arrivedAt;
        deadline limit;
        std::vector<std::string> triedUpstreams;
        placement::retry_state state;
        bool isWaiting = false;
        bool isFinished = false;
        int executions = 0;
    };
    using request_pointer = std::shared_ptr<request>;

    struct vm {
        vm(const model_options& options, std::uint64_t seed)
            : policy(options, seed)
        {
        }

        Policy policy;
        placement::admission_queue<request> admissionQueue;
    };

    static queue_state queueStateOf(const vm& local, steady_clock::time_point now)
    {
        return { local.admissionQueue.size(), local.admissionQueue.isStanding(now) };
    }

    placement::answer_deadlines deadlinesOf(const request& current) const
    {
        return { current.arrivedAt + m_options.latencyObjective, current.limit };
    }

    double randomFraction() { return std::uniform_real_distribution<>()(m_random); }

    std::chrono::microseconds randomDuration(std::chrono::milliseconds mean)
    {
        auto lengthMs = std::exponential_distribution<>(1.0 / static_cast<double>(mean.count()))(m_random);
        return std::chrono::microseconds(static_cast<std::int64_t>(1000 * lengthMs) + 1);
    }

    // Alternates healthy and gray periods of random length, so that the upstream spends the configured
    // fraction of its time in gray failure.
    void startGrayPeriods(upstream& each)
    {
        each.isGray = randomFraction() < m_options.grayTimeFraction;
        scheduleGrayToggle(each);
    }

    void scheduleGrayToggle(upstream& each)
    {
        auto meanHealthyPeriod = m_options.meanGrayPeriod
            * static_cast<int>(
                100 * (1 - m_options.grayTimeFraction) / std::max(0.01, m_options.grayTimeFraction))
            / 100;
        m_clock.runAfter(
            randomDuration(each.isGray ? m_options.meanGrayPeriod : meanHealthyPeriod), [this, &each] {
                each.isGray = m_options.grayTimeFraction > 0 && !each.isGray;
                scheduleGrayToggle(each);
            });
    }

    // Lets the first upstreams turn requests away and serve in turn, each from a random moment on.
    void startTurningAway(upstream& each)
    {
        auto count = static_cast<std::ptrdiff_t>(m_options.turnAwayFraction * m_options.upstreams);
        if (&each - m_upstreams.data() < count) {
            auto start = randomFraction() * std::min(m_options.turnAwayTime, maxTurnAwayStart);
            m_clock.runAfter(std::chrono::duration_cast<std::chrono::microseconds>(start),
                [this, &each] { turnAwayAndServe(each); });
        }
    }

    void turnAwayAndServe(upstream& each)
    {
        each.turnsAwayUntil = m_clock.now() + m_options.turnAwayTime;
        each.arrivalsAtReturn = 0;
        m_clock.runAfter(2 * m_options.turnAwayTime, [this, &each] { turnAwayAndServe(each); });
    }

    // Turns a request of a VM away if the upstream does so now. Returns for how long; 0 if it does not.
    std::chrono::milliseconds turnAway(upstream& target, std::size_t vm)
    {
        auto now = m_clock.now();
        auto& window = target.windows[vm];
        if (now >= window.from && now < window.until) {
            m_result.mostWhileTurningAway = std::max(m_result.mostWhileTurningAway, ++window.arrivals);
        }
        if (hasPassed(target.turnsAwayUntil, now)) {
            bool isReturning
                = now < target.turnsAwayUntil + returnTime && window.until == target.turnsAwayUntil;
            target.arrivalsAtReturn += isReturning ? 1 : 0;
            m_result.mostAtReturn = std::max(m_result.mostAtReturn, target.arrivalsAtReturn);
            return {};
        }
        ++m_result.turnedAway;
        if (window.until != target.turnsAwayUntil) {
            window = { now + turnAwaySettleTime, target.turnsAwayUntil, 0 };
        }
        return std::chrono::milliseconds(millisecondsUntil(target.turnsAwayUntil, now));
    }

    void scheduleArrival()
    {
        double arrivalsPerMs = m_options.load * m_options.upstreams * m_options.slots
            / static_cast<double>(m_options.meanServiceTime.count());
        auto delayMs = std::exponential_distribution<>(arrivalsPerMs)(m_random);
        m_clock.runAfter(std::chrono::microseconds(static_cast<std::int64_t>(1000 * delayMs) + 1), [this] {
            if (m_clock.elapsed() >= m_options.duration) {
                return;
            }
            bool isRepeating = randomFraction() < m_options.repeatingFraction;
            auto callerCount = isRepeating ? m_options.repeatingCallers : m_options.compliantCallers;
            auto number = static_cast<int>(randomFraction() * callerCount);
            auto& results = isRepeating ? m_result.repeating : m_result.compliant;
            ++results.issued;
            arrive({ isRepeating, (isRepeating ? "r" : "p") + std::to_string(number),
                isRepeating ? m_options.maxRepeats : 1 });
            scheduleArrival();
        });
    }

    void arrive(client_call origin)
    {
        auto now = m_clock.now();
        auto current = std::make_shared<request>();
        current->origin = std::move(origin);
        current->vm = static_cast<std::size_t>(randomFraction() * static_cast<double>(m_vms.size()));
        current->arrivedAt = now;
        current->limit = now + m_options.requestTimeout;
        current->state.isAtMostOnce = m_options.isAtMostOnce;
        current->state.maxUpstreams = m_options.maxUpstreams;
        ++m_result.arrivals;
        m_vms[current->vm]->policy.countRequest(now);
        dispatchOrQueue(current);
    }

    // Sends the request to an upstream, queues it, or refuses it.
    void dispatchOrQueue(const request_pointer& current)
    {
        if (current->isFinished) {
            return;
        }
        auto now = m_clock.now();
        auto& local = *m_vms[current->vm];
        if (now >= current->limit) {
            finishRequest(
                current, current->state.mayHaveRun ? &caller_results::failed : &caller_results::refused);
            return;
        }
        auto chosen = local.policy.chooseUpstream(current->triedUpstreams, current->arrivedAt, now);
        if (chosen.status == placement::choice_status::chosen) {
            dequeue(current);
            startAttempt(current, chosen.upstream->id, chosen.isProbe);
            return;
        }
        bool isNoneUsable = chosen.status == placement::choice_status::noneUsable
            || chosen.status == placement::choice_status::allHeld;
        if (isNoneUsable
            || local.policy.shouldRefuse(
                queueStateOf(local, now), deadlinesOf(*current), current->origin.caller, now)) {
            finishRequest(
                current, current->state.mayHaveRun ? &caller_results::failed : &caller_results::refused);
            return;
        }
        if (!std::exchange(current->isWaiting, true)) {
            local.admissionQueue.enqueue(current,
                local.policy.queueKeyOf(current->origin.caller, current->arrivedAt, current->limit), now);
        }
        m_clock.runAfter(m_options.queueRecheckInterval, [this, current] {
            if (current->isWaiting) {
                dispatchOrQueue(current);
            }
        });
    }

    void dequeue(const request_pointer& current)
    {
        if (std::exchange(current->isWaiting, false)) {
            m_vms[current->vm]->admissionQueue.remove(*current);
        }
    }

    void startAttempt(const request_pointer& current, const std::string& id, bool isProbe)
    {
        auto now = m_clock.now();
        auto& local = *m_vms[current->vm];
        local.policy.startAttempt(id, isProbe, now);
        if (isProbe) {
            broadcastEvidence(current->vm, { id, placement::evidence_kind::probe });
        }
        m_result.extraAttempts += current->triedUpstreams.empty() ? 0 : 1;
        current->triedUpstreams.push_back(id);
        ++current->state.possibleRuns;
        auto& target = *std::find_if(
            m_upstreams.begin(), m_upstreams.end(), [&](const upstream& each) { return each.id == id; });
        m_clock.runAfter(m_options.networkDelay,
            [this, current, &target, now] { arriveAtUpstream(current, target, now); });
    }

    void arriveAtUpstream(
        const request_pointer& current, upstream& target, steady_clock::time_point startedAt)
    {
        auto respond = [this, current, &target, startedAt](placement::attempt_outcome kind, int status) {
            finishAttempt(current, target.id, { .outcome = kind, .status = status }, startedAt);
        };
        if (target.isDown) {
            respond(placement::attempt_outcome::notSent, 0);
            return;
        }
        if (auto delay = turnAway(target, current->vm); delay.count() > 0) {
            bool isHeeded = m_vms[current->vm]->policy.recordTurnAway(target.id, delay, m_clock.now());
            finishAttempt(current, target.id,
                { .outcome = placement::attempt_outcome::refused, .status = 503, .isHeldBack = isHeeded },
                startedAt);
            return;
        }
        if (target.isGray && randomFraction() < m_options.grayFailureRate) {
            ++current->executions;
            respond(placement::attempt_outcome::answered, 500);
            return;
        }
        if (target.busySlots < m_options.slots) {
            execute(current, target, respond);
        } else if (target.queue.size() < m_options.upstreamQueueLimit) {
            target.queue.push_back([this, current, &target, respond] { execute(current, target, respond); });
        } else {
            respond(placement::attempt_outcome::refused, 503);
        }
    }

    template <typename Respond>
    void execute(const request_pointer& current, upstream& target, Respond respond)
    {
        ++target.busySlots;
        ++current->executions;
        m_result.duplicateExecutions += m_options.isAtMostOnce && current->executions == 2 ? 1 : 0;
        m_clock.runAfter(randomDuration(m_options.meanServiceTime), [this, &target, respond] {
            --target.busySlots;
            respond(placement::attempt_outcome::answered, 200);
            if (!target.queue.empty() && target.busySlots < m_options.slots) {
                auto next = std::move(target.queue.front());
                target.queue.erase(target.queue.begin());
                next();
            }
        });
    }

    void finishAttempt(const request_pointer& current, const std::string& id,
        placement::completed_attempt attempt, steady_clock::time_point startedAt)
    {
        auto now = m_clock.now();
        auto& local = *m_vms[current->vm];
        attempt.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - startedAt);
        if (auto evidence = local.policy.finishAttempt(id, attempt, startedAt, now)) {
            broadcastEvidence(current->vm, *evidence);
        }
        if (auto next = local.admissionQueue.peekNext()) {
            dispatchOrQueue(next);
        }
        if (current->isFinished) {
            return;
        }
        if (!placement::mayHaveRun(attempt.outcome)) {
            --current->state.possibleRuns;
            ++current->state.notRunAttempts;
        } else {
            current->state.mayHaveRun = true;
        }
        auto decision = placement::decideNextStep(attempt, current->state);
        auto step = decision.step;
        if (step == placement::next_step::tryAnother) {
            bool wasSent = attempt.outcome != placement::attempt_outcome::notSent;
            if (!wasSent || local.policy.tryTakeRetry(now)) {
                dispatchOrQueue(current);
                return;
            }
            step = decision.fallback;
        }
        bool isServed = step == placement::next_step::deliver && attempt.status < 500;
        bool isInTime = now - current->arrivedAt <= m_options.latencyObjective;
        finishRequest(current,
            isServed && isInTime                       ? &caller_results::withinObjective
                : isServed                             ? &caller_results::late
                : step == placement::next_step::refuse ? &caller_results::refused
                                                       : &caller_results::failed);
    }

    // Completes a request. The caller of a refused request repeats it while it has repeats left.
    void finishRequest(const request_pointer& current, int caller_results::*result)
    {
        dequeue(current);
        current->isFinished = true;
        auto now = m_clock.now();
        auto& local = *m_vms[current->vm];
        local.policy.recordOutcome(
            result == &caller_results::withinObjective || result == &caller_results::late, now);
        bool isRefused = result == &caller_results::refused;
        if (isRefused) {
            auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - current->arrivedAt);
            m_result.maxWaitBeforeRefusal = std::max(m_result.maxWaitBeforeRefusal, waited);
            m_result.totalWaitBeforeRefusal += waited;
        }
        bool willRepeat = isRefused && current->origin.repeatsLeft > 0;
        if (!willRepeat) {
            auto& results = current->origin.isRepeating ? m_result.repeating : m_result.compliant;
            ++(results.*result);
            return;
        }
        auto origin = current->origin;
        --origin.repeatsLeft;
        auto retryAfter = local.policy.retryAfter(queueStateOf(local, now), origin.caller, now);
        auto delay = origin.isRepeating ? m_options.repeatDelay : retryAfter;
        m_clock.runAfter(delay, [this, origin] { arrive(origin); });
    }

    void broadcastEvidence(std::size_t from, const placement::upstream_evidence& evidence)
    {
        m_clock.runAfter(m_options.networkDelay, [this, from, evidence] {
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                if (index != from) {
                    m_vms[index]->policy.applyEvidence(evidence, m_clock.now());
                }
            }
        });
    }

    void scheduleLoadReports(std::size_t index)
    {
        m_clock.runAfter(m_options.loadReportInterval, [this, index] {
            for (const auto& load : m_vms[index]->policy.takeChangedLoads()) {
                m_clock.runAfter(m_options.networkDelay, [this, index, load] {
                    for (std::size_t other = 0; other < m_vms.size(); ++other) {
                        if (other != index) {
                            m_vms[other]->policy.applyPeerLoad(
                                "vm" + std::to_string(index), load, m_clock.now());
                        }
                    }
                });
            }
            scheduleLoadReports(index);
        });
    }

    static constexpr std::chrono::milliseconds maxTurnAwayStart { 5'000 };
    static constexpr std::chrono::milliseconds returnTime { 100 };
    static constexpr std::chrono::milliseconds turnAwaySettleTime { 500 }; // Of requests on their way.

    const model_options m_options;
    std::mt19937_64 m_random;
    virtual_clock m_clock;
    std::vector<upstream> m_upstreams;
    std::vector<std::unique_ptr<vm>> m_vms;
    simulation_result m_result;
};

// Runs one simulation under a policy with a random seed.
template <placement_policy Policy>
simulation_result simulate(const model_options& options, std::uint64_t seed)
{
    return fleet_model<Policy>(options, seed).run();
}

}
