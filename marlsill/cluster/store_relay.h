#pragma once

// Spreads what the store says through the fleet, so that a few VMs watch it for all.
//
//     store_relay knowledge(mesh.members(), options, actions);
//     knowledge.noteStoreContact(now);
//     knowledge.setUpstreams(entries, storeVersion);
//     knowledge.tick(now); // Sends beacons as a watcher; else decides whether to watch by itself.
//
// In each failure domain the VM with the highest score watches the store, two where there is one domain
// only. Watchers tell each other and their domain what changes, and send beacons. A VM without a fresh beacon
// watches by itself until it has one again. Nothing goes back: older versions are ignored, and an entry that
// is only doubtful is kept by those who use it but not taken up by others. Used by one event loop.

#include "marlsill/cluster/peer_message.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marlsill::cluster {

// Settings of the exchange.
struct store_relay_options {
    std::size_t minWatchers = 2; // In the fleet; the path of one to the store may be cut silently.
    std::chrono::milliseconds electionWait { 500 }; // After the start, to hear of the other VMs.
    std::chrono::milliseconds startWait { 1'500 }; // After the start, to hear a beacon before watching alone.
    std::chrono::milliseconds beaconInterval { 250 };
    std::chrono::milliseconds patience { 700 }; // Two beacons may be lost; news must be in force within 2 s.
    std::chrono::milliseconds behindLimit { 1'000 }; // For the answers to questions; two may be lost.
    std::chrono::milliseconds questionPause { 350 }; // Between two questions for what is missing.
    std::chrono::milliseconds maxContactAge { 1'400 }; // One watch of a second, and its answer.
    std::chrono::milliseconds settleTime { 2'000 }; // Of fresh beacons, before an own watch ends.
    std::size_t entriesPerDatagram = 10; // About a kilobyte.
    std::size_t maxConfigurationBytes
        = 200 * 1024; // About 40 KB compressed; larger ones are read from the store.
};

// What the exchange does through others.
struct store_relay_actions {
    std::function<void(const std::string& host, peer_message)> send;
    // Starts to watch the store from the upstreams that are known, or ends it.
    std::function<void(bool isWatching, const std::vector<placement::upstream_entry>& known)> watchStore;
    std::function<void(const std::string& text, std::uint64_t version)> onConfiguration;
    std::function<void(const std::vector<placement::upstream_entry>&)> onUpstreams;
};

class store_relay {
public:
    store_relay(const member_list& members, store_relay_options options, store_relay_actions actions,
        steady_clock::time_point now);

    // Notes an answer of the store to this VM.
    void noteStoreContact(steady_clock::time_point now) { m_contactAt = now; }

    // Sets what this VM has read from the store, puts it to use, and tells the others.
    void setConfiguration(std::string text, std::uint64_t version);
    void setUpstreams(std::vector<placement::upstream_entry> entries, std::uint64_t storeVersion);

    // Takes the parts of a peer's message that concern knowledge.
    void handleMessage(const peer_message& message, steady_clock::time_point now);

    // Does what is due. Call about as often as beacons go out.
    void tick(steady_clock::time_point now);

    bool isWatching() const { return m_isWatching; }
    std::uint64_t storeVersion() const { return m_storeVersion; }

private:
    bool isElected() const;
    bool isElected(const member& candidate, const std::vector<member>& records) const;
    std::vector<std::string> audience() const;
    steady_clock::time_point contactAt() const { return std::max(m_contactAt, m_relayedContactAt); }
    void use(std::vector<placement::upstream_entry> entries, std::uint64_t digest);
    knowledge_stamp stamp(steady_clock::time_point now) const;
    void takeStamp(const peer_message& message, steady_clock::time_point now);
    void takeUpstreams(const peer_message& message, steady_clock::time_point now);
    void sendConfiguration(const std::string& host);
    void sendUpstreams(const std::string& host, steady_clock::time_point now);
    void announceConfiguration();
    void closeStep(peer_message& message, const std::map<std::string, placement::upstream_entry>& reached,
        std::uint64_t& digestBefore) const;
    void announceChange(const std::vector<placement::upstream_entry>& before, std::uint64_t digestBefore);
    void setWatching(bool isWatching);

    const member_list& m_members;
    const store_relay_options m_options;
    const store_relay_actions m_actions;
    const steady_clock::time_point m_startedAt;
    std::string m_configuration;
    std::uint64_t m_configurationVersion = 0;
    std::vector<placement::upstream_entry> m_upstreams; // As the store's reader has them.
    std::set<std::string> m_used; // Of these, the ones in use here.
    std::uint64_t m_upstreamDigest = 0;
    std::uint64_t m_storeVersion = 0; // Of the list of upstreams.
    steady_clock::time_point m_contactAt {};
    steady_clock::time_point m_relayedContactAt {}; // Of another watcher.
    steady_clock::time_point m_freshBeaconAt {};
    steady_clock::time_point m_freshSince {};
    std::optional<steady_clock::time_point> m_behindSince; // A watcher knows more than this VM.
    deadline m_nextQuestion {};
    std::map<std::string, placement::upstream_entry> m_partial; // Of a list that is still arriving.
    std::uint64_t m_partialDigest = 0;
    bool m_isWatching = false;
};

// Returns a number that is the same for equal lists, almost surely.
std::uint64_t digestOf(const std::vector<placement::upstream_entry>& entries);

}
