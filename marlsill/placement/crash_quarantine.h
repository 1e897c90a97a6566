#pragma once

// Quarantines requests that crash upstreams, so that they are not sent to further ones.
//
//     if (quarantine.isQuarantined(fingerprint, now))
//         return refuse();
//     if (auto record = quarantine.recordCrash(fingerprint, upstream, startedAt, now))
//         sendToPeers(*record);
//
// What VMs exchange is two counters per request and upstream, each merged by maximum: the crashes, and those
// of them that a success of the request has shown to be a coincidence. The sum of the differences is
// therefore the same on all VMs that have the same records, whichever VM saw which crash, and however often
// or in which order the records arrive. A request that succeeds is cleared of its crashes so far; one that
// succeeded shortly before is cleared of one, as popular requests are at work wherever an upstream crashes.
// The fingerprint covers what copies of a request have in common as upstreams receive it. Not thread safe.

#include "marlsill/placement/recent_successes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marlsill::placement {

// Settings of the quarantine.
struct crash_quarantine_options {
    int maxCrashes = 2; // One may be a coincidence, and a third upstream must not crash.
    // Since the last crash, or the last arrival while quarantined; longer than callers wait between retries.
    std::chrono::milliseconds retention { 600'000 };
    std::size_t maxEntries = 10'000;
    // From the crash that began the quarantine until the request may be sent once more, to find out whether
    // it was at work there by chance. Longer than most callers of a crashing request repeat it.
    std::chrono::milliseconds probeDelay { 15'000 };
    int probeDelayGrowth = 4; // Factor for each further crash; four probes in the first hour.
};

// How often a request has crashed one upstream, as VMs report it to each other.
struct crash_record {
    std::uint64_t fingerprint = 0; // Of the request.
    std::string upstream;
    int crashes = 0;
    int cleared = 0; // Those of `crashes` that the request did not cause.
    deadline expiresAt; // When the request is forgotten unless something more is recorded.
};

// See the file comment.
class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_options options = {})
        : m_options(options)
    {
    }

    // Records that `upstream` crashed while it executed the request in an attempt that began at `startedAt`.
    // Attempts that had begun when a crash of the upstream was recorded ended with that crash, and do not
    // count again. Returns the record to send to the peers, or std::nullopt if the crash was known.
    std::optional<crash_record> recordCrash(std::uint64_t fingerprint, const std::string& upstream,
        steady_clock::time_point startedAt, steady_clock::time_point now);

    // Records that an upstream completed the request, which therefore caused none of its crashes so far.
    // Returns the changed records to send to the peers.
    std::vector<crash_record> recordSuccess(std::uint64_t fingerprint, steady_clock::time_point now);

    // Clears a request of one crash of `upstream` if it has succeeded here since its last crash and not long
    // ago: then it was likely at work there by chance. The success is forgotten, so that a request that has
    // begun to crash upstreams is excused once. Returns the record to send to the peers. Call when a crash
    // was recorded or merged.
    std::optional<crash_record> clearByEarlierSuccess(
        std::uint64_t fingerprint, const std::string& upstream, steady_clock::time_point now);

    // Keeps a quarantined request that has arrived again for a further retention. Returns the records to send
    // to the peers, so that they keep it too; none if they were told within the last quarter of a retention.
    std::vector<crash_record> recordArrival(std::uint64_t fingerprint, steady_clock::time_point now);

    // Returns whether a quarantined request may be sent once although it is quarantined. If so, the next time
    // is another delay away, unless a success clears the request. Only one VM may call this for a request.
    bool tryStartProbe(std::uint64_t fingerprint, steady_clock::time_point now);

    // Merges a peer's record. Returns whether it changed anything.
    bool merge(const crash_record& record, steady_clock::time_point now);

    // Returns how many crashes the request may have caused, as far as known.
    int crashesOf(std::uint64_t fingerprint, steady_clock::time_point now) const;

    // Returns all records of one request.
    std::vector<crash_record> recordsOf(std::uint64_t fingerprint) const;

    // Returns a digest of all records, equal on two VMs that have the same ones and, with high probability,
    // only then; 0 if there are none.
    std::uint64_t digest(steady_clock::time_point now);

    // Returns the records of some requests, other ones with each call until all have had their turn. Stops
    // after the request whose records reach `maxRecords`.
    std::vector<crash_record> nextRecords(std::size_t maxRecords, steady_clock::time_point now);

    // Returns up to `maxRecords` records, those of quarantined requests first.
    std::vector<crash_record> mostImportantRecords(std::size_t maxRecords, steady_clock::time_point now);

    // Returns whether the request must not be sent to any upstream.
    bool isQuarantined(std::uint64_t fingerprint, steady_clock::time_point now) const;

private:
    struct upstream_crashes {
        int count = 0;
        int cleared = 0; // Never above `count`.
        steady_clock::time_point recordedAt {}; // Of the last one, on this VM.
    };

    struct entry {
        std::map<std::string, upstream_crashes> upstreams;
        deadline expiresAt {};
        steady_clock::time_point
            lastCrashOrProbe {}; // The last crash that this VM has learnt of, or its probe.
        deadline reportedExpiry {}; // The latest `expiresAt` that this VM and its peers have told each other.

        int crashes() const;
        std::vector<crash_record> records(std::uint64_t fingerprint) const;
    };

    void forgetExpired(steady_clock::time_point now);
    entry& findOrCreate(std::uint64_t fingerprint, steady_clock::time_point now);
    std::pair<bool, deadline> importanceOf(const entry& each) const;
    void evictLeastImportant();

    const crash_quarantine_options m_options;
    std::map<std::uint64_t, entry> m_entries;
    recent_successes m_successes; // Of requests that no VM has used to clear a crash since.
    std::optional<std::uint64_t> m_digest; // Of `m_entries`; unset after a change.
    std::uint64_t m_lastReturned = 0; // Fingerprint up to which nextRecords() has come.
};

}
