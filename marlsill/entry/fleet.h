#pragma once

// This entry VM's part in the fleet: peer links, membership, configuration, detection and ejections.
//
//     fleet others(options, parts);
//     others.addParts(root);
//     root.start();
//     auto known = others.resolveKey(question, limit);
//
// Everything that several VMs decide together is owned by the control thread; blocking calls of the platform
// and of peers run on threads of their own.

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

// Options of a fleet.
struct fleet_options {
    std::string name;
    std::string incarnation;
    std::string failureDomain;
    std::string region;
    std::string callerAddress;
    peer::transport_address peerAddress;
    std::string fleetKey;
    std::vector<std::string> seeds;
    int watchersPerRegion = 2;
    std::chrono::milliseconds heartbeat { 500 };
    std::chrono::milliseconds clockSkew { 500 };
};

// What a fleet works with; all of it outlives the fleet.
struct fleet_parts {
    platform::platform_client& platform;
    routing::snapshot_holder& snapshots;
    tree_cell& tree;
    dispatcher& requests;
    dedup::key_ledger& ledger;
    quarantine_list& quarantine;
    recorder& facts;
    std::function<void(bool isReady)> setReady;
};

// What operators are told of the fleet.
struct fleet_status {
    std::int64_t generation = 0;
    std::int64_t inForceEverywhere = 0;
    std::vector<membership::member_record> members;
    bool isPlatformAway = false;
    bool isWatcher = false;
};

// The public functions are thread safe.
class fleet {
public:
    // Binds the peer address; check isBound().
    fleet(fleet_options options, fleet_parts parts);

    bool isBound() const { return m_peers.isBound(); }

    // Adds the threads of this part to a supervisor.
    void addParts(supervisor& root);

    // Accepts an operator's submission and applies it here at once.
    config::submit_outcome submit(const config::submission& submitted, deadline limit);

    // Asks the incarnation that a key names, or its successor after a planned stop.
    key_answer resolveKey(const key_question& question, deadline limit);

    // Tells the other VMs of a suspicion and waits a moment until the service's serving set has confirmed it.
    void announceSuspicion(const suspicion_notice& notice);

    // Tells the others that this VM stops; it leaves the directory at once.
    void leave();

    // Hands the outcomes of all keys to another VM. Call when no request is in work any more.
    void handOverKeys(deadline limit);

    fleet_status status() const;

    // Returns what is known of an upstream or of a service's upstreams.
    std::vector<control::upstream_explanation> explain(const std::string& name);

    // Returns the state of a key in words, or an empty text if nothing can be told.
    std::string explainKey(const std::string& key);

    peer::peer_network& peers() { return m_peers; }
    const peer::peer_network& peers() const { return m_peers; }

private:
    struct member_view {
        std::vector<membership::member_record> all;
    };

    peer::suspicion_report toMessage(const suspicion_notice& notice) const;
    std::optional<peer::message> receive(const peer::session_identity& from, const peer::message& received);
    std::optional<peer::message> answerAtOnce(const peer::message& received);
    peer::message answerKeyQuestion(const peer::key_lookup_request& question);
    void linkChanged(const peer::session_identity& remote, bool isUp);
    void receiveOnControl(const peer::session_identity& from, const peer::message& received);

    void bootstrap(const std::stop_token& stop);
    bool adoptHighest(const std::vector<std::string>& peerAddresses);
    void watchPlatform(const std::stop_token& stop);
    bool watchOnce(platform::object_version& seen);
    void fetchFromPeer(const std::string& peerAddress, std::int64_t generation);
    std::optional<config::config_head> askHead(const std::string& peerAddress);
    std::optional<config::config_tree> loadFromPeer(
        const std::string& peerAddress, const config::config_head& head, reason& why);
    std::vector<std::string> knownPeers(reason& why);
    void notePlatform(bool isAvailable, const std::string& cause);

    void applyTree(config::config_tree tree);
    void publishSnapshot();
    void tick();
    void propose(const ejection::ejection_proposal& proposal);
    std::shared_ptr<const member_view> members() const;
    const membership::member_record* keeperOf(const member_view& view, const std::string& incarnation) const;

    const fleet_options m_options;
    const fleet_parts m_parts;
    config::config_repository<platform::platform_client> m_repository;
    ejection::ejection_agreement<platform::platform_client> m_agreement;
    control::event_loop m_control;
    task_queue m_blockingTasks;
    peer::peer_network m_peers;
    handover_store m_handovers;
    const membership::member_record m_self; // As this VM started.

    // Owned by the control thread.
    control::membership_driver m_membership;
    control::config_driver m_configuration;
    control::detection_driver m_detection;
    control::snapshot_builder m_builder;
    config::config_tree m_tree;
    std::vector<membership::member_record> m_present; // Of the last publication.
    deadline m_nextDetection;
    bool m_isPublishDue = false; // News of members are published together, once a tick.

    mutable std::mutex m_mutex; // Guards m_members.
    std::shared_ptr<const member_view> m_members = std::make_shared<member_view>();
    std::atomic<std::int64_t> m_inForceEverywhere = 0;
    std::atomic<bool> m_isReady = false;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_isPlatformAway = false;
    std::atomic<bool> m_isWatcher = false;
    std::atomic<bool> m_isFetching = false;
};

}
