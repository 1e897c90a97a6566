#pragma once

// Plays a fleet, its upstreams and its callers in virtual time, with the product's own decisions and no
// network.
//
//     auto outcome = play<fleet_policy>({ .load = 1.4, .goneShare = 0.33 }, 7);
//     auto baseline = play<plain_policy>({ .load = 1.4, .goneShare = 0.33 }, 7);
//     if (outcome.worth() > baseline.worth())
//         ...
//
// One service: upstreams with slots and a short queue go through gray phases in which most requests fail at
// once, and some are gone without notice. VMs hear of each other's evidence and loads after a delay. The same
// seed plays the same arrivals and troubles under each policy.

#include "marlsill/model/policies.h"
#include "marlsill/model/virtual_clock.h"

#include <array>
#include <random>
#include <utility>

namespace marlsill::model {

// What callers of one sort got.
struct caller_outcome {
    int asked = 0;
    int inObjective = 0;
    int late = 0;
    int failed = 0;
    int refused = 0; // Not run, also when they came back.

    double servedShare() const { return asked == 0 ? 1.0 : static_cast<double>(inObjective + late) / asked; }
};

// What a played load came to.
struct model_outcome {
    caller_outcome patient; // Callers that come back when they are told to.
    caller_outcome repeating; // Callers that repeat at once.
    int ranTwice = 0; // Requests that may run once and ran more than once.
    int extraArrivals = 0; // Beyond the first of each request.
    int requests = 0; // Arrivals of requests at the fleet.
    std::chrono::milliseconds longestRefusal {}; // How long a refused request had waited.

