#include "marlsill/gateway/leaving_monitor.h"

#include "marlsill/events/events.h"

namespace marlsill::gateway {

namespace {

    constexpr std::string_view leavingValue = "1";
    constexpr std::size_t maxLoggedBytes = 32; // Of a malformed value.
    constexpr std::chrono::milliseconds malformedLogInterval { 1'000 };

}

leaving_monitor::leaving_monitor(placement::load_balancer& balancer, traffic_counters& counters,
    std::string field, std::function<void(const placement::upstream_entry&)> onLeaving)
    : m_loadBalancer(balancer)
    , m_counters(counters)
    , m_field(std::move(field))
    , m_onLeaving(std::move(onLeaving))
{
}

void leaving_monitor::recordResponse(const std::string& upstream, std::int64_t startedUnixMs,
    const Poco::Net::HTTPResponse& head, steady_clock::time_point now)
{
    if (!head.has(m_field) || head.getStatus() == Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST) {
        return;
    }
    const auto& value = head.get(m_field);
    if (value != leavingValue) {
        recordMalformed(upstream, value, now);
        return;
    }
    placement::leaving_notice notice { upstream, startedUnixMs, now };
    if (!apply(notice, "answer", now)) {
        return;
    }
    ++m_counters.leavingNotices;
    if (m_report) {
        m_report(notice);
    }
}

void leaving_monitor::applyPeerNotice(const placement::leaving_notice& notice)
{
    m_counters.leavingNoticesFromPeers += apply(notice, "peer", steady_clock::now()) ? 1 : 0;
}

bool leaving_monitor::apply(
    const placement::leaving_notice& notice, std::string_view source, steady_clock::time_point now)
{
    if (!m_loadBalancer.noteLeaving(notice, now)) {
        return false;
    }
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - notice.observedAt);
    logEvent(event::leavingNoticed,
        { { "upstream", notice.upstream }, { "source", std::string(source) },
            { "age_ms", std::to_string(age.count()) }, { "started", std::to_string(notice.startedUnixMs) },
            { "until", "another process is registered" } });
    if (const auto* registered = m_loadBalancer.find(notice.upstream)) {
        m_onLeaving(*registered);
    }
    return true;
}

void leaving_monitor::logEnded()
{
    for (const auto& each : m_loadBalancer.takeEndedLeavingNotices()) {
        logEvent(event::leavingNoticeEnded,
            { { "upstream", each.upstream }, { "started", std::to_string(each.startedUnixMs) } });
    }
}

void leaving_monitor::recordMalformed(
    const std::string& upstream, const std::string& value, steady_clock::time_point now)
{
    ++m_counters.leavingFieldsMalformed;
    if (!hasPassed(m_nextMalformedLogAt, now)) {
        return;
    }
    m_nextMalformedLogAt = now + malformedLogInterval;
    logEvent(event::leavingFieldMalformed,
        { { "upstream", upstream }, { "value", value.substr(0, maxLoggedBytes) },
            { "bytes", std::to_string(value.size()) } });
}

}
