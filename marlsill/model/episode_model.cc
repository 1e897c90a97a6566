#include "marlsill/model/episode_model.h"

#include "marlsill/model/virtual_clock.h"
#include "marlsill/placement/attempt_policy.h"
#include "marlsill/placement/windowed_retry_budget.h"
#include "marlsill/routing/serving_set.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace marlsill::model {

namespace {

    using std::chrono::milliseconds;

    constexpr std::string_view service = "s";
    constexpr milliseconds recheckInterval { 10 };
    constexpr milliseconds networkDelay { 1 };
    constexpr milliseconds subscriptionLifetime { 10'000 }; // Same as in the peer mesh.
    constexpr milliseconds floorWindow { 2'000 };
    constexpr milliseconds sampleInterval { 500 };
    constexpr double floorShare = 0.7;
    constexpr double minLossShare = 0.1; // Of the windows to which the floor applies.
    constexpr double maxLossShare = 0.5;
    constexpr std::size_t minWindowRequests = 20;

    class episode_model {
    public:
        episode_model(const episode_options& options, std::uint64_t seed)
            : m_options(options)
            , m_random(seed)
            , m_cells(std::max(1,
                  static_cast<int>(
                      std::lround(static_cast<double>(options.upstreams) / options.upstreamsPerCell))))
        {
            makeUpstreams();
            makeVms(seed);
        }

        episode_result run()
        {
            for (auto& each : m_upstreams) {
                bool isIn = randomFraction() * static_cast<double>(m_options.episodePeriod.count())
                    < static_cast<double>(m_options.episodeLength.count());
                m_clock.runAfter(randomTime(isIn ? m_options.episodeLength : gap()),
                    [this, &each, isIn] { isIn ? endEpisode(each) : beginEpisode(each); });
                each.isFailing = isIn;
            }
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                m_clock.runAfter(randomTime(m_options.loadInterval), [this, index] { reportLoads(index); });
            }
            scheduleArrival();
            m_clock.runAfter(m_options.settleTime, [this] { sample(); });
            m_clock.runUntil(m_options.settleTime + m_options.duration);
            finish();
            return m_result;
        }

    private:
        struct event {
            steady_clock::time_point at;
            std::size_t upstream = 0;
        };

        struct finished_request {
            steady_clock::time_point at;
            bool isFailed = false;
        };

        struct upstream {
            placement::upstream_entry entry;
            int cell = 0;
            std::size_t index = 0;
            double speed = 1;
            bool isFailing = false;
            int busy = 0;
            int arrivals = 0;
            std::deque<std::function<void()>> queue;
        };

        struct vm {
            int cell = 0;
            std::string name;
            placement::load_balancer balancer;
            placement::windowed_retry_budget budget;
            std::size_t waiting = 0; // Requests for an upstream.
            std::map<int, deadline> subscriptions; // To other cells' evidence.
        };

        struct request {
            bool isAtMostOnce = false;
            steady_clock::time_point arrivedAt;
            std::size_t vm = 0;
            std::vector<std::string> tried;
        };
        using request_pointer = std::shared_ptr<request>;

        void makeUpstreams()
        {
            for (int index = 0; index < m_options.upstreams; ++index) {
                upstream each;
                each.entry = { .id = "u" + std::to_string(index),
                    .service = std::string(service),
                    .address = "127.0.0.1:1",
                    .failureDomain = domainOf(index),
                    .slots = m_options.slots };
                each.cell = static_cast<int>(routing::cellOf(each.entry.id, m_cells));
                each.index = static_cast<std::size_t>(index);
                each.speed = 1 + m_options.speedSpread * (2 * randomFraction() - 1);
                m_indexes[each.entry.id] = m_upstreams.size();
                m_upstreams.push_back(std::move(each));
            }
        }

        void makeVms(std::uint64_t seed)
        {
            std::vector<placement::upstream_entry> entries;
            for (const auto& each : m_upstreams) {
                entries.push_back(each.entry);
            }
            for (int cell = 0; cell < m_cells; ++cell) {
                std::vector<placement::sharing_vm> sharing;
                for (int rank = 0; rank < m_options.vmsPerCell; ++rank) {
                    sharing.push_back({ vmName(cell, rank), domainOf(rank) });
                }
                for (int rank = 0; rank < m_options.vmsPerCell; ++rank) {
                    placement::upstream_partition own { .divisions = { { m_cells, { cell }, { sharing } } },
                        .self = vmName(cell, rank) };
                    auto partition = std::make_shared<const placement::upstream_partition>(std::move(own));
                    auto balancerOptions = m_options.loadBalancer;
                    balancerOptions.failureDomain = domainOf(rank);
                    m_vms.push_back({ cell, vmName(cell, rank),
                        placement::load_balancer(balancerOptions, seed * 1000 + m_vms.size()),
                        placement::windowed_retry_budget(
                            { .ratio = m_options.retryRatio, .slack = m_options.retrySlackPerVm }),
                        0, {} });
                    m_vms.back().balancer.replaceUpstreams(entries, m_clock.now());
                    m_vms.back().balancer.setServiceShare(service, m_options.vmsPerCell, partition);
                }
            }
        }

        static std::string vmName(int cell, int rank)
        {
            return "vm" + std::to_string(cell) + "-" + std::to_string(rank);
        }

        std::string domainOf(int index) const { return "d" + std::to_string(index % m_options.vmsPerCell); }

        double randomFraction() { return std::uniform_real_distribution<>()(m_random); }

        std::chrono::microseconds randomTime(milliseconds max)
        {
            return std::chrono::microseconds(
                static_cast<std::int64_t>(1000 * randomFraction() * static_cast<double>(max.count())) + 1);
        }

        milliseconds gap() const { return m_options.episodePeriod - m_options.episodeLength; }

        bool isMeasured() const { return m_clock.elapsed() >= m_options.settleTime; }

        void beginEpisode(upstream& each)
        {
            each.isFailing = true;
            m_result.episodes += isMeasured() ? 1 : 0;
            m_clock.runAfter(m_options.episodeLength, [this, &each] { endEpisode(each); });
        }

        void endEpisode(upstream& each)
        {
            each.isFailing = false;
            m_clock.runAfter(gap() / 2 + randomTime(gap()), [this, &each] { beginEpisode(each); });
        }

        void scheduleArrival()
        {
            double perMs = m_options.requestsPerUpstream * m_options.upstreams / 1000;
            auto delayMs = std::exponential_distribution<>(perMs)(m_random);
            m_clock.runAfter(
                std::chrono::microseconds(static_cast<std::int64_t>(1000 * delayMs) + 1), [this] {
                    auto current = std::make_shared<request>();
                    current->isAtMostOnce = randomFraction() >= m_options.repeatableShare;
                    current->arrivedAt = m_clock.now();
                    auto perCell = static_cast<std::size_t>(m_options.vmsPerCell);
                    do {
                        current->vm
                            = static_cast<std::size_t>(randomFraction() * static_cast<double>(m_vms.size()));
                    } while (static_cast<int>(current->vm % perCell) < m_options.vmsWithoutCallers);
                    m_vms[current->vm].budget.countRequest(m_clock.now());
                    m_result.requests += isMeasured() ? 1 : 0;
                    dispatch(current);
                    scheduleArrival();
                });
        }

        void complete(const request& current, bool isServed, bool isRefused)
        {
            auto now = m_clock.now();
            m_vms[current.vm].balancer.recordOutcome(service, isServed, now);
            m_finished.push_back({ now, !isServed });
            if (isMeasured()) {
                m_result.failed += !isServed && !isRefused ? 1 : 0;
                m_result.refused += isRefused ? 1 : 0;
            }
        }

        void dispatch(const request_pointer& current)
        {
            auto now = m_clock.now();
            auto& local = m_vms[current->vm];
            if (now >= current->arrivedAt + m_options.timeout) {
                complete(*current, false, true);
                return;
            }
            bool isFirst = current->tried.empty();
            auto chosen = local.balancer.choose(
                { .service = service,
                    .tried = current->tried,
                    .isAtMostOnce = current->isAtMostOnce,
                    .mayUseExcluded = now - current->arrivedAt > m_options.maxWaitForHealthy,
                    .canBeRetried = isFirst && local.budget.canAcquire(now),
                    .requestsAhead = local.waiting },
                now);
            if (chosen.status != placement::choice_status::chosen) {
                ++local.waiting;
                m_clock.runAfter(recheckInterval, [this, current] {
                    --m_vms[current->vm].waiting;
                    dispatch(current);
                });
                return;
            }
            auto& target = m_upstreams[m_indexes[chosen.upstream->id]];
            local.balancer.startAttempt(chosen.upstream->id, chosen.isProbe, now);
            if (target.cell != local.cell) {
                m_result.attemptsOutside += isMeasured() ? 1 : 0;
                local.subscriptions[target.cell] = now + subscriptionLifetime;
            }
            if (chosen.isProbe) {
                publish(current->vm, target, placement::evidence_kind::probe);
            }
            current->tried.push_back(chosen.upstream->id);
            if (isMeasured()) {
                m_result.totalWaitMs += toMs(now - current->arrivedAt);
            }
            m_clock.runAfter(networkDelay, [this, current, &target, now, isProbe = chosen.isProbe] {
                arriveAt(current, target, now, isProbe);
            });
        }

        static double toMs(steady_clock::duration length)
        {
            return std::chrono::duration<double, std::milli>(length).count();
        }

        void arriveAt(const request_pointer& current, upstream& target, steady_clock::time_point startedAt,
            bool isProbe)
        {
            auto now = m_clock.now();
            m_arrivals.push_back({ now, target.index });
            target.arrivals += isMeasured() ? 1 : 0;
            if (target.isFailing && randomFraction() < m_options.episodeFailureRate) {
                m_failures.push_back({ now, target.index });
                if (isMeasured()) {
                    ++m_result.failedAttempts;
                    m_result.failedProbes += isProbe ? 1 : 0;
                    m_result.failedOutside += target.cell != m_vms[current->vm].cell ? 1 : 0;
                }
                m_clock.runAfter(m_options.episodeResponseTime, [this, current, &target, startedAt] {
                    finishAttempt(current, target,
                        { .outcome = placement::attempt_outcome::answered, .status = 500 }, startedAt);
                });
                return;
            }
            auto run = [this, current, &target, startedAt, now] {
                m_result.totalWaitMs += isMeasured() ? toMs(m_clock.now() - now) : 0;
                ++target.busy;
                auto work = static_cast<double>(m_options.work.count()) * target.speed;
                m_clock.runAfter(std::chrono::microseconds(
                                     static_cast<std::int64_t>(1000 * work * (0.5 + randomFraction()))),
                    [this, current, &target, startedAt] {
                        --target.busy;
                        finishAttempt(current, target,
                            { .outcome = placement::attempt_outcome::answered, .status = 200 }, startedAt);
                        if (!target.queue.empty()) {
                            auto next = std::move(target.queue.front());
                            target.queue.pop_front();
                            next();
                        }
                    });
            };
            if (target.busy < m_options.slots) {
                run();
                return;
            }
            m_result.overloadedArrivals += isMeasured() ? 1 : 0;
            if (target.queue.size() < m_options.upstreamQueueLimit) {
                target.queue.push_back(run);
            } else {
                finishAttempt(current, target,
                    { .outcome = placement::attempt_outcome::refused, .status = 503 }, startedAt);
            }
        }

        void finishAttempt(const request_pointer& current, upstream& target,
            placement::completed_attempt attempt, steady_clock::time_point startedAt)
        {
            auto now = m_clock.now();
            auto& local = m_vms[current->vm];
            attempt.elapsed = std::chrono::duration_cast<milliseconds>(now - startedAt);
            milliseconds usual(local.balancer.statsOf(service, now).latencyMs);
            auto evidence
                = local.balancer.finishAttempt(target.entry.id, placement::healthSignalOf(attempt, usual),
                    now - startedAt, startedAt, current->isAtMostOnce, now);
            if (evidence) {
                publish(current->vm, target, evidence->kind);
            }
            if (attempt.status == 200) {
                complete(*current, true, false);
                return;
            }
            bool hasNotRun = attempt.outcome == placement::attempt_outcome::refused;
            bool mayRetry = (hasNotRun || !current->isAtMostOnce) && current->tried.size() < 2;
            if (mayRetry && local.budget.tryAcquire(now)) {
                m_result.retries += isMeasured() ? 1 : 0;
                dispatch(current);
                return;
            }
            complete(*current, false, hasNotRun);
        }

        void publish(std::size_t from, const upstream& target, placement::evidence_kind kind)
        {
            m_clock.runAfter(m_options.evidenceDelay, [this, from, &target, kind] {
                auto now = m_clock.now();
                for (std::size_t index = 0; index < m_vms.size(); ++index) {
                    auto& each = m_vms[index];
                    auto subscription = each.subscriptions.find(target.cell);
                    bool isTold = each.cell == target.cell
                        || (subscription != each.subscriptions.end() && subscription->second > now);
                    if (index != from && isTold) {
                        each.balancer.applyEvidence(
                            { target.entry.id, kind }, m_options.repeatableShare < 1, now);
                    }
                }
            });
        }

        void reportLoads(std::size_t from)
        {
            for (auto& load : m_vms[from].balancer.takeChangedLoads()) {
                m_clock.runAfter(networkDelay, [this, from, load] {
                    const auto& target = m_upstreams[m_indexes[load.upstream]];
                    for (std::size_t index = 0; index < m_vms.size(); ++index) {
                        if (index != from && m_vms[index].cell == target.cell) {
                            m_vms[index].balancer.applyPeerLoad(m_vms[from].name, load, m_clock.now());
                        }
                    }
                });
            }
            m_clock.runAfter(m_options.loadInterval, [this, from] { reportLoads(from); });
        }

        template <typename Event>
        static void dropBefore(std::deque<Event>& events, steady_clock::time_point at)
        {
            while (!events.empty() && events.front().at < at) {
                events.pop_front();
            }
        }

        // Looks at the last two seconds: which healthy upstreams received requests, and what is excluded.
        void sample()
        {
            auto now = m_clock.now();
            dropBefore(m_finished, now - floorWindow);
            dropBefore(m_arrivals, now - floorWindow);
            dropBefore(m_failures, now - floorWindow);
            std::set<std::size_t> failed;
            for (const auto& each : m_failures) {
                failed.insert(each.upstream);
            }
            std::set<std::size_t> used;
            for (const auto& each : m_arrivals) {
                if (!failed.contains(each.upstream)) {
                    used.insert(each.upstream);
                }
            }
            auto lost = std::count_if(
                m_finished.begin(), m_finished.end(), [](const auto& each) { return each.isFailed; });
            auto healthy = m_upstreams.size() - failed.size();
            double usedShare
                = healthy == 0 ? 1 : static_cast<double>(used.size()) / static_cast<double>(healthy);
            double lossShare = static_cast<double>(lost)
                / static_cast<double>(std::max<std::size_t>(1, m_finished.size()));
            m_result.lowestUsedShareAny = std::min(m_result.lowestUsedShareAny, usedShare);
            if (lossShare >= minLossShare && lossShare <= maxLossShare
                && m_finished.size() >= minWindowRequests) {
                ++m_result.windows;
                m_result.windowsBelowFloor += usedShare < floorShare ? 1 : 0;
                m_result.lowestUsedShare = std::min(m_result.lowestUsedShare, usedShare);
            }
            double excluded = 0;
            double all = 0;
            for (const auto& each : m_vms) {
                auto stats = each.balancer.statsOf(service, now);
                excluded += stats.excluded;
                all += stats.upstreams;
            }
            m_result.excludedShare += excluded / all;
            m_result.episodeShare += static_cast<double>(std::count_if(m_upstreams.begin(), m_upstreams.end(),
                                         [](const auto& each) { return each.isFailing; }))
                / static_cast<double>(m_upstreams.size());
            ++m_samples;
            m_clock.runAfter(sampleInterval, [this] { sample(); });
        }

        void finish()
        {
            m_result.excludedShare /= std::max(1, m_samples);
            m_result.episodeShare /= std::max(1, m_samples);
            int most = 0;
            int sum = 0;
            for (const auto& each : m_upstreams) {
                most = std::max(most, each.arrivals);
                sum += each.arrivals;
            }
            m_result.busiestShare = static_cast<double>(most) * m_options.upstreams / std::max(1, sum);
        }

        const episode_options m_options;
        std::mt19937_64 m_random;
        const int m_cells;
        virtual_clock m_clock;
        std::vector<upstream> m_upstreams;
        std::map<std::string, std::size_t, std::less<>> m_indexes;
        std::vector<vm> m_vms;
        std::deque<finished_request> m_finished;
        std::deque<event> m_arrivals;
        std::deque<event> m_failures;
        int m_samples = 0;
        episode_result m_result;
    };

}

episode_result playEpisodes(const episode_options& options, std::uint64_t seed)
{
    return episode_model(options, seed).run();
}

}
