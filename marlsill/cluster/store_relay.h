#pragma once

// Relays the store's configuration and upstream list to all VMs, so that only a few watch the store.
//
//     store_relay relay(mesh.members(), options, actions, now);
//     relay.setUpstreams(entries, position);
//     relay.noteUpstreamsRead(asOf, now);
//     relay.tick(now); // Decides whether to watch the store; a watcher also sends beacons.
//     sleepUntil(relay.nextTickAt(now));
//
// In each failure domain the VM with the highest score, usually one of the largest, is elected to watch the
// store, or two VMs if there is only one domain. Watchers send changes and beacons to each other and to the
// VMs of their domain. A changed configuration is sent as its difference from the one before; a VM that has
// another one requests the whole.
//
// Each VM knows as of when it has the store's contents: as of its own last response about each kind, or as
// beacons state whose contents it has. Once that is too long ago, for whatever reason, the next VM of the
// domain, in the order of scores, watches the store as well, and after it another one, as each of hundreds
// would read the whole list when the store is back. The first few follow each other promptly and relay what
// they read; see propagation_budget.h. A VM that hears of no watcher at all, or that lacks for long what
// beacons announce, reads the store out of turn. All stop when a VM before them reads the store steadily.
//
// Data never goes back to an older version. An unconfirmed entry, which may only have lapsed in an outage,
// stays in use where it was in use, and other VMs don't start to use it. Not thread safe; used by one event
// loop.

