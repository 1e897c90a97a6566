#include "marlsill/routing/snapshot.h"

#include <algorithm>

namespace marlsill::routing {

void upstream_evidence::add(const upstream_evidence& other)
{
    runs += other.runs;
    failures += other.failures;
    connectionLosses += other.connectionLosses;
    refusals += other.refusals;
    logLatencySum += other.logLatencySum;
    logLatencySquareSum += other.logLatencySquareSum;
    latencies += other.latencies;
}

upstream_state::upstream_state(std::string upstreamName, std::string upstreamAddress)
    : name(std::move(upstreamName))
    , address(std::move(upstreamAddress))
{
}

bool upstream_state::isEjected(steady_clock::time_point now) const
{
    return now.time_since_epoch().count() < ejectedUntil.load(std::memory_order_relaxed);
}

void upstream_state::addEvidence(const upstream_evidence& evidence)
{
    std::lock_guard lock(m_mutex);
    m_evidence.add(evidence);
}

upstream_evidence upstream_state::takeEvidence()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_evidence, {});
}

const routed_service* snapshot::find(std::string_view name) const
{
    auto place = std::lower_bound(services.begin(), services.end(), name,
        [](const auto& service, std::string_view wanted) { return service->name < wanted; });
    return place != services.end() && (*place)->name == name ? place->get() : nullptr;
}

bool isNotRepeatable(const service_rules& rules, std::string_view method, std::string_view path)
{
    return std::any_of(rules.notRepeatable.begin(), rules.notRepeatable.end(), [&](const auto& match) {
        return (match.method.empty() || match.method == method) && matchesPathPrefix(path, match.pathPrefix);
    });
}

void snapshot_holder::publish(std::shared_ptr<const snapshot> next)
{
    std::lock_guard lock(m_mutex);
    m_current = std::move(next);
    m_version.fetch_add(1, std::memory_order_release);
}

std::shared_ptr<const snapshot> snapshot_holder::load() const
{
    std::lock_guard lock(m_mutex);
    return m_current;
}

const std::shared_ptr<const snapshot>& snapshot_reader::current()
{
    auto version = m_holder.version();
    if (version != m_version) {
        m_cached = m_holder.load();
        m_version = version;
    }
    return m_cached;
}

}
