#pragma once

// Quarantines requests that crash the upstreams that run them, so that each crashes at most two upstreams.
//
//     auto decision = list.admit(fingerprint);
//     if (decision == quarantine_decision::quarantined)
//         return notRun();
//
// Requests are identified by a fingerprint of method, target, body and client account. After the first crash
// the request is suspected: the VM that saw the crash notifies the other VMs before it does anything else,
// and from then on only that VM may send the request, one probe at a time. A second crash on another
// upstream, or during a probe, quarantines the request on every VM. VMs tell each other which upstream
// crashed, as several of them may see the same crash.

#include "marlsill/base/time.h"
#include "marlsill/http/message_reader.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace marlsill::entry {

// Hash of a request's method, target and body; equal for identical requests.
using request_fingerprint = std::uint64_t;

// Computes the fingerprint of a request.
request_fingerprint fingerprintOf(const http::request_message& request);

// Computes the fingerprint by which the quarantine knows a request: it covers the client account too, if the
// request names one, as a request may crash upstreams by the data of its account.
request_fingerprint quarantineFingerprintOf(const http::request_message& request);

// What is known about a fingerprint. The numeric values are sent to peers.
enum class suspicion_level {
    suspectedLocally, // An upstream crashed while it ran the request for this VM.
    suspectedRemotely, // Another VM reported such a crash.
    quarantined,
    cleared, // A probe got a response; only sent in notices.
};

// Result of quarantine_list::admit().
enum class quarantine_decision {
    allowed,
    probe, // May be sent, but only once at a time; the caller must call endProbe() afterwards.
    suspected, // Must not be sent now, but may be retried later.
    quarantined, // Must not be sent; retrying does not help.
};

// A change of a fingerprint's suspicion level, as VMs exchange it.
struct suspicion_notice {
    request_fingerprint fingerprint = 0;
    suspicion_level level = suspicion_level::suspectedRemotely;
    std::string service; // Its serving set is notified first; may be empty.
    std::string reporter; // Incarnation that saw the crash; empty for this VM.
    std::string upstream; // That crashed; empty if an earlier version reports it.
};

// Sends a notice to the other VMs. Returns once they have acknowledged it or the time to wait for that is
// over. Must be callable from any thread.
using announce_function = std::function<void(const suspicion_notice&)>;

// Options of a quarantine_list.
struct quarantine_options {
    std::size_t maxEntries = 10'000;
    std::chrono::milliseconds suspicionDuration { std::chrono::minutes(10) };
};

// The suspected and quarantined requests known to this VM. Thread safe.
class quarantine_list {
public:
    explicit quarantine_list(quarantine_options options = {});

    // Sets the function that notifies the other VMs. Must be called before the first request.
    void setAnnounceFunction(announce_function announce) { m_announce = std::move(announce); }

    // Sets this VM's incarnation. Of two VMs that saw the same crash, the one with the lower incarnation may
    // probe. Must be called before the first request.
    void setIncarnation(std::string incarnation) { m_incarnation = std::move(incarnation); }

    // Decides whether a request may be sent to an upstream now.
    quarantine_decision admit(request_fingerprint fingerprint);

    // Reports that `upstream` closed the connection while it ran the request, which counts as a crash. A
    // crash during a probe always counts as the second one. Otherwise crashes on the same upstream count
    // once, as identical requests may have been in flight there together. Returns after the other VMs were
    // notified.
    void reportCrash(request_fingerprint fingerprint, const std::string& service, const std::string& upstream,
        bool isProbe);

    // Ends a probe. If the upstream sent a response, the fingerprint is cleared on every VM.
    void endProbe(request_fingerprint fingerprint, bool receivedResponse);

    // Applies a notice from another VM. A crash of another upstream than the known one counts as the second
    // crash, whoever reports it. Returns whether the list changed.
    bool applyNotice(const suspicion_notice& notice);

    // Returns all quarantined fingerprints, to be sent to VMs that connect.
    std::vector<suspicion_notice> quarantined() const;

private:
    struct entry {
        suspicion_level level = suspicion_level::suspectedLocally;
        std::string service;
        std::string reporter; // Empty for this VM.
        std::string firstUpstream; // Or the reporter, if that does not name the upstream.
        bool isProbing = false; // A probe is in flight.
        deadline suspectedUntil;
    };

    void announce(const suspicion_notice& notice) const;
    void evictIfFull();

    const quarantine_options m_options;
    announce_function m_announce;
    std::string m_incarnation;
    mutable std::mutex m_mutex; // Guards m_entries.
    std::map<request_fingerprint, entry> m_entries;
};

}
