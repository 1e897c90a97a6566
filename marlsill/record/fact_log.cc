#include "marlsill/record/fact_log.h"

#include "marlsill/record/record_file.h"

#include <cstdio>
#include <utility>

namespace marlsill::record {

fact_log::fact_log(std::string incarnation, std::string key, fact_log_options options)
    : m_incarnation(std::move(incarnation))
    , m_key(std::move(key))
    , m_options(options)
{
}

void fact_log::add(fact happened, wall_deadline now)
{
    std::lock_guard lock(m_mutex);
    happened.at = toUnixMilliseconds(now);
    if (m_facts.size() + m_sealed.size() >= m_options.maxFacts) {
        ++m_dropped;
        return;
    }
    if (m_dropped > 0) {
        m_facts.push_back(
            { .kind = fact_kind::gap, .at = happened.at, .count = std::exchange(m_dropped, 0) });
    }
    m_facts.push_back(std::move(happened));
}

std::optional<sealed_segment> fact_log::seal()
{
    std::lock_guard lock(m_mutex);
    if (m_dropped > 0) {
        m_facts.push_back({ .kind = fact_kind::gap,
            .at = toUnixMilliseconds(wall_clock::now()),
            .count = std::exchange(m_dropped, 0) });
    }
    if (m_facts.empty()) {
        return std::nullopt;
    }
    m_sealed.clear();
    while (!m_facts.empty() && m_sealed.size() < m_options.factsPerSegment) {
        m_sealed.push_back(std::move(m_facts.front()));
        m_facts.pop_front();
    }
    read_segment segment { m_incarnation, m_nextNumber, m_previousTag, {}, m_sealed };
    auto text = toText(segment, m_key);
    m_sealedPreviousTag = std::exchange(m_previousTag, segment.tag);
    char name[64];
    std::snprintf(name, sizeof name, "%s%s/%08lld", recordPrefix, m_incarnation.c_str(),
        static_cast<long long>(m_nextNumber));
    ++m_nextNumber;
    return sealed_segment { name, std::move(text) };
}

void fact_log::unseal()
{
    std::lock_guard lock(m_mutex);
    for (auto each = m_sealed.rbegin(); each != m_sealed.rend(); ++each) {
        m_facts.push_front(std::move(*each));
    }
    m_sealed.clear();
    m_previousTag = m_sealedPreviousTag;
    --m_nextNumber;
}

}
