#include "marlsill/placement/rate_limits.h"

#include <algorithm>
#include <cmath>

namespace marlsill::placement {

namespace {

    double toSeconds(steady_clock::duration length) { return std::chrono::duration<double>(length).count(); }

}

const rate_limits::upstream_limit* rate_limits::find(std::string_view upstream) const
{
    auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

rate_limits::upstream_limit& rate_limits::findOrCreate(std::string_view upstream)
{
    return m_upstreams.try_emplace(std::string(upstream)).first->second;
}

std::optional<rate_limit_notice> rate_limits::recordResponse(std::string_view upstream,
    std::optional<double> requestsPerSecond, steady_clock::time_point startedAt, steady_clock::time_point now)
{
    const auto* known = find(upstream);
    bool isEnd = !requestsPerSecond;
    if (isEnd && (!known || !known->requestsPerSecond || startedAt <= known->observedAt)) {
        return std::nullopt;
    }
    auto& each = findOrCreate(upstream);
    bool isChange = each.requestsPerSecond != requestsPerSecond;
    each.requestsPerSecond = requestsPerSecond;
    each.observedAt = now;
    return isChange ? noticeOf(upstream) : std::nullopt;
}

void rate_limits::merge(const rate_limit_notice& notice)
{
    auto& each = findOrCreate(notice.upstream);
    if (notice.observedAt > each.observedAt) {
        each.requestsPerSecond = notice.requestsPerSecond;
        each.observedAt = notice.observedAt;
    }
}

std::optional<rate_limit_notice> rate_limits::noticeOf(std::string_view upstream) const
{
    const auto* known = find(upstream);
    return known ? std::optional(
               rate_limit_notice { std::string(upstream), known->requestsPerSecond, known->observedAt })
                 : std::nullopt;
}

std::optional<double> rate_limits::limitOf(std::string_view upstream) const
{
    const auto* known = find(upstream);
    return known ? known->requestsPerSecond : std::nullopt;
}

bool rate_limits::hasPermit(std::string_view upstream, steady_clock::time_point now) const
{
    const auto* known = find(upstream);
    return !known || !known->requestsPerSecond
        || (known->permitFrom <= now && !hasPassed(known->permitUntil, now));
}

bool rate_limits::shouldRequest(std::string_view upstream, steady_clock::time_point now) const
{
    const auto* known = find(upstream);
    return known && !hasPermit(upstream, now) && !isExpectingPermit(upstream, now)
        && hasPassed(known->refusedUntil, now);
}

bool rate_limits::isExpectingPermit(std::string_view upstream, steady_clock::time_point now) const
{
    const auto* known = find(upstream);
    return known && (!hasPassed(known->requestUntil, now) || known->permitFrom > now);
}

deadline rate_limits::nextChance(std::string_view upstream, steady_clock::time_point now) const
{
    const auto* known = find(upstream);
    return known ? std::max({ now, known->permitFrom, known->refusedUntil }) : now;
}

void rate_limits::noteRequested(std::string_view upstream, steady_clock::time_point now)
{
    findOrCreate(upstream).requestUntil = now + m_options.requestTimeout;
}

void rate_limits::grant(std::string_view upstream, steady_clock::time_point beginsAt)
{
    auto& each = findOrCreate(upstream);
    each.permitFrom = beginsAt;
    each.permitUntil = beginsAt + m_options.permitLifetime;
    each.requestUntil = {};
}

void rate_limits::refuse(std::string_view upstream, deadline until)
{
    auto& each = findOrCreate(upstream);
    each.refusedUntil = until;
    each.requestUntil = {};
}

void rate_limits::noteAbsence(steady_clock::time_point now)
{
    // Longer than it takes to read what waited in the socket.
    m_answersFrom = now + 2 * m_options.requestTimeout;
    for (auto& [upstream, each] : m_upstreams) {
        each.permitFrom = {};
        each.permitUntil = {};
        each.requestUntil = m_answersFrom; // No request until answers count again.
    }
}

void rate_limits::consume(std::string_view upstream, steady_clock::time_point now)
{
    if (auto found = m_upstreams.find(upstream); found != m_upstreams.end()) {
        found->second.permitUntil = now;
    }
}

permit_answer permit_issuer::request(std::string_view upstream, double requestsPerSecond,
    std::chrono::milliseconds maxDelay, steady_clock::time_point now)
{
    auto rate = std::max(requestsPerSecond, m_options.minRate);
    auto [found, isNew] = m_buckets.try_emplace(std::string(upstream));
    auto& bucket = found->second;
    if (!isNew) {
        bucket.tokens += rate * toSeconds(now - bucket.refilledAt);
    }
    bucket.refilledAt = now;
    bucket.tokens = std::min(bucket.tokens, std::max(1.0, rate * toSeconds(m_options.maxBurst)));
    auto missingMs = std::ceil(1'000 * std::max(0.0, 1 - bucket.tokens) / rate);
    auto delay = std::chrono::milliseconds(static_cast<std::int64_t>(missingMs));
    bool isGranted = delay <= maxDelay;
    bucket.tokens -= isGranted ? 1 : 0;
    return { isGranted, delay };
}

}
