#pragma once

// Keeps to the limits, in requests per second from all VMs together, that upstreams name in their responses.
//
// One VM of the fleet, elected per upstream, issues permits at the rate of the limit; every request to a
// limited upstream needs one. A VM asks for a permit when it would prefer the upstream to its others, and
// uses it for this request or the next one. A permit may begin a little later, as soon as the limit allows:
// then it is reserved, so that a VM that waits for it does not compete with others again.
//
//     rate_limits limits; // On each VM.
//     limits.recordResponse("u1", 2.5, startedAt, now);
//     if (!limits.hasPermit("u1", now) && limits.shouldRequest("u1", now))
//         ask the elected VM; // limits.noteRequested("u1", now)
//     ...
//     limits.grant("u1", now + answer.delay);
//     limits.consume("u1", now); // As the request is sent.
//
//     permit_issuer issuer; // On the elected VM.
//     auto answer = issuer.request("u1", 2.5, maxDelay, now);
//
// Even shares of a limit would not do: a limit may be below one request per VM in many seconds. Not thread
// safe.

#include "marlsill/base/time.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace marlsill::placement {

// The limit that an upstream named, as VMs report it to each other.
struct rate_limit_notice {
    std::string upstream;
    std::optional<double> requestsPerSecond; // std::nullopt: it names none any more.
    steady_clock::time_point observedAt; // When a response named it, or named none.
};

// Settings of a VM's limits.
struct rate_limit_options {
    // Bounds how many requests may come at once after their permits were issued one by one, and how much of a
    // limit is lost with permits that are not used.
    std::chrono::milliseconds permitLifetime { 700 };
    std::chrono::milliseconds requestTimeout { 60 }; // Above the round trip between regions; then it is lost.
};

// What one VM knows of limits, and the permits that it holds.
class rate_limits {
public:
    explicit rate_limits(rate_limit_options options = {})
        : m_options(options)
    {
    }

    // Records the limit in the response to an attempt that began at `startedAt`. A response without a limit
    // ends the known one only if the attempt began after that was named last, because responses overtake each
    // other. Returns a notice for the peers if the limit has changed.
    std::optional<rate_limit_notice> recordResponse(std::string_view upstream,
        std::optional<double> requestsPerSecond, steady_clock::time_point startedAt,
        steady_clock::time_point now);

    // Applies a peer's notice unless this VM knows a later one.
    void merge(const rate_limit_notice& notice);

    // Returns what is known of an upstream's limit, to report it; std::nullopt if it never named one.
    std::optional<rate_limit_notice> noticeOf(std::string_view upstream) const;

    std::optional<double> limitOf(std::string_view upstream) const;

    // Returns whether a request may be sent: the upstream has no limit, or this VM holds a permit.
    bool hasPermit(std::string_view upstream, steady_clock::time_point now) const;

    // Returns whether to ask for a permit: none is held, reserved or asked for, and no refusal is in force.
    bool shouldRequest(std::string_view upstream, steady_clock::time_point now) const;

    // Returns whether a permit is reserved or asked for.
    bool isExpectingPermit(std::string_view upstream, steady_clock::time_point now) const;

    // Returns when a permit begins that is reserved, or when a refusal ends; `now` if there is neither.
    deadline nextChance(std::string_view upstream, steady_clock::time_point now) const;

    void noteRequested(std::string_view upstream, steady_clock::time_point now);
    void grant(std::string_view upstream, steady_clock::time_point beginsAt);
    void refuse(std::string_view upstream, deadline until);

    // Must be called when this VM has not run for a while, before anything else: drops the permits that it
    // holds, and the answers to earlier requests, which may have waited as long and must not begin now.
    void noteAbsence(steady_clock::time_point now);

    // Returns whether an answer that arrives now may be to a request from before an absence.
    bool ignoresAnswers(steady_clock::time_point now) const { return !hasPassed(m_answersFrom, now); }

    // Uses up the permit for a request that is sent.
    void consume(std::string_view upstream, steady_clock::time_point now);

    // Forgets upstreams for which `isRegistered` returns false.
    template <typename Predicate> void retain(Predicate isRegistered)
    {
        std::erase_if(m_upstreams, [&](const auto& each) { return !isRegistered(each.first); });
    }

private:
    struct upstream_limit {
        std::optional<double> requestsPerSecond;
        steady_clock::time_point observedAt {};
        steady_clock::time_point permitFrom {};
        deadline permitUntil {}; // When the permit ends; in the past if there is none.
        deadline requestUntil {}; // Until then an answer to the last request may come.
        deadline refusedUntil {};
    };

    const upstream_limit* find(std::string_view upstream) const;
    upstream_limit& findOrCreate(std::string_view upstream);

    const rate_limit_options m_options;
    deadline m_answersFrom {}; // Shortly after an absence.
    std::map<std::string, upstream_limit, std::less<>> m_upstreams; // Those that have ever named a limit.
};

// Settings of an issuer.
struct permit_issuer_options {
    double minRate
        = 0.1; // Permits per second at the least, because only responses tell that a limit has ended.
    std::chrono::milliseconds maxBurst { 250 }; // Of the limit, that may be issued at once.
};

// The answer to a request for a permit.
struct permit_answer {
    bool isGranted = false;
    std::chrono::milliseconds
        delay {}; // Until the permit begins; if refused, until the next one could begin.
};

// Issues permits, by one token bucket per upstream. A bucket starts empty, because another VM may have issued
// permits until then.
class permit_issuer {
public:
    explicit permit_issuer(permit_issuer_options options = {})
        : m_options(options)
    {
    }

    // Issues a permit that begins within `maxDelay`, or refuses it.
    permit_answer request(std::string_view upstream, double requestsPerSecond,
        std::chrono::milliseconds maxDelay, steady_clock::time_point now);

    // Forgets upstreams for which `isRegistered` returns false.
    template <typename Predicate> void retain(Predicate isRegistered)
    {
        std::erase_if(m_buckets, [&](const auto& each) { return !isRegistered(each.first); });
    }

private:
    struct token_bucket {
        double tokens = 0; // Negative while permits are reserved.
        steady_clock::time_point refilledAt {};
    };

    const permit_issuer_options m_options;
    std::map<std::string, token_bucket, std::less<>> m_buckets;
};

}
