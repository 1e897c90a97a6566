#include "marlsill/placement/retry_after_holds.h"

#include <algorithm>

namespace marlsill::placement {

namespace {

    constexpr std::string_view digits = "0123456789";
    constexpr int millisecondDigits = 3;

    bool isNumber(std::string_view text)
    {
        return !text.empty() && text.find_first_not_of(digits) == std::string_view::npos;
    }

    // Returns the value of decimal digits; `limit` if it is larger.
    std::int64_t toNumber(std::string_view text, std::int64_t limit)
    {
        std::int64_t value = 0;
        for (char digit : text) {
            value = std::min(limit, 10 * value + (digit - '0'));
        }
        return value;
    }

}

std::optional<std::chrono::milliseconds> parseRetryAfter(std::string_view text, reason& why)
{
    auto point = text.find('.');
    auto whole = text.substr(0, point);
    auto fraction = point == std::string_view::npos ? std::string_view("0") : text.substr(point + 1);
    if (!isNumber(whole) || !isNumber(fraction)) {
        return fail(why, reason_code::invalid, "not a number of seconds");
    }
    constexpr std::int64_t maxSeconds
        = std::chrono::duration_cast<std::chrono::seconds>(maxRetryAfterHold).count();
    std::chrono::milliseconds delay = std::chrono::seconds(toNumber(whole, maxSeconds));
    std::string thousandths(fraction.substr(0, millisecondDigits));
    thousandths.resize(millisecondDigits, '0');
    delay += std::chrono::milliseconds(toNumber(thousandths, maxSeconds));
    bool isRoundedUp = fraction.find_first_not_of('0', millisecondDigits) != std::string_view::npos;
    delay += std::chrono::milliseconds(isRoundedUp ? 1 : 0);
    return std::min(delay, maxRetryAfterHold);
}

const retry_after_holds::entry* retry_after_holds::find(const upstream_entry& upstream) const
{
    if (m_holds.empty()) {
        return nullptr;
    }
    auto found = m_holds.find(upstream.id);
    if (found == m_holds.end()) {
        return nullptr;
    }
    const auto& known = found->second;
    bool isOfThisStart
        = known.startedUnixMs >= upstream.startedUnixMs || known.statedUnixMs > upstream.startedUnixMs;
    return isOfThisStart ? &known : nullptr;
}

std::optional<deadline> retry_after_holds::hold(
    std::string_view upstream, const turn_away& stated, double fraction, steady_clock::time_point now)
{
    if (stated.delay <= std::chrono::milliseconds(0)) {
        return std::nullopt;
    }
    removeExpired(now);
    auto length = std::min(stated.delay, maxRetryAfterHold);
    auto stagger = std::min(m_options.maxStagger, length / 4);
    auto until = now + length
        + std::chrono::duration_cast<steady_clock::duration>(std::clamp(fraction, 0.0, 1.0) * stagger);
    auto& known = m_holds[std::string(upstream)];
    if (known.startedUnixMs > stated.startedUnixMs) {
        return std::nullopt; // The answer of an earlier start.
    }
    if (known.startedUnixMs < stated.startedUnixMs && known.statedUnixMs <= stated.startedUnixMs) {
        known = {};
    }
    known.startedUnixMs = stated.startedUnixMs;
    known.statedUnixMs = std::max(known.statedUnixMs, stated.statedUnixMs);
    bool isLater = hasPassed(known.until, now) || until > known.until + m_options.maxStagger;
    known.until = std::max(known.until, until);
    return isLater ? std::optional(known.until) : std::nullopt;
}

std::optional<deadline> retry_after_holds::heldUntil(
    const upstream_entry& upstream, steady_clock::time_point now) const
{
    const auto* found = find(upstream);
    return found && !hasPassed(found->until, now) ? std::optional(found->until) : std::nullopt;
}

std::optional<int> retry_after_holds::maxInFlight(
    const upstream_entry& upstream, steady_clock::time_point now) const
{
    const auto* found = find(upstream);
    if (!found || !hasPassed(found->until, now) || hasPassed(found->until + m_options.rampUp, now)) {
        return std::nullopt;
    }
    auto share = std::chrono::duration<double>(now - found->until) / m_options.rampUp;
    return 1 + static_cast<int>(share * std::max(1, upstream.slots));
}

void retry_after_holds::removeExpired(steady_clock::time_point now)
{
    if (m_holds.size() < m_pruneAtSize) {
        return;
    }
    std::erase_if(
        m_holds, [&](const auto& each) { return hasPassed(each.second.until + m_options.rampUp, now); });
    m_pruneAtSize = std::max(minSizeToPrune, 2 * m_holds.size());
}

}
