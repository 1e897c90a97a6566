#include "marlsill/entry/recorder.h"

#include "marlsill/base/hash.h"
#include "marlsill/events/events.h"

#include <thread>

namespace marlsill::entry {

namespace {

    constexpr std::chrono::milliseconds storeTimeout { 3'000 };
    constexpr std::chrono::milliseconds stopCheckInterval { 50 };
    constexpr std::size_t keyHashDigits = 24;

    bool countsAsFailure(const request_report& report)
    {
        bool isClientError = report.status >= 400 && report.status < 500;
        return !isClientError && (report.requestOutcome != outcome::ran || report.status >= 500);
    }

}

recorder::recorder(platform::platform_client& platform, recorder_options options)
    : m_platform(platform)
    , m_options(std::move(options))
    , m_log(m_options.incarnation, m_options.hmacKey)
{
}

void recorder::add(record::fact newFact) { m_log.add(std::move(newFact), wall_clock::now()); }

void recorder::countRequest(const request_report& report)
{
    bool isFailed = countsAsFailure(report);
    bool isSlow = !isFailed && report.elapsed > report.latencyObjective;
    {
        std::string cause = isFailed
            ? (report.outcomeReason.empty() ? "server-error" : std::string(report.outcomeReason))
            : "";
        std::lock_guard lock(m_serviceLevelsMutex);
        auto& counts = m_serviceLevels[{
            std::string(report.service), std::string(report.upstream), std::move(cause) }];
        ++counts.requests;
        counts.failed += isFailed ? 1 : 0;
        counts.slow += isSlow ? 1 : 0;
    }
    if (report.isNotRepeatable && !report.key.empty()) {
        add({ .kind = record::fact_kind::outcome,
            .service = std::string(report.service),
            .key = sha256Hex(report.key).substr(0, keyHashDigits),
            .told = std::string(toText(report.requestOutcome)),
            .why = std::string(report.outcomeReason) });
    }
}

void recorder::recordServiceLevels()
{
    std::map<service_level_key, service_level_counts> levels;
    {
        std::lock_guard lock(m_serviceLevelsMutex);
        levels.swap(m_serviceLevels);
    }
    for (const auto& [key, counts] : levels) {
        add({ .kind = record::fact_kind::serviceLevel,
            .service = key.service,
            .upstream = key.upstream,
            .why = key.cause,
            .count = counts.requests,
            .bad = counts.failed,
            .slow = counts.slow });
    }
}

bool recorder::storeNextSegment(deadline limit)
{
    std::lock_guard lock(m_storeMutex);
    auto segment = m_log.seal();
    if (!segment) {
        return false;
    }
    reason why;
    bool isStored
        = m_platform.write(segment->name, segment->text, platform::noVersion, limit, why).has_value();
    if (!isStored && (why.code == reason_code::conflict || why.code == reason_code::uncertain)) {
        auto existing = m_platform.read(segment->name, limit, why);
        isStored = existing && existing->value == segment->text;
    }
    if (!isStored) {
        m_log.unseal();
    }
    return isStored;
}

void recorder::run(const std::stop_token& stop)
{
    auto next = deadlineAfter(m_options.segmentInterval);
    while (!stop.stop_requested()) {
        if (!hasPassed(next, steady_clock::now())) {
            std::this_thread::sleep_for(stopCheckInterval);
            continue;
        }
        recordServiceLevels();
        storeNextSegment(deadlineAfter(storeTimeout));
        next = deadlineAfter(m_options.segmentInterval);
    }
}

bool recorder::close(deadline limit)
{
    recordServiceLevels();
    add({ .kind = record::fact_kind::closed });
    while (!hasPassed(limit, steady_clock::now())) {
        if (!storeNextSegment(limit)) {
            return !m_log.seal().has_value();
        }
    }
    return false;
}

}