    // Returns the worth per request asked: one in the objective, half for a late answer.
    double worth() const
    {
        auto asked = patient.asked + repeating.asked;
        auto earned = patient.inObjective + repeating.inObjective + 0.5 * (patient.late + repeating.late);
        return asked == 0 ? 1.0 : earned / asked;
    }
};

// Plays one load under a policy.
template <placement_policy Policy> class fleet_model {
public:
    fleet_model(model_options options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
    {
        for (int index = 0; index < options.upstreams; ++index) {
            auto isGone = index < static_cast<int>(options.goneShare * options.upstreams);
            m_upstreams.push_back({ "u" + std::to_string(index), isGone });
        }
        for (int index = 0; index < options.vms; ++index) {
            m_vms.push_back(std::make_unique<vm>(options, seed * 1000 + static_cast<std::uint64_t>(index)));
        }
    }

    model_outcome run()
    {
        for (auto& each : m_upstreams) {
            schedulePhase(each);
        }
        scheduleArrival();
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            scheduleLoads(index);
        }
        m_clock.runUntil(m_options.length + m_options.timeLimit);
        return m_outcome;
    }

private:
    struct upstream {
        std::string id;
        bool isGone = false;
        bool isGray = false;
        int inWork = 0;
        std::vector<std::function<void()>> queue {};
    };

    struct task {
        bool isRepeating = false;
        std::string caller;
        int returnsLeft = 0;
    };

    struct request {
        task origin;
        std::size_t vm = 0;
        steady_clock::time_point arrivedAt;
        deadline limit;
        std::vector<std::string> tried;
        placement::retry_state state;
        bool isWaiting = false;
        bool isOver = false;
        int runs = 0;
    };
    using request_pointer = std::shared_ptr<request>;

    struct vm {
        vm(const model_options& options, std::uint64_t seed)
            : policy(options, seed)
        {
        }

        Policy policy;
        placement::admission_queue<request> line;
    };

    static line_state stateOf(const vm& own, steady_clock::time_point now)
    {
        return { own.line.size(), own.line.isStanding(now) };
    }

    placement::answer_deadlines limitsOf(const request& current) const
    {
        return { current.arrivedAt + m_options.objective, current.limit };
    }

    double draw() { return std::uniform_real_distribution<>()(m_random); }

    std::chrono::microseconds drawLength(std::chrono::milliseconds mean)
    {
        auto length = std::exponential_distribution<>(1.0 / static_cast<double>(mean.count()))(m_random);
        return std::chrono::microseconds(static_cast<std::int64_t>(1000 * length) + 1);
    }

    // Gray phases and the pauses between them, so that the given share of time is gray.
    void schedulePhase(upstream& each)
    {
        each.isGray = draw() < m_options.grayShare;
        flipLater(each);
    }

    void flipLater(upstream& each)
    {
        auto pause = m_options.grayMean
            * static_cast<int>(100 * (1 - m_options.grayShare) / std::max(0.01, m_options.grayShare)) / 100;
        m_clock.after(drawLength(each.isGray ? m_options.grayMean : pause), [this, &each] {
            each.isGray = m_options.grayShare > 0 && !each.isGray;
            flipLater(each);
        });
    }

    void scheduleArrival()
    {
        double perMs = m_options.load * m_options.upstreams * m_options.slots
            / static_cast<double>(m_options.workMean.count());
        auto pause = std::exponential_distribution<>(perMs)(m_random);
        m_clock.after(std::chrono::microseconds(static_cast<std::int64_t>(1000 * pause) + 1), [this] {
            if (m_clock.elapsed() >= m_options.length) {
                return;
            }
            bool isRepeating = draw() < m_options.repeatingShare;
            auto callers = isRepeating ? m_options.repeatingCallers : m_options.callers;
            auto number = static_cast<int>(draw() * callers);
            auto& outcome = isRepeating ? m_outcome.repeating : m_outcome.patient;
            ++outcome.asked;
            arrive({ isRepeating, (isRepeating ? "r" : "p") + std::to_string(number),
                isRepeating ? m_options.repeats : 1 });
            scheduleArrival();
        });
    }

    void arrive(task origin)
    {
        auto now = m_clock.now();
        auto current = std::make_shared<request>();
        current->origin = std::move(origin);
        current->vm = static_cast<std::size_t>(draw() * static_cast<double>(m_vms.size()));
        current->arrivedAt = now;
        current->limit = now + m_options.timeLimit;
        current->state.isAtMostOnce = m_options.isAtMostOnce;
        current->state.maxUpstreams = m_options.maxUpstreams;
        ++m_outcome.requests;
        m_vms[current->vm]->policy.countRequest(now);
        advance(current);
    }

    // Sends the request to an upstream, lets it wait, or refuses it.
    void advance(const request_pointer& current)
    {
        if (current->isOver) {
            return;
        }
        auto now = m_clock.now();
        auto& own = *m_vms[current->vm];
        if (now >= current->limit) {
            end(current, current->state.mayHaveRun ? &caller_outcome::failed : &caller_outcome::refused);
            return;
        }
        auto chosen = own.policy.choose(current->tried, current->arrivedAt, now);
        if (chosen.status == placement::choice_status::chosen) {
            leaveLine(current);
            start(current, chosen.upstream->id, chosen.isProbe);
            return;
        }
        bool isEmpty = chosen.status == placement::choice_status::noneUsable;
        if (isEmpty
            || own.policy.refuses(stateOf(own, now), limitsOf(*current), current->origin.caller, now)) {
            end(current, current->state.mayHaveRun ? &caller_outcome::failed : &caller_outcome::refused);
            return;
        }
        if (!std::exchange(current->isWaiting, true)) {
            own.line.enqueue(
                current, own.policy.placeOf(current->origin.caller, current->arrivedAt, current->limit), now);
        }
        m_clock.after(m_options.queueCheck, [this, current] {
            if (current->isWaiting) {
                advance(current);
            }
        });
    }

    void leaveLine(const request_pointer& current)
    {
        if (std::exchange(current->isWaiting, false)) {
            m_vms[current->vm]->line.remove(*current);
        }
    }

    void start(const request_pointer& current, const std::string& id, bool isTrial)
    {
        auto now = m_clock.now();
        auto& own = *m_vms[current->vm];
        own.policy.begin(id, isTrial, now);
        if (isTrial) {
            tell(current->vm, { id, placement::evidence_kind::probe });
        }
        m_outcome.extraArrivals += current->tried.empty() ? 0 : 1;
        current->tried.push_back(id);
        ++current->state.possibleRuns;
        auto& target = *std::find_if(
            m_upstreams.begin(), m_upstreams.end(), [&](const upstream& each) { return each.id == id; });
        m_clock.after(m_options.messageDelay, [this, current, &target, now] { reach(current, target, now); });
    }

    void reach(const request_pointer& current, upstream& target, steady_clock::time_point startedAt)
    {
        auto answer = [this, current, &target, startedAt](placement::attempt_outcome kind, int status) {
            finish(current, target.id, { .outcome = kind, .status = status }, startedAt);
        };
        if (target.isGone) {
            answer(placement::attempt_outcome::notSent, 0);
            return;
        }
        if (target.isGray && draw() < m_options.grayFailShare) {
            ++current->runs;
            answer(placement::attempt_outcome::answered, 500);
            return;
        }
        if (target.inWork < m_options.slots) {
            work(current, target, answer);
        } else if (target.queue.size() < m_options.upstreamQueue) {
            target.queue.push_back([this, current, &target, answer] { work(current, target, answer); });
        } else {
            answer(placement::attempt_outcome::refused, 503);
        }
    }

    template <typename Answer> void work(const request_pointer& current, upstream& target, Answer answer)
    {
        ++target.inWork;
        ++current->runs;
        m_outcome.ranTwice += m_options.isAtMostOnce && current->runs == 2 ? 1 : 0;
        m_clock.after(drawLength(m_options.workMean), [this, &target, answer] {
            --target.inWork;
            answer(placement::attempt_outcome::answered, 200);
            if (!target.queue.empty() && target.inWork < m_options.slots) {
                auto next = std::move(target.queue.front());
                target.queue.erase(target.queue.begin());
                next();
            }
        });
    }

    void finish(const request_pointer& current, const std::string& id, placement::completed_attempt ended,
        steady_clock::time_point startedAt)
    {
        auto now = m_clock.now();
        auto& own = *m_vms[current->vm];
        ended.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - startedAt);
        if (auto evidence = own.policy.end(id, ended, startedAt, now)) {
            tell(current->vm, *evidence);
        }
        if (auto next = own.line.peekNext()) {
            advance(next);
        }
        if (current->isOver) {
            return;
        }
        if (!placement::mayHaveRun(ended.outcome)) {
            --current->state.possibleRuns;
            ++current->state.notRunAttempts;
        } else {
            current->state.mayHaveRun = true;
        }
        auto decision = placement::decideNextStep(ended, current->state);
        auto step = decision.step;
        if (step == placement::next_step::tryAnother) {
            bool isArrival = ended.outcome != placement::attempt_outcome::notSent;
            if (!isArrival || own.policy.takeRetry(now)) {
                advance(current);
                return;
            }
            step = decision.fallback;
        }
        bool isServed = step == placement::next_step::deliver && ended.status < 500;
        bool isInTime = now - current->arrivedAt <= m_options.objective;
        end(current,
            isServed && isInTime                       ? &caller_outcome::inObjective
                : isServed                             ? &caller_outcome::late
                : step == placement::next_step::refuse ? &caller_outcome::refused
                                                       : &caller_outcome::failed);
    }

