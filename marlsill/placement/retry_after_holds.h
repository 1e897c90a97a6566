#pragma once

// Keeps this VM from upstreams that turned a request away with 503 and Retry-After, until the time that they
// stated.
//
//     retry_after_holds holds;
//     if (auto delay = parseRetryAfter(response.get("Retry-After"), reason))
//         holds.hold(upstream.id, { upstream.startedUnixMs, unixMsNow, *delay }, fraction, now);
//     ...
//     if (holds.isHeld(upstream, now))
//         continue; // Not a candidate, neither for a request nor for a probe.
//
// Answers the load of upstreams that want nothing from a VM for seconds, some of them or all at once. Each
// request that they are sent meanwhile is turned away, and takes a round trip and a part of the retry budget
// that others need. When their time ends, the VMs that were turned away together return one after the other,
// and each with few requests at first. A hold binds this VM only. Performs no I/O. Not thread safe.

#include "marlsill/base/reason.h"
#include "marlsill/base/time.h"
#include "marlsill/placement/upstream_entry.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace marlsill::placement {

// Longest time that an upstream can keep this VM away. Bounds the arithmetic, and what a value in the wrong
// unit costs; an upstream that means a longer time states it again after one more request.
constexpr std::chrono::milliseconds maxRetryAfterHold = std::chrono::hours(1);

// Parses the value of a Retry-After field: seconds as RFC 9110 has them, or with a fraction, rounded up to
// milliseconds and capped at `maxRetryAfterHold`. Returns std::nullopt and the reason for anything else: a
// sign, an exponent, surplus characters, and also a date, as it would need a clock that agrees with the
// upstream's.
std::optional<std::chrono::milliseconds> parseRetryAfter(std::string_view text, reason& why);

// A time for which an upstream wants no requests, as an answer stated it.
struct turn_away {
    std::int64_t startedUnixMs = 0; // Start of the upstream as it was registered when the request was sent.
    std::int64_t statedUnixMs = 0; // Arrival of the answer, in the same clock.
    std::chrono::milliseconds delay {};
};

// Settings of the holds.
struct retry_after_holds_options {
    // A hold is prolonged by a random part of this, or of a quarter of its length if that is shorter, so that
    // VMs that were turned away at the same moment do not return at the same moment.
    std::chrono::milliseconds maxStagger { 250 };
    // After a hold the requests in flight from this VM may rise from one to all slots within this time. Above
    // the time that peers take to learn each other's load.
    std::chrono::milliseconds rampUp { 500 };
};

// The upstreams that this VM must leave alone; see the file comment. An upstream is known by its identifier
// and its start: a hold ends when the upstream starts anew, and else outlives its registration. The
// registration of a start may arrive after answers of that start, whose holds stay in force.
class retry_after_holds {
public:
    explicit retry_after_holds(retry_after_holds_options options = {})
        : m_options(options)
    {
    }

    // Holds requests to an upstream back for a time that an answer stated, which has just arrived. `fraction`
    // is random (0 to 1). A time that ends before the one in force changes nothing. Returns the end if the
    // hold is new, or ends later than before by more than the stagger.
    std::optional<deadline> hold(
        std::string_view upstream, const turn_away& stated, double fraction, steady_clock::time_point now);

    // Returns when the hold of an upstream ends; std::nullopt if there is none in force.
    std::optional<deadline> heldUntil(const upstream_entry& upstream, steady_clock::time_point now) const;

    bool isHeld(const upstream_entry& upstream, steady_clock::time_point now) const
    {
        return heldUntil(upstream, now).has_value();
    }

    // Returns how many requests of this VM may be in flight at an upstream that is not held; std::nullopt if
    // no hold has ended recently.
    std::optional<int> maxInFlight(const upstream_entry& upstream, steady_clock::time_point now) const;

    // Returns how many holds are kept, those included that ended recently.
    std::size_t size() const { return m_holds.size(); }

private:
    struct entry {
        std::int64_t startedUnixMs = 0;
        std::int64_t statedUnixMs = 0; // Of the latest statement.
        deadline until {};
    };

    const entry* find(const upstream_entry& upstream) const;
    void removeExpired(steady_clock::time_point now);

    static constexpr std::size_t minSizeToPrune = 64;

    const retry_after_holds_options m_options;
    std::map<std::string, entry, std::less<>> m_holds; // By identifier.
    std::size_t m_pruneAtSize = minSizeToPrune; // So that pruning costs a constant time per hold.
};

}
