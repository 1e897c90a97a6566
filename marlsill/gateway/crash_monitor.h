#pragma once

// Finds out whether upstreams crashed under requests, and which requests must not be sent any more.
//
//     crash_monitor monitor(io, balancer, counters);
//     monitor.setReporter([&](const auto& record) { mesh.publish(record); });
//     if (monitor.isQuarantined(fingerprint, now))
//         return refuse();
//     ...
//     monitor.examine(ended, [request] { return request->hasSucceeded(); });
//
// Not thread safe; used from a single event loop.

#include "marlsill/base/absence_detector.h"
#include "marlsill/gateway/traffic_counters.h"
#include "marlsill/placement/crash_quarantine.h"
#include "marlsill/placement/load_balancer.h"
#include "marlsill/placement/record_catch_up.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::gateway {

namespace asio = boost::asio;

// An attempt that ended without a response.
struct unexplained_end {
    std::string request; // Its id.
    std::uint64_t fingerprint = 0;
    std::string upstream;
    std::string address;
    std::int64_t upstreamStartedUnixMs = 0; // As registered when the attempt began; 0 if unknown.
    steady_clock::time_point startedAt;
};

// Settings of a crash monitor.
struct crash_monitor_options {
    std::chrono::milliseconds connectTimeout { 400 }; // Far above a round trip between failure domains.
    asio::ip::address_v4 source; // Of connections; unspecified: the system chooses.
    std::chrono::milliseconds checkDelay { 100 }; // A crashed process's port closes by then.
    std::chrono::milliseconds registrationDelay { 5'000 }; // Until a restart is known here.
    std::size_t maxUnexplainedEnds = 1'000;
    placement::crash_quarantine_options quarantine;
    std::chrono::milliseconds shortestAbsence { 1'000 }; // Four of the forwarder's sweeps.
};

class crash_monitor {
public:
    // `balancer` and `counters` must outlive the monitor.
    crash_monitor(asio::io_context& io, const placement::load_balancer& balancer, traffic_counters& counters,
        const crash_monitor_options& options = {});

    // Sets what asks the peers for all of their records. It returns whether there are any peers.
    void setRecordRequester(std::function<bool()> requestRecords)
    {
        m_requestRecords = std::move(requestRecords);
    }

    // Sets what tells whether connects may fail because of this VM's own links.
    void setLinkCheck(std::function<bool()> mayBeCutOff) { m_mayBeCutOff = std::move(mayBeCutOff); }

    // Sets what stores the records of one request, all of them, outside of the fleet.
    void setArchiver(std::function<void(std::vector<placement::crash_record>)> archive)
    {
        m_archive = std::move(archive);
    }

    // Sets what sends this VM's records to its peers.
    void setReporter(std::function<void(const placement::crash_record&)> report)
    {
        m_report = std::move(report);
    }

    // Finds out, a little later, whether the upstream of the attempt has crashed. Records nothing if
    // `hasSucceeded` then tells that the request has succeeded at another upstream.
    void examine(unexplained_end ended, std::function<bool()> hasSucceeded);

    // Records the crashes of upstreams that accepted connections again before they were checked. Call when
    // the registrations have changed.
    void recordCrashesOfRestarted();

    // Clears a request of the crashes that it is suspected of.
    void recordSuccess(const std::string& request, std::uint64_t fingerprint);

    // Records that a quarantined request has arrived again.
    void recordArrival(std::uint64_t fingerprint, steady_clock::time_point now);

    // Merges a record of a peer or of the archive.
    void applyRecord(const placement::crash_record& record);

    // Records that this VM runs. Call a few times a second, and before a request is sent. After an absence it
    // asks the peers for their records.
    void noteRunning();

    // Marks a VM that has just started: it does not know what its peers and the archive know.
    void noteStart() { m_isUpToDate = false; }

    // Makes requests wait for the peers' records if this VM is not up to date. Call once it can route.
    void catchUpAfterStart();

    // Returns whether requests must wait, because the peers may know of crashes that this VM does not.
    bool isCatchingUp(steady_clock::time_point now) const { return m_catchUp.isPending(now); }

    // Records that a peer or the archive has sent all of its records.
    void completeCatchUp(std::string_view source);

    // Returns the records for a peer that asks for all, the most important ones if there are more than
    // `maxRecords`; std::nullopt while this VM is catching up itself.
    std::optional<std::vector<placement::crash_record>> recordsForPeer(std::size_t maxRecords);

    bool isQuarantined(std::uint64_t fingerprint, steady_clock::time_point now) const
    {
        return m_quarantine.isQuarantined(fingerprint, now);
    }

    // Sets what chooses the one VM of the fleet that may probe a request of a service.
    void setProberElection(
        std::function<bool(std::uint64_t fingerprint, const std::string& service)> isProber)
    {
        m_isProber = std::move(isProber);
    }

    // Returns whether this VM may send a quarantined request once; see crash_quarantine::tryStartProbe().
    bool tryStartProbe(std::uint64_t fingerprint, const std::string& service, steady_clock::time_point now)
    {
        return m_isProber(fingerprint, service) && m_quarantine.tryStartProbe(fingerprint, now);
    }

    int crashesOf(std::uint64_t fingerprint, steady_clock::time_point now) const
    {
        return m_quarantine.crashesOf(fingerprint, now);
    }

    placement::crash_quarantine& quarantine() { return m_quarantine; }

private:
    // An attempt that ended although its upstream's address accepts connections.
    struct pending_end {
        unexplained_end ended;
        deadline forgetAt;
    };

    void beginCatchUp();
    bool hasRestarted(const unexplained_end& ended) const;
    void recordCrash(const unexplained_end& ended);
    void logQuarantine(std::uint64_t fingerprint, steady_clock::time_point now);
    void report(const placement::crash_record& record);
    void archive(std::uint64_t fingerprint);
    void clearByEarlierSuccess(std::uint64_t fingerprint, const std::string& upstream);

    asio::io_context& m_io;
    std::function<bool()> m_mayBeCutOff = [] { return false; };
    const placement::load_balancer& m_loadBalancer;
    traffic_counters& m_counters;
    const crash_monitor_options m_options;
    std::function<void(const placement::crash_record&)> m_report;
    placement::crash_quarantine m_quarantine;
    std::deque<pending_end> m_pendingEnds; // Oldest first.
    absence_detector m_absenceDetector;
    placement::record_catch_up m_catchUp;
    bool m_isUpToDate = true; // No absence, or a catch-up has ended since.
    bool m_isAskingPeers = false;
    std::function<bool()> m_requestRecords;
    std::function<bool(std::uint64_t, const std::string&)> m_isProber
        = [](auto, const auto&) { return true; };
    std::function<void(std::vector<placement::crash_record>)> m_archive;
};

}
