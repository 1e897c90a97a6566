#include "marlsill/cluster/store_availability.h"

#include <algorithm>

namespace marlsill::cluster {

namespace {

    using std::chrono::milliseconds;

    std::uint64_t millisecondsBetween(boot_clock::time_point first, boot_clock::time_point last)
    {
        auto length = std::chrono::duration_cast<milliseconds>(last - first).count();
        return static_cast<std::uint64_t>(std::max<std::int64_t>(0, length));
    }

    // Returns a length of time that another VM has named, at most `limit`.
    milliseconds boundedTime(std::uint64_t value, milliseconds limit)
    {
        return milliseconds(std::min(value, static_cast<std::uint64_t>(limit.count())));
    }

}

store_availability::span store_availability::joined(const span& left, const span& right) const
{
    const auto& earlier = left.last < right.last ? left : right;
    const auto& later = left.last < right.last ? right : left;
    bool isOutageBetween = earlier.last + m_options.maxGap < later.first;
    return { isOutageBetween ? later.first : std::min(left.first, right.first), later.last };
}

bool store_availability::isCurrent(const std::optional<span>& seen, boot_clock::time_point now) const
{
    return seen && now <= seen->last + m_options.maxGap;
}

void store_availability::extend(std::optional<span>& known, const span& seen) const
{
    known = known ? joined(*known, seen) : seen;
}

void store_availability::noteContact(boot_clock::time_point at)
{
    std::lock_guard lock(m_mutex);
    extend(m_own, { at, at });
    extend(m_seen, { at, at });
}

void store_availability::noteReport(const availability_report& report, boot_clock::time_point now)
{
    if (report.ageMs > static_cast<std::uint64_t>(m_options.maxGap.count())) {
        return;
    }
    auto last = now - milliseconds(report.ageMs);
    std::lock_guard lock(m_mutex);
    extend(m_seen, { last - boundedTime(report.spanMs, m_options.maxReportedSpan), last });
}

std::optional<availability_report> store_availability::report(boot_clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    if (!isCurrent(m_own, now)) {
        return std::nullopt;
    }
    auto first = std::max(m_own->first, m_own->last - m_options.maxReportedSpan);
    return availability_report { millisecondsBetween(m_own->last, now),
        millisecondsBetween(first, m_own->last) };
}

std::optional<boot_clock::time_point> store_availability::availableSince(boot_clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    return isCurrent(m_seen, now) ? std::optional(m_seen->first) : std::nullopt;
}

}
