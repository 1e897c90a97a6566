#include "marlsill/entry/recorder.h"

#include "marlsill/base/hash.h"
#include "marlsill/events/events.h"

#include <thread>

namespace marlsill::entry {

namespace {

    constexpr std::chrono::milliseconds callLength { 3'000 };
    constexpr std::chrono::milliseconds stopCheckPause { 50 };
    constexpr std::size_t keyHashLength = 24; // hexadecimal digits

    bool isBad(const request_report& report)
    {
        bool isCallersError = report.status >= 400 && report.status < 500;
        return !isCallersError && (report.requestOutcome != outcome::ran || report.status >= 500);
    }

}

recorder::recorder(platform::platform_client& platform, recorder_options options)
    : m_platform(platform)
    , m_options(std::move(options))
    , m_log(m_options.incarnation, m_options.key)
{
}

void recorder::add(record::fact happened) { m_log.add(std::move(happened), wall_clock::now()); }

void recorder::countRequest(const request_report& report)
{
    bool isFailed = isBad(report);
    bool isSlow = !isFailed && report.elapsed > report.latencyObjective;
    {
        std::string cause = isFailed
            ? (report.outcomeReason.empty() ? "server-error" : std::string(report.outcomeReason))
            : "";
        std::lock_guard lock(m_mutex);
        auto& counts
            = m_levels[{ std::string(report.service), std::string(report.upstream), std::move(cause) }];
        ++counts.requests;
        counts.bad += isFailed ? 1 : 0;
        counts.slow += isSlow ? 1 : 0;
    }
    if (report.isNotRepeatable && !report.key.empty()) {
        add({ .kind = record::fact_kind::outcome,
            .service = std::string(report.service),
            .key = sha256Hex(report.key).substr(0, keyHashLength),
            .told = std::string(toText(report.requestOutcome)),
            .why = std::string(report.outcomeReason) });
    }
}

void recorder::addServiceLevels()
{
    std::map<service_level_key, service_level_counts> levels;
    {
        std::lock_guard lock(m_mutex);
        levels.swap(m_levels);
    }
    for (const auto& [key, counts] : levels) {
        add({ .kind = record::fact_kind::serviceLevel,
            .service = key.service,
            .upstream = key.upstream,
            .why = key.cause,
            .count = counts.requests,
            .bad = counts.bad,
            .slow = counts.slow });
    }
}

bool recorder::storeOne(deadline limit)
{
    std::lock_guard lock(m_storing);
    auto segment = m_log.seal();
    if (!segment) {
        return false;
    }
    reason why;
    bool isStored
        = m_platform.write(segment->name, segment->text, platform::noVersion, limit, why).has_value();
    if (!isStored && (why.code == reason_code::conflict || why.code == reason_code::uncertain)) {
        auto there = m_platform.read(segment->name, limit, why);
        isStored = there && there->value == segment->text;
    }
    if (!isStored) {
        m_log.unseal();
    }
    return isStored;
}

void recorder::run(const std::stop_token& stop)
{
    auto next = deadlineAfter(m_options.sealPause);
    while (!stop.stop_requested()) {
        if (!hasPassed(next, steady_clock::now())) {
            std::this_thread::sleep_for(stopCheckPause);
            continue;
        }
        addServiceLevels();
        storeOne(deadlineAfter(callLength));
        next = deadlineAfter(m_options.sealPause);
    }
}

bool recorder::close(deadline limit)
{
    addServiceLevels();
    add({ .kind = record::fact_kind::closed });
    while (!hasPassed(limit, steady_clock::now())) {
        if (!storeOne(limit)) {
            return !m_log.seal().has_value();
        }
    }
    return false;
}

}