    // Ends a request. A refused caller comes back while it has returns left.
    void end(const request_pointer& current, int caller_outcome::*result)
    {
        leaveLine(current);
        current->isOver = true;
        auto now = m_clock.now();
        auto& own = *m_vms[current->vm];
        own.policy.noteOutcome(
            result == &caller_outcome::inObjective || result == &caller_outcome::late, now);
        bool isRefused = result == &caller_outcome::refused;
        if (isRefused) {
            auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - current->arrivedAt);
            m_outcome.longestRefusal = std::max(m_outcome.longestRefusal, waited);
        }
        bool comesBack = isRefused && current->origin.returnsLeft > 0;
        if (!comesBack) {
            auto& outcome = current->origin.isRepeating ? m_outcome.repeating : m_outcome.patient;
            ++(outcome.*result);
            return;
        }
        auto origin = current->origin;
        --origin.returnsLeft;
        auto told = own.policy.retryAfter(stateOf(own, now), origin.caller, now);
        auto pause = origin.isRepeating ? m_options.repeatPause : told;
        m_clock.after(pause, [this, origin] { arrive(origin); });
    }

    void tell(std::size_t from, const placement::upstream_evidence& evidence)
    {
        m_clock.after(m_options.messageDelay, [this, from, evidence] {
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                if (index != from) {
                    m_vms[index]->policy.learn(evidence, m_clock.now());
                }
            }
        });
    }

    void scheduleLoads(std::size_t index)
    {
        m_clock.after(m_options.loadPause, [this, index] {
            for (const auto& load : m_vms[index]->policy.takeChangedLoads()) {
                m_clock.after(m_options.messageDelay, [this, index, load] {
                    for (std::size_t other = 0; other < m_vms.size(); ++other) {
                        if (other != index) {
                            m_vms[other]->policy.learnLoad("vm" + std::to_string(index), load, m_clock.now());
                        }
                    }
                });
            }
            scheduleLoads(index);
        });
    }

    const model_options m_options;
    std::mt19937_64 m_random;
    virtual_clock m_clock;
    std::vector<upstream> m_upstreams;
    std::vector<std::unique_ptr<vm>> m_vms;
    model_outcome m_outcome;
};

// Plays a load with a seed under a policy.
template <placement_policy Policy> model_outcome play(const model_options& options, std::uint64_t seed)
{
    return fleet_model<Policy>(options, seed).run();
}

}
