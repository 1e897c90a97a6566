#include "marlsill/accounts/configuration_freshness.h"

#include <algorithm>

namespace marlsill::accounts {

namespace {

    // Versions that arrive in quick succession; the oldest one is dropped beyond that.
    constexpr std::size_t maxPending = 8;

}

std::string_view toText(freshness_source source)
{
    constexpr std::string_view names[] = { "none", "store", "peer" };
    return names[static_cast<int>(source)];
}

void configuration_freshness::advance(time_point point, freshness_source source)
{
    if (!m_currentAsOf || point > *m_currentAsOf) {
        m_currentAsOf = point;
        m_source = source;
    }
}

void configuration_freshness::noteApplied(time_point point) { advance(point, freshness_source::store); }

void configuration_freshness::noteStated(time_point point, std::uint64_t version)
{
    if (version <= m_version) {
        advance(point, freshness_source::peer);
        return;
    }
    auto isCovered
        = [&](const pending_point& each) { return each.version <= version && each.point >= point; };
    if (std::any_of(m_pending.begin(), m_pending.end(), isCovered)) {
        return;
    }
    std::erase_if(
        m_pending, [&](const pending_point& each) { return each.version >= version && each.point <= point; });
    auto place = std::find_if(m_pending.begin(), m_pending.end(),
        [&](const pending_point& each) { return each.version > version; });
    m_pending.insert(place, { version, point });
    if (m_pending.size() > maxPending) {
        m_pending.erase(m_pending.begin());
    }
}

void configuration_freshness::setVersion(std::uint64_t version)
{
    m_version = std::max(m_version, version);
    auto end = std::find_if(m_pending.begin(), m_pending.end(),
        [&](const pending_point& each) { return each.version > m_version; });
    for (auto each = m_pending.begin(); each != end; ++each) {
        advance(each->point, freshness_source::peer);
    }
    m_pending.erase(m_pending.begin(), end);
}

std::optional<std::chrono::milliseconds> configuration_freshness::ageAt(time_point now) const
{
    if (!m_currentAsOf) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(now - *m_currentAsOf);
}

configuration_freshness::time_point configuration_freshness::validUntil() const
{
    if (!isStrict()) {
        return time_point::max();
    }
    return m_currentAsOf ? *m_currentAsOf + m_bound - safetyMargin : time_point::min();
}

}
