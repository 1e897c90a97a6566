#include "marlsill/gateway/crash_monitor.h"

#include "marlsill/events/events.h"
#include "marlsill/gateway/endpoint.h"
#include "marlsill/gateway/upstream_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marlsill::gateway {

namespace {

    // `request` is the id of the request whose success cleared the crash.
    void logCleared(const std::string& request, const placement::crash_record& record)
    {
        logEvent(event::crashCleared,
            { { "request", request }, { "fingerprint", std::to_string(record.fingerprint) },
                { "upstream", record.upstream }, { "crashes", std::to_string(record.crashes) },
                { "cleared", std::to_string(record.cleared) } });
    }

}

crash_monitor::crash_monitor(asio::io_context& io, const placement::load_balancer& balancer,
    traffic_counters& counters, const crash_monitor_options& options)
    : m_io(io)
    , m_loadBalancer(balancer)
    , m_counters(counters)
    , m_options(options)
    , m_quarantine(options.quarantine)
    , m_absenceDetector(options.shortestAbsence)
{
}

void crash_monitor::noteRunning()
{
    if (auto absence = m_absenceDetector.noteRunning(boot_clock::now())) {
        logEvent(event::absenceNoticed, { { "absent_ms", std::to_string(absence->count()) } });
        beginCatchUp();
    }
}

void crash_monitor::catchUpAfterStart()
{
    if (!m_isUpToDate) {
        beginCatchUp();
    }
}

