#pragma once

// Disseminates configuration generations between entry VMs and finds out when one is in force on all of them.
//
//     config_driver configuration(ownIncarnation, callbacks);
//     configuration.applied(generation);
//     configuration.observePeerGeneration(from.peerAddress, announcement.generation);
//     configuration.tick(present, now);
//
// A VM announces each generation that it applies, and peers that have an older one fetch it. Confirmations
// are aggregated up the confirmation tree: each VM reports the lowest generation in its subtree to its
// parent, and the root broadcasts the lowest one of the whole tree. The root also repeats it down the tree,
// as VMs may have joined since.

#include "marlsill/base/time.h"
#include "marlsill/membership/overlay.h"
#include "marlsill/peer/messages.h"
#include "marlsill/peer/session.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace marlsill::control {

// The driver's callbacks, called on the control thread.
struct config_callbacks {
    std::function<void(const std::string& peerAddress, peer::message)> send;
    std::function<void(const peer::message& body, const std::string& exceptAddress)> broadcast;
    // Fetches a generation from a peer, on another thread.
    std::function<void(const std::string& peerAddress, std::int64_t generation)> fetch;
};

// The configuration dissemination of one entry VM. Not thread safe; the control thread owns it.
class config_driver {
public:
    config_driver(std::string ownIncarnation, config_callbacks callbacks)
        : m_ownIncarnation(std::move(ownIncarnation))
        , m_callbacks(std::move(callbacks))
    {
    }

    // Announces a newly applied generation to the neighbours; older ones are ignored.
    void applied(std::int64_t generation);

    // Handles the generation of a peer, from an announcement or a digest: fetches it if it is newer than this
    // VM's.
    void observePeerGeneration(const std::string& peerAddress, std::int64_t generation);

    // Stores a peer's confirmation. It counts only if the peer is a child of this VM in the confirmation
    // tree.
    void receive(const peer::session_identity& from, const peer::config_confirmation& confirmation);

    // Stores the generation that the root found in force everywhere. Forwards it to all neighbours if it is
    // newer, and to the children in any case if it comes from the parent.
    void receive(const peer::session_identity& from, const peer::config_confirmed& confirmed);

    // Reports the lowest generation of the subtree to the parent, or broadcasts it on the root. `present` is
    // ordered by incarnation.
    void tick(std::span<const membership::member_record> present, steady_clock::time_point now);

    // Returns the newest generation that this VM has applied.
    std::int64_t generation() const { return m_generation; }

    // Returns the newest generation known to be confirmed by every VM.
    std::int64_t inForceEverywhere() const { return m_confirmedGeneration; }

private:
    // Returns the lowest generation confirmed by this VM and its children; 0 if a child has not confirmed
    // any.
    std::int64_t lowestGenerationInSubtree(std::span<const membership::member_record> present);
    void sendToChildren(const peer::config_confirmed& confirmed);

    const std::string m_ownIncarnation;
    const config_callbacks m_callbacks;
    std::int64_t m_generation = 0;
    std::int64_t m_confirmedGeneration = 0;
    std::map<std::string, std::int64_t> m_childGenerations; // Last confirmed, by the child's incarnation.
    std::vector<std::string> m_childAddresses;
    std::string m_parentIncarnation; // Empty on the root.
    std::int64_t m_lastReportedGeneration = -1;
    std::string m_lastReportedParent;
    deadline m_nextReportAt;
};

}
