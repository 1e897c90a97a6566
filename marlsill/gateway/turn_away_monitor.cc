#include "marlsill/gateway/turn_away_monitor.h"

#include "marlsill/events/events.h"
#include "marlsill/http/field_names.h"

namespace marlsill::gateway {

namespace {

    constexpr std::size_t maxLoggedValue = 40;
    constexpr std::chrono::milliseconds ignoredLineInterval { 1'000 };
    constexpr std::chrono::milliseconds retryAfterUnit { 10 }; // Two decimals of a second.

}

turn_away_monitor::turn_away_monitor(placement::load_balancer& balancer, traffic_counters& counters)
    : m_loadBalancer(balancer)
    , m_counters(counters)
{
}

bool turn_away_monitor::recordResponse(
    const answered_attempt& attempt, const Poco::Net::HTTPResponse& response, steady_clock::time_point now)
{
    bool namesTime = response.getStatus() == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE
        && response.has(http::field::retryAfter);
    if (!namesTime) {
        return false;
    }
    auto text = response.get(http::field::retryAfter);
    auto logged = text.substr(0, maxLoggedValue);
    reason why;
    auto delay = placement::parseRetryAfter(text, why);
    if (!delay) {
        if (hasPassed(m_nextIgnoredLine, now)) {
            m_nextIgnoredLine = now + ignoredLineInterval;
            logEvent(event::retryAfterIgnored,
                { { "upstream", std::string(attempt.upstream) }, { "request", std::string(attempt.request) },
                    { "value", logged }, { "why", why.text } });
        }
        return false;
    }
    if (delay->count() == 0) {
        return false;
    }
    ++m_counters.turnAways;
    auto until = m_loadBalancer.recordTurnAway(attempt.upstream,
        { attempt.upstreamStartedUnixMs, toUnixMilliseconds(wall_clock::now()), *delay }, now);
    if (until) {
        auto left = std::chrono::duration_cast<wall_clock::duration>(*until - now);
        logEvent(event::upstreamTurnsAway,
            { { "upstream", std::string(attempt.upstream) }, { "source", "response" },
                { "request", std::string(attempt.request) }, { "value", logged },
                { "held_ms", std::to_string(millisecondsUntil(*until, now)) },
                { "until_unix_ms", std::to_string(toUnixMilliseconds(wall_clock::now() + left)) } });
    }
    return true;
}

std::optional<std::chrono::milliseconds> turn_away_monitor::returnDelay(
    const std::string& service, placement::return_conditions conditions, steady_clock::time_point now)
{
    auto capacity = m_loadBalancer.heldCapacity(service, now);
    if (capacity.empty()) {
        return std::nullopt;
    }
    ++m_counters.heldRefusals;
    conditions.usual = std::chrono::milliseconds(m_loadBalancer.statsOf(service, now).latencyMs);
    auto returnAt = m_schedules[service].nextReturn(capacity, conditions);
    auto units = (std::chrono::milliseconds(millisecondsUntil(returnAt, now)) + retryAfterUnit
                     - std::chrono::milliseconds(1))
        / retryAfterUnit;
    return units * retryAfterUnit;
}

}
