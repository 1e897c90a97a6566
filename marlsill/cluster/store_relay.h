#pragma once

// Relays the store's configuration and upstream list to all VMs, so that only a few watch the store.
//
//     store_relay relay(mesh.members(), options, actions, now);
//     relay.noteStoreContact(now);
//     relay.setUpstreams(entries, storeVersion);
//     relay.tick(now); // Decides whether to watch the store; a watcher also sends beacons.
//
// In each failure domain the VM with the highest score is elected to watch the store, or two VMs if there is
// only one domain. Watchers send changes and beacons to each other and to the VMs of their domain. A VM
// without a fresh beacon watches the store itself until fresh beacons have returned. Data never goes back to
// an older version. An unconfirmed entry, which may only have lapsed in an outage, stays in use where it was
// in use, and other VMs don't start to use it. Not thread safe; used by one event loop.

#include "marlsill/cluster/peer_message.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marlsill::cluster {

// Settings of a relay.
struct store_relay_options {
    std::size_t minWatchers = 2; // In the fleet; one may silently lose its route to the store.
    std::chrono::milliseconds electionDelay { 500 }; // Until the first election, to learn of other VMs.
    // From the start until a VM that is not elected may watch the store because it has received no beacon.
    std::chrono::milliseconds startupGracePeriod { 1'500 };
    std::chrono::milliseconds beaconInterval { 250 };
    // Tolerates two lost beacons; changes must take effect within 2 s on all VMs.
    std::chrono::milliseconds beaconTimeout { 700 };
    // How long a VM may lag behind beacons before it watches the store itself; tolerates two lost answers.
    std::chrono::milliseconds catchUpTimeout { 1'000 };
    std::chrono::milliseconds requestInterval { 350 }; // Between requests for missing data.
    // Largest age of the store's last response at which a beacon is fresh: one watch of 1 s and its response.
    std::chrono::milliseconds maxContactAge { 1'400 };
    // How long beacons must have been fresh before a VM that is not elected stops watching.
    std::chrono::milliseconds stabilizationPeriod { 2'000 };
    std::size_t entriesPerDatagram = 10; // About 1 KB.
    // About 40 KB compressed; a larger configuration is not relayed, so that VMs read it from the store.
    std::size_t maxConfigurationBytes = 200 * 1024;
};

// Callbacks of a relay, all called from its event loop.
struct store_relay_actions {
    std::function<void(const std::string& host, peer_message)> send;
    // Starts to watch the store, from the upstreams that are in use, or stops watching it.
    std::function<void(bool isWatching, const std::vector<placement::upstream_entry>& known)> watchStore;
    // Called with each newer configuration and each changed list of upstreams to use.
    std::function<void(const std::string& text, std::uint64_t version)> onConfiguration;
    std::function<void(const std::vector<placement::upstream_entry>&)> onUpstreams;
};

class store_relay {
public:
    store_relay(const member_list& members, store_relay_options options, store_relay_actions actions,
        steady_clock::time_point now);

    // Records that the store has responded to this VM.
    void noteStoreContact(steady_clock::time_point now) { m_lastContact = now; }

    // Applies what this VM has read from the store, if it is new, and relays it if this VM is elected.
    void setConfiguration(std::string text, std::uint64_t version);
    void setUpstreams(std::vector<placement::upstream_entry> entries, std::uint64_t storeVersion);

    // Handles the parts of a peer's message that concern data of the store.
    void handleMessage(const peer_message& message, steady_clock::time_point now);

    // Starts or stops watching the store and sends beacons. Call once per `beaconInterval`.
    void tick(steady_clock::time_point now);

    bool isWatching() const { return m_isWatching; }
    std::uint64_t storeVersion() const { return m_storeVersion; }

private:
    bool isElected() const;
    bool isElected(const member& candidate, const std::vector<member>& records) const;
    std::vector<std::string> relayTargets() const;
    steady_clock::time_point lastContact() const { return std::max(m_lastContact, m_lastRelayedContact); }
    void applyUpstreams(std::vector<placement::upstream_entry> entries, std::uint64_t digest);
    store_summary summary(steady_clock::time_point now) const;
    void handleSummary(const peer_message& message, steady_clock::time_point now);
    void mergeUpstreams(const peer_message& message, steady_clock::time_point now);
    void sendConfiguration(const std::string& host);
    void sendUpstreams(const std::string& host, steady_clock::time_point now);
    void broadcastConfiguration();
    void finishDelta(peer_message& message, const std::map<std::string, placement::upstream_entry>& result,
        std::uint64_t& previousDigest) const;
    void broadcastDelta(const std::vector<placement::upstream_entry>& previous, std::uint64_t previousDigest);
    void setWatching(bool isWatching);

    const member_list& m_members;
    const store_relay_options m_options;
    const store_relay_actions m_actions;
    const steady_clock::time_point m_startedAt;
    std::string m_configuration;
    std::uint64_t m_configurationVersion = 0;
    std::vector<placement::upstream_entry> m_upstreams; // Including unconfirmed ones.
    std::set<std::string> m_inUse; // Ids of the entries of `m_upstreams` that this VM uses.
    std::uint64_t m_upstreamDigest = 0;
    std::uint64_t m_storeVersion = 0; // Store version that the upstream list is from.
    steady_clock::time_point m_lastContact {}; // When the store last responded to this VM.
    steady_clock::time_point m_lastRelayedContact {}; // When it last responded to another VM, by a beacon.
    steady_clock::time_point m_lastFreshBeacon {};
    steady_clock::time_point m_beaconsFreshSince {};
    std::optional<steady_clock::time_point> m_behindSince; // Set while a beacon announces data this VM lacks.
    deadline m_nextRequest {};
    std::map<std::string, placement::upstream_entry> m_partialSnapshot; // The chunks received so far.
    std::uint64_t m_partialSnapshotDigest = 0;
    bool m_isWatching = false;
};

// Returns a digest of a list, independent of its order; different lists have different digests with high
// probability. Covers ids, addresses, versions, and whether an entry is leaving or unconfirmed.
std::uint64_t digestOf(const std::vector<placement::upstream_entry>& entries);

}
