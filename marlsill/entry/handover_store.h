#pragma once

// Stores the outcomes of idempotency keys that stopped VMs have handed over to this one.
//
//     store.add(handover);
//     if (auto known = store.answer(incarnation, question))
//         reply(*known);

#include "marlsill/entry/key_resolution.h"
#include "marlsill/peer/messages.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace marlsill::entry {

// Converts the answer about a key to its wire format and back. A response whose body exceeds `maxBodyBytes`
// is dropped, so the receiver treats it as not kept.
peer::key_lookup_reply toMessage(const key_answer& known, std::size_t maxBodyBytes);
key_answer fromMessage(const peer::key_lookup_reply& received);

// Options of a handover_store.
struct handover_options {
    std::size_t maxKeys = 400'000; // Over all VMs; the oldest handovers are evicted first.
};

// Handed-over key outcomes by incarnation. Thread safe.
class handover_store {
public:
    explicit handover_store(handover_options options = {});

    // Adds one part of a handover.
    void add(const peer::key_handover& part);

    // Answers a question about a key of `incarnation`. Returns std::nullopt if that incarnation has handed
    // nothing over. After a complete handover, a missing key is answered as cancelled: it was never
    // dispatched and never will be.
    std::optional<key_answer> answer(const std::string& incarnation, const key_question& question) const;

    // Returns all stored outcomes in parts of at most `partSize` keys, to hand them over to another VM.
    std::vector<peer::key_handover> parts(std::size_t partSize) const;

private:
    struct incarnation_handover {
        std::map<std::string, peer::handed_over_key> keys;
        bool isComplete = false;
        std::uint64_t sequence = 0; // Order of arrival.
    };

    void evictOldest();

    const handover_options m_options;
    mutable std::mutex m_mutex; // Guards everything below.
    std::map<std::string, incarnation_handover> m_byIncarnation;
    std::size_t m_keyCount = 0;
    std::uint64_t m_nextSequence = 0;
};

// Splits the settled keys of a closed ledger into parts of at most `partSize` keys. The last part completes
// the handover.
std::vector<peer::key_handover> toParts(
    const std::string& incarnation, const std::vector<dedup::settled_key>& keys, std::size_t partSize);

}
