#pragma once

// The facts that one daemon incarnation records, in chained segments of bounded memory.
//
//     fact_log log(incarnation, "key of the fleet");
//     log.add(fact { .kind = fact_kind::inForce, .generation = 17 }, wall_clock::now());
//     if (auto segment = log.seal())
//         store(segment->name, segment->text);
//
// A segment holds its number, the tag of the segment before it, its facts, and an HMAC over all of that, so
// that a changed, removed, reordered or forged segment is recognized. What has to be dropped for want of
// memory leaves a fact that says so.

#include "marlsill/base/time.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::record {

// What a fact is about. The fields that each kind uses are those named behind it.
enum class fact_kind : int {
    started, // name
    closed, // The record of this incarnation ends here by a planned stop.
    gap, // count: facts that were dropped.
    accepted, // generation, operation
    inForce, // generation
    inForceEverywhere, // generation
    outcome, // service, key (hash), told, why
    ejected, // service, upstream, until, count (floor), capacity, why (evidence)
    quarantined, // service, key (fingerprint)
    serviceLevel, // service, upstream, count (requests), bad, slow, why (cause of the bad ones)
};

// One upstream in the capacity of an ejection.
struct recorded_capacity {
    std::string upstream;
    std::int64_t slots = 0;
    bool counts = true; // Neither leaving nor suspect.
};

// One fact. Unused fields stay empty.
struct fact {
    fact_kind kind = fact_kind::started;
    std::int64_t at = 0; // Unix milliseconds.
    std::string name;
    std::string service;
    std::string upstream;
    std::string key;
    std::string told;
    std::string why;
    std::string operation;
    std::int64_t generation = 0;
    std::int64_t count = 0;
    std::int64_t bad = 0;
    std::int64_t slow = 0;
    std::int64_t until = 0; // Unix milliseconds.
    std::vector<recorded_capacity> capacity;
};

// One sealed segment as it is stored.
struct sealed_segment {
    std::string name; // Of its object.
    std::string text;
};

// Options of a log.
struct fact_log_options {
    std::size_t maxFacts = 20'000; // In memory, not yet sealed.
    std::size_t factsPerSegment = 4'000;
};

// Thread safe.
class fact_log {
public:
    fact_log(std::string incarnation, std::string key, fact_log_options options = {});

    // Records a fact that happened at `now`.
    void add(fact happened, wall_deadline now);

    // Seals the facts so far, or some of them, into a segment. Returns std::nullopt when there are none. A
    // segment must be stored, or offered again by unseal(), before the next one is sealed.
    std::optional<sealed_segment> seal();

    // Gives a segment back that could not be stored; its facts go into the next one.
    void unseal();

private:
    const std::string m_incarnation;
    const std::string m_key;
    const fact_log_options m_options;
    std::mutex m_mutex; // Guards everything below.
    std::deque<fact> m_facts;
    std::vector<fact> m_sealed;
    std::string m_previousTag;
    std::string m_sealedPreviousTag;
    std::int64_t m_nextNumber = 0;
    std::int64_t m_dropped = 0;
};

}
