#pragma once

// Relays the store's configuration and upstream list to all VMs, so that only a few watch the store.
//
//     store_relay relay(mesh.members(), options, actions, now);
//     relay.noteStoreContact(now);
//     relay.setUpstreams(entries, position);
//     relay.tick(now); // Decides whether to watch the store; a watcher also sends beacons.
//
// In each failure domain the VM with the highest score, usually one of the largest, is elected to watch the
// store, or two VMs if there is only one domain. Watchers send changes and beacons to each other and to the
// VMs of their domain. A changed configuration is sent as its difference from the one before; a VM that has
// another one requests the whole. A VM that hears no beacon watches the store itself until fresh beacons have
// returned. If beacons tell that no watcher reaches the store, which then mostly is away, the others try it
// one after the other, in the order of their scores, as each of hundreds would read the whole list when it is
// back; whoever reaches it tells the watchers. Data never goes back to an older version. An unconfirmed
// entry, which may only have lapsed in an outage, stays in use where it was in use, and other VMs don't start
// to use it. Not thread safe; used by one event loop.

#include "marlsill/cluster/peer_message.h"
#include "marlsill/cluster/upstream_list.h"

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
    // How long no VM must have joined before the first election: while a fleet starts, most VMs know a few
    // others only, and would elect themselves. It takes place after `maxElectionDelay` at the latest.
    std::chrono::milliseconds joinSettlingTime { 400 };
    std::chrono::milliseconds maxElectionDelay { 1'500 };
    // From the first election until a VM that is not elected may watch the store because it has received no
    // beacon. The elected VMs list the upstreams before their first one.
    std::chrono::milliseconds firstBeaconGracePeriod { 1'000 };
    std::chrono::milliseconds beaconInterval { 250 };
    // Tolerates two lost beacons; changes must take effect within 2 s on all VMs.
    std::chrono::milliseconds beaconTimeout { 700 };
    // Between the VMs of a failure domain that try the store while no watcher reaches it.
    std::chrono::milliseconds backupInterval { 500 };
    // Between beacons of such a VM once it reaches the store; below `maxContactAge`.
    std::chrono::milliseconds backupBeaconInterval { 1'000 };
    // How long a VM that has begun to try goes on, so that it does not end with its own success.
    std::chrono::milliseconds backupDuration { 10'000 };
    // How long a VM may lag behind beacons before it watches the store itself; tolerates two lost answers.
    std::chrono::milliseconds catchUpTimeout { 1'000 };
    std::chrono::milliseconds requestInterval { 350 }; // Between requests for missing data.
    // Largest age of the store's last response at which a beacon is fresh: one watch of 1 s and its response.
    std::chrono::milliseconds maxContactAge { 1'400 };
    // How long beacons must have been fresh before a VM that is not elected stops watching.
    std::chrono::milliseconds stabilizationPeriod { 2'000 };
    // From the start until data is taken from VMs that have not heard of the store for long: one that was
    // away may have upstreams and routes that are gone. Four beacons of others; while the store is away all
    // wait.
    std::chrono::milliseconds freshDataPeriod { 1'000 };
    std::size_t entriesPerDatagram = 10; // About 1 KB.
};

// Callbacks of a relay, all called from its event loop.
struct store_relay_actions {
    std::function<void(std::span<const std::string> hosts, const peer_message&)> send;
    // Starts to watch the store, from the upstreams that are in use, or stops watching it.
    std::function<void(bool isWatching, const std::vector<placement::upstream_entry>& known)> watchStore;
    // Called with each newer configuration, and when the list of upstreams to use has changed.
    std::function<void(const std::string& text, std::uint64_t version)> onConfiguration;
    std::function<void()> onUpstreams; // See takeUpstreamChanges().
    // Returns what beacons tell of the store's responses to this VM. May be empty.
    std::function<std::optional<availability_report>()> availability {};
};

class store_relay {
public:
    store_relay(const member_list& members, store_relay_options options, store_relay_actions actions,
        steady_clock::time_point now);

    // Records that the store has responded to this VM.
    void noteStoreContact(steady_clock::time_point now) { m_lastContact = now; }

    // Applies what this VM has read from the store, if it is new, and relays it if this VM is elected.
    void setConfiguration(std::string text, std::uint64_t version);
    void setUpstreams(std::span<const placement::upstream_entry> entries, placement::store_position position);

    // Handles the parts of a peer's message that concern data of the store.
    void handleMessage(const peer_message& message, steady_clock::time_point now);

    // Starts or stops watching the store and sends beacons. Call once per `beaconInterval`.
    void tick(steady_clock::time_point now);

    // Returns the upstreams to use. An unconfirmed one is among them only if it was before.
    std::vector<placement::upstream_entry> upstreamsInUse() const;

    // Returns by what upstreamsInUse() differs from what it was at the last call; from nothing at the first.
    upstream_delta takeUpstreamChanges();

    std::size_t upstreamsInUseCount() const { return m_inUse.size(); }

    // Returns a digest of all upstreams, including those that are not in use.
    std::uint64_t upstreamDigest() const { return m_upstreams.digest(); }

    // Returns the hosts of the other VMs that are elected to watch the store, as of the last election.
    std::span<const std::string> electedHosts() const { return m_electedHosts; }

    // Returns those of them that are of this VM's failure domain.
    std::span<const std::string> electedHostsOfDomain() const { return m_electedHostsOfDomain; }

    // Returns how many VMs of this VM's failure domain have a higher score in the election.
    int electionRank() const { return m_electionRank; }

    bool isWatching() const { return m_isWatching; }
    placement::store_position storePosition() const { return m_storePosition; }

private:
    bool isElectionDue(steady_clock::time_point now);
    void refreshElection();
    steady_clock::time_point lastContact() const { return std::max(m_lastContact, m_lastRelayedContact); }
    void applyDelta(const upstream_delta& delta);
    void advance(placement::store_position position);
    store_summary summary(steady_clock::time_point now) const;
    void handleSummary(const peer_message& message, steady_clock::time_point now);
    void mergeUpstreams(const peer_message& message, steady_clock::time_point now);
    void sendConfiguration(std::span<const std::string> hosts, const std::vector<configuration_part>& parts);
    void applyConfigurationPart(const configuration_part& part);
    void sendUpstreams(const std::string& host, steady_clock::time_point now);
    void broadcastConfiguration(std::string_view previous);
    bool isBackupDue(steady_clock::time_point now) const;
    bool isTooOldForStart(const store_summary& summary, steady_clock::time_point now) const;
    void sendBeacon(steady_clock::time_point now);
    void setWatching(bool isWatching);

    const member_list& m_members;
    std::uint64_t m_electionGeneration = 0; // Of the members that the election follows from.
    bool m_isElected = false;
    // The hosts that a watcher sends to: those of its own failure domain and the watchers of the others.
    std::vector<std::string> m_relayTargets;
    std::vector<std::string> m_electedHosts; // Without this VM's.
    std::vector<std::string> m_electedHostsOfDomain; // Those of this VM's failure domain.
    int m_electionRank = 0;
    const store_relay_options m_options;
    const store_relay_actions m_actions;
    const steady_clock::time_point m_startedAt;
    std::size_t m_lastMemberCount = 0;
    steady_clock::time_point m_lastJoin {}; // When the number of members last changed.
    std::optional<steady_clock::time_point> m_firstElection;
    std::string m_configuration;
    std::uint64_t m_configurationVersion = 0;
    std::vector<configuration_part> m_wholeConfiguration; // Made when it is first requested.
    configuration_assembler m_assembler;
    upstream_list m_upstreams; // Including unconfirmed ones.
    std::set<std::string> m_inUse; // Ids of the entries of `m_upstreams` that this VM uses.
    std::set<std::string> m_changed; // Ids of those that changed, or ended, since takeUpstreamChanges().
    placement::store_position m_storePosition; // That the upstream list is from.
    steady_clock::time_point m_lastContact {}; // When the store last responded to this VM.
    steady_clock::time_point m_lastRelayedContact {}; // When it last responded to another VM, by a beacon.
    steady_clock::time_point m_lastOutageBeacon {}; // When a watcher last told that none reaches the store.
    steady_clock::time_point m_lastFreshBeacon {};
    deadline m_nextBackupBeacon {};
    std::optional<deadline> m_backupUntil; // Set while it watches the store as a backup.
    steady_clock::time_point m_beaconsFreshSince {};
    std::optional<steady_clock::time_point> m_behindSince; // Set while a beacon announces data this VM lacks.
    deadline m_nextRequest {};
    upstream_list m_partialSnapshot; // The chunks received so far.
    std::uint64_t m_partialSnapshotDigest = 0; // Of the whole list that they belong to.
    bool m_isWatching = false;
};

}
