#include "marlsill/model/policies.h"

#include <algorithm>

namespace marlsill::model {

namespace {

    constexpr std::string_view service = "s";
    constexpr std::chrono::milliseconds fixedRetryAfter { 1'000 }; // Sent by the baseline.

    std::vector<placement::upstream_entry> makeUpstreams(const model_options& options)
    {
        std::vector<placement::upstream_entry> entries;
        for (int index = 0; index < options.upstreams; ++index) {
            entries.push_back({ .id = "u" + std::to_string(index),
                .service = std::string(service),
                .address = "127.0.0.1:1",
                .slots = options.slots });
        }
        return entries;
    }

    placement::windowed_retry_budget makeRetryBudget(const model_options& options)
    {
        return placement::windowed_retry_budget(
            { .ratio = options.retryRatio, .slack = options.retrySlack / options.vms });
    }

}

fleet_policy::fleet_policy(const model_options& options, std::uint64_t seed)
    : m_options(options)
    , m_loadBalancer(options.loadBalancer, seed)
    , m_retryBudget(makeRetryBudget(options))
    , m_random(seed)
{
    m_loadBalancer.replaceUpstreams(makeUpstreams(options), {});
    m_loadBalancer.setServiceShare(service, options.vms, nullptr);
}

placement::choice fleet_policy::chooseUpstream(
    std::span<const std::string> tried, steady_clock::time_point arrivedAt, steady_clock::time_point now)
{
    bool mayRetry = !m_options.isAtMostOnce && m_retryBudget.canAcquire(now);
    return m_loadBalancer.choose({ .service = service,
                                     .tried = tried,
                                     .isAtMostOnce = m_options.isAtMostOnce,
                                     .mayUseExcluded = now - arrivedAt > m_options.maxWaitForHealthy,
                                     .canBeRetried = mayRetry },
        now);
}

void fleet_policy::startAttempt(const std::string& upstream, bool isProbe, steady_clock::time_point now)
{
    m_loadBalancer.startAttempt(upstream, isProbe, now);
}

std::optional<placement::upstream_evidence> fleet_policy::finishAttempt(const std::string& upstream,
    const placement::completed_attempt& attempt, steady_clock::time_point startedAt,
    steady_clock::time_point now)
{
    auto usualLatency = std::chrono::milliseconds(m_loadBalancer.statsOf(service, now).latencyMs);
    return m_loadBalancer.finishAttempt(upstream, placement::healthSignalOf(attempt, usualLatency),
        now - startedAt, startedAt, m_options.isAtMostOnce, now);
}

bool fleet_policy::recordTurnAway(
    const std::string& upstream, std::chrono::milliseconds delay, steady_clock::time_point now)
{
    if (m_options.heedsTurnAways) {
        m_loadBalancer.recordTurnAway(upstream, { .delay = delay }, now);
    }
    return m_options.heedsTurnAways;
}

placement::queue_load fleet_policy::queueLoadOf(const queue_state& queue, steady_clock::time_point now) const
{
    auto stats = m_loadBalancer.statsOf(service, now);
    bool isStanding = queue.isStanding || (stats.hasHeld && queue.waiting > 0);
    return { queue.waiting, stats.slots, std::chrono::milliseconds(stats.latencyMs), isStanding };
}

bool fleet_policy::shouldRefuse(const queue_state& queue, const placement::answer_deadlines& limits,
    const std::string& caller, steady_clock::time_point now) const
{
    return m_retryAfterGate.isTooEarly(caller, now)
        || placement::shouldShed(queueLoadOf(queue, now), limits, now);
}

placement::queue_key fleet_policy::queueKeyOf(
    const std::string& caller, steady_clock::time_point, deadline limit) const
{
    return { .limit = limit, .caller = caller };
}

std::chrono::milliseconds fleet_policy::retryAfter(
    const queue_state& queue, const std::string& caller, steady_clock::time_point now)
{
    auto jitterFraction = std::uniform_real_distribution<>()(m_random);
    auto pause = placement::retryAfter(placement::expectedWait(queueLoadOf(queue, now)), jitterFraction);
    if (auto capacity = m_loadBalancer.heldCapacity(service, now); !capacity.empty()) {
        auto returnAt = m_returnSchedule.nextReturn(capacity,
            { .usual = std::chrono::milliseconds(m_loadBalancer.statsOf(service, now).latencyMs),
                .sharingVms = m_options.vms,
                .fraction = jitterFraction,
                .isEarly = m_retryAfterGate.isTooEarly(caller, now) });
        pause = std::chrono::milliseconds(millisecondsUntil(returnAt, now));
    }
    m_retryAfterGate.recordRetryAfter(caller, now + pause, now);
    return pause;
}

void fleet_policy::recordOutcome(bool isServed, steady_clock::time_point now)
{
    m_loadBalancer.recordOutcome(service, isServed, now);
}

void fleet_policy::applyEvidence(const placement::upstream_evidence& evidence, steady_clock::time_point now)
{
    m_loadBalancer.applyEvidence(evidence, m_options.isAtMostOnce, now);
}

void fleet_policy::applyPeerLoad(
    const std::string& peer, const placement::upstream_load& load, steady_clock::time_point now)
{
    m_loadBalancer.applyPeerLoad(peer, load, now);
}

baseline_policy::baseline_policy(const model_options& options, std::uint64_t seed)
    : m_options(options)
    , m_upstreams(makeUpstreams(options))
    , m_inFlight(m_upstreams.size(), 0)
    , m_retryBudget(makeRetryBudget(options))
    , m_random(seed)
{
}

placement::choice baseline_policy::chooseUpstream(
    std::span<const std::string> tried, steady_clock::time_point, steady_clock::time_point)
{
    std::optional<std::size_t> leastLoaded;
    auto offset = static_cast<std::size_t>(
        std::uniform_real_distribution<>()(m_random) * static_cast<double>(m_upstreams.size()));
    for (std::size_t step = 0; step < m_upstreams.size(); ++step) {
        auto index = (offset + step) % m_upstreams.size();
        bool isTried = std::find(tried.begin(), tried.end(), m_upstreams[index].id) != tried.end();
        if (!isTried && (!leastLoaded || m_inFlight[index] < m_inFlight[*leastLoaded])) {
            leastLoaded = index;
        }
    }
    if (!leastLoaded) {
        return {};
    }
    return { placement::choice_status::chosen, &m_upstreams[*leastLoaded], false, m_inFlight[*leastLoaded] };
}

void baseline_policy::startAttempt(const std::string& upstream, bool, steady_clock::time_point)
{
    ++m_inFlight[static_cast<std::size_t>(std::stoi(upstream.substr(1)))];
}

std::optional<placement::upstream_evidence> baseline_policy::finishAttempt(const std::string& upstream,
    const placement::completed_attempt&, steady_clock::time_point, steady_clock::time_point)
{
    --m_inFlight[static_cast<std::size_t>(std::stoi(upstream.substr(1)))];
    return std::nullopt;
}

placement::queue_key baseline_policy::queueKeyOf(
    const std::string&, steady_clock::time_point arrivedAt, deadline) const
{
    return { .limit = arrivedAt };
}

std::chrono::milliseconds baseline_policy::retryAfter(
    const queue_state&, const std::string&, steady_clock::time_point) const
{
    return fixedRetryAfter;
}

}
