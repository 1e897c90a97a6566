#include "marlsill/placement/crash_quarantine.h"

#include "marlsill/base/hash.h"

#include <algorithm>
#include <numeric>

namespace marlsill::placement {

namespace {

    constexpr std::chrono::hours maxProbeDelay { 24 }; // Keeps the growing delay from overflowing.

}

int crash_quarantine::entry::crashes() const
{
    return std::accumulate(upstreams.begin(), upstreams.end(), 0,
        [](int sum, const auto& each) { return sum + each.second.count - each.second.cleared; });
}

std::vector<crash_record> crash_quarantine::entry::records(std::uint64_t fingerprint) const
{
    std::vector<crash_record> all;
    for (const auto& [upstream, crashes] : upstreams) {
        all.push_back({ fingerprint, upstream, crashes.count, crashes.cleared, expiresAt });
    }
    return all;
}

std::optional<crash_record> crash_quarantine::recordCrash(std::uint64_t fingerprint,
    const std::string& upstream, steady_clock::time_point startedAt, steady_clock::time_point now)
{
    auto& found = findOrCreate(fingerprint, now);
    auto& known = found.upstreams[upstream];
    if (known.count > 0 && startedAt <= known.recordedAt) {
        return std::nullopt;
    }
    m_digest.reset();
    ++known.count;
    known.recordedAt = now;
    found.lastCrashOrProbe = now;
    found.expiresAt = now + m_options.retention;
    found.reportedExpiry = found.expiresAt;
    return crash_record { fingerprint, upstream, known.count, known.cleared, found.expiresAt };
}

std::vector<crash_record> crash_quarantine::recordSuccess(
    std::uint64_t fingerprint, steady_clock::time_point now)
{
    std::vector<crash_record> changed;
    m_successes.add(fingerprint, now);
    auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || hasPassed(found->second.expiresAt, now)) {
        return changed;
    }
    for (auto& [upstream, crashes] : found->second.upstreams) {
        if (crashes.cleared < crashes.count) {
            m_digest.reset();
            crashes.cleared = crashes.count;
            changed.push_back(
                { fingerprint, upstream, crashes.count, crashes.cleared, found->second.expiresAt });
        }
    }
    return changed;
}

std::optional<crash_record> crash_quarantine::clearByEarlierSuccess(
    std::uint64_t fingerprint, const std::string& upstream, steady_clock::time_point now)
{
    auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || !found->second.upstreams.contains(upstream)) {
        return std::nullopt;
    }
    auto& crashes = found->second.upstreams[upstream];
    if (crashes.cleared >= crashes.count || !m_successes.take(fingerprint, now)) {
        return std::nullopt;
    }
    m_digest.reset();
    ++crashes.cleared;
    return crash_record { fingerprint, upstream, crashes.count, crashes.cleared, found->second.expiresAt };
}

std::vector<crash_record> crash_quarantine::recordArrival(
    std::uint64_t fingerprint, steady_clock::time_point now)
{
    auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || !isQuarantined(fingerprint, now)) {
        return {};
    }
    auto& each = found->second;
    each.expiresAt = now + m_options.retention;
    if (each.expiresAt < each.reportedExpiry + m_options.retention / 4) {
        return {};
    }
    each.reportedExpiry = each.expiresAt;
    return each.records(fingerprint);
}

bool crash_quarantine::tryStartProbe(std::uint64_t fingerprint, steady_clock::time_point now)
{
    auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || !isQuarantined(fingerprint, now)) {
        return false;
    }
    auto delay = m_options.probeDelay;
    for (int crash = m_options.maxCrashes; crash < found->second.crashes() && delay < maxProbeDelay;
         ++crash) {
        delay *= m_options.probeDelayGrowth;
    }
    if (now < found->second.lastCrashOrProbe + delay) {
        return false;
    }
    found->second.lastCrashOrProbe = now;
    return true;
}

bool crash_quarantine::merge(const crash_record& record, steady_clock::time_point now)
{
    auto expiresAt = std::min(record.expiresAt, now + m_options.retention);
    if (record.crashes <= 0 || hasPassed(expiresAt, now)) {
        return false;
    }
    auto& found = findOrCreate(record.fingerprint, now);
    found.expiresAt = std::max(found.expiresAt, expiresAt);
    found.reportedExpiry = std::max(found.reportedExpiry, expiresAt);
    auto& known = found.upstreams[record.upstream];
    auto cleared = std::min(record.cleared, record.crashes);
    if (record.crashes <= known.count && cleared <= known.cleared) {
        return false;
    }
    m_digest.reset();
    if (record.crashes > known.count) {
        known.count = record.crashes;
        known.recordedAt = now;
        found.lastCrashOrProbe = now;
    }
    if (cleared > known.cleared) {
        known.cleared = cleared;
        m_successes.take(record.fingerprint, now); // It excuses no further crash.
    }
    return true;
}