#include "marlsill/cluster/peer_message.h"
#include "marlsill/cluster/propagation_budget.h"
#include "marlsill/cluster/upstream_list.h"
#include "marlsill/store/watch_turn.h"

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
    // By how much more recent the knowledge must be for a beacon before the next regular one.
    std::chrono::milliseconds minReadingInterval { 200 };
    propagation_budget budget {}; // Decides when VMs that are not elected read the store.
    // Between the VMs of a failure domain that read the store after the prompt ones.
    std::chrono::milliseconds backupInterval { 1'000 };
    // Between beacons of such a VM once it reaches the store; below `maxContactAge`.
    std::chrono::milliseconds backupBeaconInterval { 1'000 };
    // How long a VM may lag behind beacons before it watches the store itself; tolerates two lost answers.
    std::chrono::milliseconds catchUpTimeout { 1'000 };
    std::chrono::milliseconds requestInterval { 350 }; // Between requests for missing data.
    // Largest age of the store's last response at which a list counts as its present state.
    std::chrono::milliseconds maxContactAge { 1'400 };
    // How long a VM before it must have been reading the store before a VM that is not elected stops.
    std::chrono::milliseconds stabilizationPeriod { 2'000 };
    // If a tick comes later than this, the process was stopped or short of processor time, and beacons wait
    // in its socket; whether to read the store is decided a moment later.
    std::chrono::milliseconds maxTickDelay { 200 };
    std::chrono::milliseconds lateTickRetry { 20 };
    // From the start until data is taken from VMs that have not heard of the store for long: one that was
    // away may have upstreams and routes that are gone. Four beacons of others; while the store is away all
    // wait.
    std::chrono::milliseconds freshDataPeriod { 1'000 };
    std::size_t entriesPerDatagram = 10; // About 1 KB.
};

// As of when a VM has the store's contents, and whom it has that from.
struct store_knowledge {
    steady_clock::time_point asOf {};
    std::string reader; // Host of the VM that read the store then.
    std::string source; // Host of the VM that said so.
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
    // Sets when this VM's watches of the store end, if it watches it. May be empty.
    std::function<void(store::watch_turn turn)> setWatchTurn {};
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

    // Records that what was set is the store's configuration, or its upstreams, as of `asOf`, by a response
    // to this VM.
    void noteConfigurationRead(steady_clock::time_point asOf, steady_clock::time_point now);
    void noteUpstreamsRead(steady_clock::time_point asOf, steady_clock::time_point now);

    // Handles the parts of a peer's message that concern data of the store.
    void handleMessage(const peer_message& message, steady_clock::time_point now);

    // Starts or stops watching the store and sends beacons. Call at nextTickAt().
    void tick(steady_clock::time_point now);

    // Returns when tick() is due after what is known at `now`.
    deadline nextTickAt(steady_clock::time_point now) const;

    // Returns as of when this VM has the store's contents. While it lacks what beacons announce, that stays
    // as it was.
    const store_knowledge& knowledge() const { return m_known; }

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
    void handleBeacon(const peer_message& message, steady_clock::time_point now);
    bool holds(const store_summary& summary) const;
    void noteRead(steady_clock::time_point now);
    void noteKnown(const store_knowledge& stated, steady_clock::time_point now);
    void noteBehind(bool isBehind, steady_clock::time_point asOf, steady_clock::time_point now);
    int placeOf(std::string_view host) const;
    bool isBefore(const std::string& reader) const;
    bool isCovered(steady_clock::time_point now) const;
    bool isRelaying(steady_clock::time_point now) const;
    bool hasContact(steady_clock::time_point now) const;
    std::span<const std::string> relayTargets(steady_clock::time_point now) const;
    deadline readDueAt() const;
    void mergeUpstreams(const peer_message& message, steady_clock::time_point now);
    void sendConfiguration(std::span<const std::string> hosts, const std::vector<configuration_part>& parts);
    void applyConfigurationPart(const configuration_part& part);
    void sendUpstreams(const std::string& host, steady_clock::time_point now);
    void broadcastConfiguration(std::string_view previous);
    bool isTooOldForStart(const store_summary& summary, steady_clock::time_point now) const;
    void sendBeacon(std::span<const std::string> hosts, steady_clock::time_point now);
    void sendBeaconIfDue(steady_clock::time_point now);
    void setWatching(bool isWatching);

    const member_list& m_members;
    std::uint64_t m_electionGeneration = 0; // Of the members that the election follows from.
    bool m_isElected = false;
    // The hosts that a watcher sends to: those of its own failure domain and the watchers of the others.
    std::vector<std::string> m_relayTargets;
    std::vector<std::string> m_domainTargets; // Those of them that are of its failure domain.
    std::vector<std::string> m_electedHosts; // Without this VM's.
    std::vector<std::string> m_electedHostsOfDomain; // Those of this VM's failure domain.
    int m_electionRank = 0;
    int m_watchersPerDomain = 1;
    int m_place = 0; // By score among the VMs of this failure domain that are not elected; from 0.
    std::optional<store::watch_turn> m_turn;
    const store_relay_options m_options;
    const store_relay_actions m_actions;
    const steady_clock::time_point m_startedAt;
    steady_clock::time_point m_now {}; // The latest that was passed in.
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
    steady_clock::time_point m_configurationReadAt {}; // As of when this VM itself has read each kind.
    steady_clock::time_point m_upstreamsReadAt {};
    store_knowledge m_known;
    steady_clock::time_point m_lastBeacon {}; // When the last one came.
    steady_clock::time_point m_lastElectedBeacon {}; // The same of those elected in this failure domain.
    // As of when, and since when without a gap, a VM before this one is known to read the store. Kept while
    // this VM watches it.
    steady_clock::time_point m_coveredAsOf {};
    steady_clock::time_point m_coveredSince {};
    deadline m_nextBeacon {};
    std::optional<steady_clock::time_point> m_behindSince; // Set while a beacon announces data this VM lacks.
    steady_clock::time_point m_behindAsOf {}; // As of when the latest such beacon describes the store.
    std::optional<deadline> m_tickDueAt;
    bool m_isTickLate = false;
    deadline m_nextRequest {};
    upstream_list m_partialSnapshot; // The chunks received so far.
    std::uint64_t m_partialSnapshotDigest = 0; // Of the whole list that they belong to.
    bool m_isWatching = false;
};

}