void crash_monitor::beginCatchUp()
{
    if (!m_requestRecords) {
        return;
    }
    m_isUpToDate = false;
    m_catchUp.begin(steady_clock::now());
    if (std::exchange(m_isAskingPeers, true)) {
        return;
    }
    auto askPeers = [this]() -> asio::awaitable<void> {
        asio::steady_timer timer(m_io);
        while (m_catchUp.isPending(steady_clock::now())) {
            if (!m_requestRecords()) {
                completeCatchUp("no_peers");
                break;
            }
            timer.expires_at(m_catchUp.nextRequest(steady_clock::now()));
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        m_isAskingPeers = false;
        completeCatchUp("timeout");
    };
    asio::co_spawn(m_io, std::move(askPeers), asio::detached);
}

void crash_monitor::completeCatchUp(std::string_view source)
{
    if (std::exchange(m_isUpToDate, true)) {
        return; // Several peers answer, and some after the timeout.
    }
    m_catchUp.complete();
    logEvent(event::crashRecordsCurrent, { { "source", std::string(source) } });
}

std::optional<std::vector<placement::crash_record>> crash_monitor::recordsForPeer(std::size_t maxRecords)
{
    noteRunning();
    auto now = steady_clock::now();
    if (!m_isUpToDate) {
        return std::nullopt;
    }
    return m_quarantine.mostImportantRecords(maxRecords, now);
}

void crash_monitor::examine(unexplained_end ended, std::function<bool()> hasSucceeded)
{
    auto address = parseEndpoint(ended.address);
    if (!address) {
        return;
    }
    auto check = [this, ended = std::move(ended), hasSucceeded = std::move(hasSucceeded),
                     endpoint = *address]() -> asio::awaitable<void> {
        asio::steady_timer delay(m_io, m_options.checkDelay);
        boost::system::error_code ignored;
        co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        auto connection = std::make_shared<upstream_connection>(m_io, endpoint, m_options.source);
        auto limit = deadlineAfter(m_options.connectTimeout);
        bool isListening = co_await connection->open(limit);
        connection->abort();
        // The port of a crashed process refuses; a lost link leaves connects without an answer.
        bool isOwnFault = !isListening && hasPassed(limit, steady_clock::now()) && m_mayBeCutOff();
        if (hasSucceeded()) {
            co_return; // Whatever happened to the upstream, the request did not cause it.
        }
        if ((!isListening && !isOwnFault) || hasRestarted(ended)) {
            recordCrash(ended);
            co_return;
        }
        m_pendingEnds.push_back({ ended, deadlineAfter(m_options.registrationDelay) });
        if (m_pendingEnds.size() > m_options.maxUnexplainedEnds) {
            m_pendingEnds.pop_front();
        }
    };
    asio::co_spawn(m_io, std::move(check), asio::detached);
}

// Returns whether the registrations show that another process has replaced the upstream.
bool crash_monitor::hasRestarted(const unexplained_end& ended) const
{
    auto isNewer = [&](const placement::upstream_entry* current) {
        return current && current->startedUnixMs > ended.upstreamStartedUnixMs;
    };
    return ended.upstreamStartedUnixMs != 0
        && (isNewer(m_loadBalancer.find(ended.upstream))
            || isNewer(m_loadBalancer.findNewestAt(ended.address)));
}

void crash_monitor::recordCrashesOfRestarted()
{
    auto now = steady_clock::now();
    std::erase_if(m_pendingEnds, [&](const auto& each) {
        bool isCrash = hasRestarted(each.ended);
        if (isCrash) {
            recordCrash(each.ended);
        }
        return isCrash || hasPassed(each.forgetAt, now);
    });
}

void crash_monitor::recordCrash(const unexplained_end& ended)
{
    auto now = steady_clock::now();
    ++m_counters.upstreamCrashes;
    auto record = m_quarantine.recordCrash(ended.fingerprint, ended.upstream, ended.startedAt, now);
    logEvent(event::upstreamCrashed,
        { { "request", ended.request }, { "upstream", ended.upstream },
            { "fingerprint", std::to_string(ended.fingerprint) },
            { "crashes", std::to_string(m_quarantine.crashesOf(ended.fingerprint, now)) } });
    if (!record) {
        return;
    }
    report(*record);
    clearByEarlierSuccess(ended.fingerprint, ended.upstream);
    logQuarantine(ended.fingerprint, now);
    archive(ended.fingerprint);
}

void crash_monitor::recordSuccess(const std::string& request, std::uint64_t fingerprint)
{
    std::erase_if(m_pendingEnds, [&](const auto& each) { return each.ended.fingerprint == fingerprint; });
    auto cleared = m_quarantine.recordSuccess(fingerprint, steady_clock::now());
    for (const auto& each : cleared) {
        logCleared(request, each);
        report(each);
    }
    if (!cleared.empty()) {
        archive(fingerprint);
    }
}

// Clears a request of a crash that has just become known if this VM has seen it succeed before.
void crash_monitor::clearByEarlierSuccess(std::uint64_t fingerprint, const std::string& upstream)
{
    if (auto cleared = m_quarantine.clearByEarlierSuccess(fingerprint, upstream, steady_clock::now())) {
        logCleared("earlier", *cleared);
        report(*cleared);
    }
}

void crash_monitor::recordArrival(std::uint64_t fingerprint, steady_clock::time_point now)
{
    auto renewed = m_quarantine.recordArrival(fingerprint, now);
    for (const auto& each : renewed) {
        report(each);
    }
    if (!renewed.empty()) {
        archive(fingerprint);
    }
}

void crash_monitor::applyRecord(const placement::crash_record& record)
{
    auto now = steady_clock::now();
    ++m_counters.crashReports;
    if (!m_quarantine.merge(record, now)) {
        return; // Known already; reports are repeated in case they are lost.
    }
    logEvent(event::crashReported,
        { { "fingerprint", std::to_string(record.fingerprint) }, { "upstream", record.upstream },
            { "crashes", std::to_string(record.crashes) }, { "cleared", std::to_string(record.cleared) },
            { "known", std::to_string(m_quarantine.crashesOf(record.fingerprint, now)) } });
    clearByEarlierSuccess(record.fingerprint, record.upstream);
    logQuarantine(record.fingerprint, now);
    archive(record.fingerprint);
}

// Logs that a request is quarantined, if it is.
void crash_monitor::logQuarantine(std::uint64_t fingerprint, steady_clock::time_point now)
{
    if (m_quarantine.isQuarantined(fingerprint, now)) {
        logEvent(event::requestQuarantined,
            { { "fingerprint", std::to_string(fingerprint) },
                { "crashes", std::to_string(m_quarantine.crashesOf(fingerprint, now)) } });
    }
}

void crash_monitor::archive(std::uint64_t fingerprint)
{
    if (m_archive) {
        m_archive(m_quarantine.recordsOf(fingerprint));
    }
}

void crash_monitor::report(const placement::crash_record& record)
{
    if (m_report) {
        m_report(record);
    }
}

}