int crash_quarantine::crashesOf(std::uint64_t fingerprint, steady_clock::time_point now) const
{
    auto found = m_entries.find(fingerprint);
    return found == m_entries.end() || hasPassed(found->second.expiresAt, now) ? 0 : found->second.crashes();
}

bool crash_quarantine::isQuarantined(std::uint64_t fingerprint, steady_clock::time_point now) const
{
    return crashesOf(fingerprint, now) >= m_options.maxCrashes;
}

std::vector<crash_record> crash_quarantine::recordsOf(std::uint64_t fingerprint) const
{
    auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? std::vector<crash_record>() : found->second.records(fingerprint);
}

std::uint64_t crash_quarantine::digest(steady_clock::time_point now)
{
    forgetExpired(now);
    if (m_digest) {
        return *m_digest;
    }
    std::uint64_t sum = 0;
    for (const auto& [fingerprint, each] : m_entries) {
        for (const auto& [upstream, crashes] : each.upstreams) {
            auto counts = std::to_string(crashes.count) + "/" + std::to_string(crashes.cleared);
            sum += fastHash(upstream, fastHash(counts, fingerprint));
        }
    }
    m_digest = sum;
    return sum;
}

std::vector<crash_record> crash_quarantine::nextRecords(std::size_t maxRecords, steady_clock::time_point now)
{
    forgetExpired(now);
    std::vector<crash_record> records;
    auto next = m_entries.upper_bound(m_lastReturned);
    for (std::size_t visited = 0; visited < m_entries.size() && records.size() < maxRecords; ++visited) {
        if (next == m_entries.end()) {
            next = m_entries.begin();
        }
        auto ofRequest = next->second.records(next->first);
        records.insert(records.end(), ofRequest.begin(), ofRequest.end());
        m_lastReturned = next->first;
        ++next;
    }
    return records;
}

std::vector<crash_record> crash_quarantine::mostImportantRecords(
    std::size_t maxRecords, steady_clock::time_point now)
{
    forgetExpired(now);
    std::vector<std::pair<std::uint64_t, const entry*>> ordered;
    for (const auto& [fingerprint, each] : m_entries) {
        ordered.emplace_back(fingerprint, &each);
    }
    std::sort(ordered.begin(), ordered.end(), [this](const auto& left, const auto& right) {
        return importanceOf(*left.second) > importanceOf(*right.second);
    });
    std::vector<crash_record> records;
    for (const auto& [fingerprint, each] : ordered) {
        auto ofRequest = each->records(fingerprint);
        if (records.size() + ofRequest.size() > maxRecords) {
            break;
        }
        records.insert(records.end(), ofRequest.begin(), ofRequest.end());
    }
    return records;
}

void crash_quarantine::forgetExpired(steady_clock::time_point now)
{
    auto forgotten
        = std::erase_if(m_entries, [&](const auto& each) { return hasPassed(each.second.expiresAt, now); });
    if (forgotten > 0) {
        m_digest.reset();
    }
}

// Returns the entry of a request. Makes room for a new one if the quarantine is full.
crash_quarantine::entry& crash_quarantine::findOrCreate(
    std::uint64_t fingerprint, steady_clock::time_point now)
{
    forgetExpired(now);
    if (m_entries.size() >= m_options.maxEntries && !m_entries.contains(fingerprint)) {
        evictLeastImportant();
    }
    return m_entries[fingerprint];
}

// Orders entries: quarantined ones are the most important, then those that expire last.
std::pair<bool, deadline> crash_quarantine::importanceOf(const entry& each) const
{
    return { each.crashes() >= m_options.maxCrashes, each.expiresAt };
}

void crash_quarantine::evictLeastImportant()
{
    m_digest.reset();
    m_entries.erase(
        std::min_element(m_entries.begin(), m_entries.end(), [this](const auto& left, const auto& right) {
            return importanceOf(left.second) < importanceOf(right.second);
        }));
}

}
