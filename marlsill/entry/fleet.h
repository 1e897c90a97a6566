#pragma once

// Connects this entry VM to the other entry VMs: peer links, membership, configuration distribution, failure
// detection and ejection of upstreams, and handover of idempotency keys.
//
//     fleet entryFleet(options, dependencies);
//     entryFleet.addThreads(rootSupervisor);
//     rootSupervisor.start();
//     auto answer = entryFleet.resolveKey(question, limit);
//
// The control thread owns all state that the VMs agree on. Blocking calls to the platform and to peers run on
// other threads, so that they never delay the control thread.

#include "marlsill/config/config_repository.h"
#include "marlsill/control/config_driver.h"
#include "marlsill/control/detection_driver.h"
#include "marlsill/control/event_loop.h"
#include "marlsill/control/membership_driver.h"
#include "marlsill/control/snapshot_builder.h"
#include "marlsill/entry/dispatcher.h"
#include "marlsill/entry/handover_store.h"
#include "marlsill/entry/operator_api.h"
#include "marlsill/entry/quarantine.h"
#include "marlsill/entry/recorder.h"
#include "marlsill/entry/task_queue.h"
#include "marlsill/peer/peer_network.h"
#include "marlsill/platform/platform_client.h"
#include "marlsill/supervisor/supervisor.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace marlsill::entry {

// Identity, addresses and limits of this VM as a member of the fleet.
struct fleet_options {
    std::string name;
    std::string incarnation; // Id of this run of the daemon.
    std::string failureDomain;
    std::string region;
    std::string callerAddress; // Published in the directory.
    peer::transport_address peerAddress; // To listen on.
    std::string fleetKey; // Shared secret that authenticates peers.
    std::vector<std::string> seeds; // Peer addresses to join through, besides the platform's list.
    int watchersPerRegion = 2; // VMs of a region that watch the platform for configurations.
    std::chrono::milliseconds heartbeatInterval { 500 };
    std::chrono::milliseconds maxClockSkew { 500 }; // Between any two VMs.
};

// Objects that a fleet uses. All of them must outlive it. `setReady` is called on the control thread.
struct fleet_dependencies {
    platform::platform_client& platform;
    routing::snapshot_holder& snapshots;
    shared_config_tree& sharedTree;
    dispatcher& requestDispatcher;
    dedup::key_ledger& ledger;
    quarantine_list& quarantine;
    recorder& auditRecorder;
    std::function<void(bool isReady)> setReady;
};

// The state of the fleet as this VM sees it, for operators.
struct fleet_status {
    std::int64_t generation = 0; // Of the configuration in force on this VM.
    std::int64_t inForceEverywhere = 0; // Newest generation that every VM has confirmed.
    std::vector<membership::member_record> members;
    bool isPlatformUnavailable = false;
    bool isWatcher = false; // Whether this VM watches the platform for configurations.
};

// One per entry daemon. The public functions are thread safe.
class fleet {
public:
    // Binds the peer address; check isBound().
    fleet(fleet_options options, fleet_dependencies dependencies);

    bool isBound() const { return m_peers.isBound(); }

    // Adds the fleet's threads to a supervisor, which starts them.
    void addThreads(supervisor& parent);

    // Submits an operator's configuration document to the platform. If it is accepted, this VM applies it
    // without waiting for the platform watch.
    config::submit_outcome submit(const config::submission& submitted, deadline limit);

    // Asks the incarnation that a key names for the key's outcome, or the VM that took over its keys in a
    // planned stop.
    key_answer resolveKey(const key_question& question, deadline limit);

    // Broadcasts a suspicion to all VMs, and waits up to 250 ms for the service's serving set to acknowledge
    // it.
    void announceSuspicion(const suspicion_notice& notice);

    // Announces that this VM is stopping, which removes it from the directory.
    void leave();

    // Sends the outcomes of all keys to another live VM, which then answers for them. Call only after all
    // requests have finished.
    void handOverKeys(deadline limit);

    fleet_status status() const;

    // Returns the detection scores and ejections of the upstream called `name`, or of all upstreams of the
    // service called `name`. Covers only the services that this VM coordinates.
    std::vector<control::upstream_explanation> explainUpstreams(const std::string& name);

    // Returns the state of a key as a text for operators, or an empty string if nothing is known.
    std::string explainKey(const std::string& key);

    peer::peer_network& peers() { return m_peers; }
    const peer::peer_network& peers() const { return m_peers; }

private:
    struct member_list {
        std::vector<membership::member_record> all;
    };

    peer::suspicion_report toMessage(const suspicion_notice& notice) const;
    std::optional<peer::message> handleMessage(
        const peer::session_identity& from, const peer::message& received);
    // Handles the messages that need a reply, on the network thread. Returns std::nullopt for all others.
    std::optional<peer::message> handleRequest(const peer::message& received);
    peer::message answerKeyQuestion(const peer::key_lookup_request& question);
    void handleLinkChange(const peer::session_identity& remote, bool isUp);
    void handleOnControlThread(const peer::session_identity& from, const peer::message& received);

    void bootstrap(const std::stop_token& stop);
    bool adoptNewestConfiguration(const std::vector<std::string>& peerAddresses);
    void watchPlatform(const std::stop_token& stop);
    bool watchHeadOnce(platform::object_version& seenVersion);
    void fetchTreeFromPeer(const std::string& peerAddress, std::int64_t generation);
    std::optional<config::config_head> requestHead(const std::string& peerAddress);
    std::optional<config::config_tree> loadFromPeer(
        const std::string& peerAddress, const config::config_head& head, reason& why);
    // Returns the addresses of possible peers in random order: the seeds, and the platform's list if needed.
    std::vector<std::string> findPeers(reason& why);
    void setPlatformAvailability(bool isAvailable, const std::string& cause);

    void applyTree(config::config_tree tree);
    void publishSnapshot();
    void tick();
    void propose(const ejection::ejection_proposal& proposal);
    std::shared_ptr<const member_list> members() const;
    const membership::member_record* findKeyOwner(
        const member_list& view, const std::string& incarnation) const;

    const fleet_options m_options;
    const fleet_dependencies m_dependencies;
    config::config_repository<platform::platform_client> m_repository;
    ejection::ejection_agreement<platform::platform_client> m_agreement;
    control::event_loop m_controlThread;
    task_queue m_blockingTasks;
    peer::peer_network m_peers;
    handover_store m_handoverStore;
    const membership::member_record m_self; // This VM's initial record.

    // The members from here to m_isSnapshotOutdated are owned by the control thread.
    control::membership_driver m_membership;
    control::config_driver m_configuration;
    control::detection_driver m_detection;
    control::snapshot_builder m_snapshotBuilder;
    config::config_tree m_tree;
    std::vector<membership::member_record> m_presentMembers; // As of the last publishSnapshot().
    deadline m_nextDetection;
    bool m_isSnapshotOutdated = false; // Membership changes are published in one batch per tick.

    mutable std::mutex m_mutex; // Guards m_members.
    std::shared_ptr<const member_list> m_members = std::make_shared<member_list>();
    std::atomic<std::int64_t> m_inForceEverywhere = 0;
    std::atomic<bool> m_isReady = false;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_isPlatformUnavailable = false;
    std::atomic<bool> m_isWatcher = false;
    std::atomic<bool> m_isFetchingTree = false;
};

}
