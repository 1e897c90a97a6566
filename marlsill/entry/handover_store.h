#pragma once

// The outcomes of keys that stopped VMs have handed over to this one.
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

// Returns the form of a key's answer on the wire, and back. An answer above `maxBodyBytes` loses its body and
// with it is told as one that was not kept.
peer::key_lookup_reply toMessage(const key_answer& known, std::size_t maxBodyBytes);
key_answer fromMessage(const peer::key_lookup_reply& received);

// Options of a store.
struct handover_options {
    std::size_t maxKeys = 400'000; // Of all VMs together; the eldest handovers are dropped first.
};

// Thread safe.
class handover_store {
public:
    explicit handover_store(handover_options options = {});

    // Takes in a part of a handover.
    void add(const peer::key_handover& part);

    // Answers a question about a key of `incarnation`, or returns std::nullopt if nothing was handed over
    // from there. After a complete handover, a key that is not among the outcomes was never dispatched and
    // never will be.
    std::optional<key_answer> answer(const std::string& incarnation, const key_question& question) const;

    // Returns everything held, in parts of at most `partSize` keys, to be handed on.
    std::vector<peer::key_handover> parts(std::size_t partSize) const;

private:
    struct handed_over {
        std::map<std::string, peer::handed_over_key> keys;
        bool isComplete = false;
        std::uint64_t order = 0;
    };

    void makeRoom();

    const handover_options m_options;
    mutable std::mutex m_mutex; // Guards everything below.
    std::map<std::string, handed_over> m_byIncarnation;
    std::size_t m_keys = 0;
    std::uint64_t m_nextOrder = 0;
};

// Returns the settled keys of a closed ledger in parts of at most `partSize` keys; the last part ends the
// handover.
std::vector<peer::key_handover> toParts(
    const std::string& incarnation, const std::vector<dedup::settled_key>& keys, std::size_t partSize);

}
