#include "marlsill/model/policies.h"

#include <algorithm>

namespace marlsill::model {

namespace {

    constexpr std::string_view service = "s";
    constexpr std::chrono::milliseconds fixedRetryAfter { 1'000 }; // What a plain proxy tells.

    std::vector<placement::upstream_entry> entriesOf(const model_options& options)
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

    placement::windowed_retry_budget budgetOf(const model_options& options)
    {
        return placement::windowed_retry_budget(
            { .ratio = options.retryRatio, .slack = options.retrySlack / options.vms });
    }

}

fleet_policy::fleet_policy(const model_options& options, std::uint64_t seed)
    : m_options(options)
    , m_board(options.board, seed)
    , m_budget(budgetOf(options))
    , m_random(seed)
{
    m_board.setServingVms(options.vms);
    m_board.replaceUpstreams(entriesOf(options), {});
}

placement::choice fleet_policy::choose(
    std::span<const std::string> tried, steady_clock::time_point arrivedAt, steady_clock::time_point now)
{
    bool mayRetry = !m_options.isAtMostOnce && m_budget.canAcquire(now);
    return m_board.choose({ .service = service,
                              .tried = tried,
                              .isAtMostOnce = m_options.isAtMostOnce,
                              .mayUseExcluded = now - arrivedAt > m_options.patience,
                              .canBeRetried = mayRetry },
        now);
}

void fleet_policy::begin(const std::string& upstream, bool isTrial, steady_clock::time_point now)
{
    m_board.startAttempt(upstream, isTrial, now);
}

std::optional<placement::upstream_evidence> fleet_policy::end(const std::string& upstream,
    const placement::completed_attempt& ended, steady_clock::time_point startedAt,
    steady_clock::time_point now)
{
    auto usual = std::chrono::milliseconds(m_board.statsOf(service, now).latencyMs);
    return m_board.finishAttempt(upstream, placement::healthSignalOf(ended, usual), now - startedAt,
        startedAt, m_options.isAtMostOnce, now);
}

placement::queue_load fleet_policy::outlook(const line_state& line, steady_clock::time_point now) const
{
    auto condition = m_board.statsOf(service, now);
    return { line.waiting, condition.slots, std::chrono::milliseconds(condition.latencyMs), line.isStanding };
}

bool fleet_policy::refuses(const line_state& line, const placement::answer_deadlines& limits,
    const std::string& caller, steady_clock::time_point now) const
{
    return m_gate.isTooEarly(caller, now) || placement::shouldShed(outlook(line, now), limits, now);
}

placement::queue_key fleet_policy::placeOf(
    const std::string& caller, steady_clock::time_point, deadline limit) const
{
    return { .limit = limit, .caller = caller };
}

std::chrono::milliseconds fleet_policy::retryAfter(
    const line_state& line, const std::string& caller, steady_clock::time_point now)
{
    auto fraction = std::uniform_real_distribution<>()(m_random);
    auto pause = placement::retryAfter(placement::expectedWait(outlook(line, now)), fraction);
    m_gate.recordRetryAfter(caller, now + pause, now);
    return pause;
}

void fleet_policy::noteOutcome(bool isServed, steady_clock::time_point now)
{
    m_board.recordOutcome(service, isServed, now);
}

void fleet_policy::learn(const placement::upstream_evidence& evidence, steady_clock::time_point now)
{
    m_board.applyEvidence(evidence, m_options.isAtMostOnce, now);
}

void fleet_policy::learnLoad(
    const std::string& peer, const placement::upstream_load& load, steady_clock::time_point now)
{
    m_board.applyPeerLoad(peer, load, now);
}

plain_policy::plain_policy(const model_options& options, std::uint64_t seed)
    : m_options(options)
    , m_upstreams(entriesOf(options))
    , m_inFlight(m_upstreams.size(), 0)
    , m_budget(budgetOf(options))
    , m_random(seed)
{
}

placement::choice plain_policy::choose(
    std::span<const std::string> tried, steady_clock::time_point, steady_clock::time_point)
{
    std::optional<std::size_t> best;
    auto first = static_cast<std::size_t>(
        std::uniform_real_distribution<>()(m_random) * static_cast<double>(m_upstreams.size()));
    for (std::size_t step = 0; step < m_upstreams.size(); ++step) {
        auto index = (first + step) % m_upstreams.size();
        bool isTried = std::find(tried.begin(), tried.end(), m_upstreams[index].id) != tried.end();
        if (!isTried && (!best || m_inFlight[index] < m_inFlight[*best])) {
            best = index;
        }
    }
    if (!best) {
        return {};
    }
    return { placement::choice_status::chosen, &m_upstreams[*best], false, m_inFlight[*best] };
}

void plain_policy::begin(const std::string& upstream, bool, steady_clock::time_point)
{
    ++m_inFlight[static_cast<std::size_t>(std::stoi(upstream.substr(1)))];
}

std::optional<placement::upstream_evidence> plain_policy::end(const std::string& upstream,
    const placement::completed_attempt&, steady_clock::time_point, steady_clock::time_point)
{
    --m_inFlight[static_cast<std::size_t>(std::stoi(upstream.substr(1)))];
    return std::nullopt;
}

placement::queue_key plain_policy::placeOf(
    const std::string&, steady_clock::time_point arrivedAt, deadline) const
{
    return { .limit = arrivedAt };
}

std::chrono::milliseconds plain_policy::retryAfter(
    const line_state&, const std::string&, steady_clock::time_point) const
{
    return fixedRetryAfter;
}

}
