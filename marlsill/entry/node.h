#pragma once

// An entry daemon: its parts, their supervisor tree, and its start and planned stop.
//
//     node daemon(settings);
//     daemon.start();
//     waitForSignal();
//     daemon.stop();

#include "marlsill/entry/connection_server.h"
#include "marlsill/entry/fleet.h"
#include "marlsill/entry/operator_api.h"
#include "marlsill/entry/request_handler.h"
#include "marlsill/platform/platform_client.h"
#include "marlsill/settings/settings.h"
#include "marlsill/supervisor/supervisor.h"

#include <memory>
#include <string>

namespace marlsill::entry {

// start() and stop() are called by one thread.
class node {
public:
    // Binds the listening sockets; throws Poco::Exception when one cannot be bound.
    explicit node(const settings_values& settings);
    ~node();

    // Starts all parts.
    void start();

    // Carries out a planned stop: leaves the directory, serves until its last answer has run out, finishes
    // every request in work, and ends.
    void stop();

    // Returns the addresses that were bound.
    Poco::Net::SocketAddress callerAddress() const { return m_callerServer.address(); }
    Poco::Net::SocketAddress operatorAddress() const { return m_operatorServer.address(); }

    peer::peer_network& peers() { return m_fleet.peers(); }
    const std::string& incarnation() const { return m_incarnation; }

private:
    std::optional<key_claim> claim(const std::string& scopedKey, deadline limit, reason& why);
    std::string statusJson() const;
    std::string explainJson(std::string_view kind, const std::string& name);
    std::string metricsText() const;

    const settings_values& m_settings;
    const std::string m_incarnation;
    platform::platform_client m_platform;
    recorder m_facts;
    tree_cell m_tree;
    routing::snapshot_holder m_snapshots;
    upstream_pool m_pool;
    quarantine_list m_quarantine;
    dispatcher m_dispatcher;
    dedup::key_ledger m_ledger;
    request_handler m_handler;
    connection_server m_callerServer;
    fleet m_fleet;
    operator_api m_operatorApi;
    connection_server m_operatorServer;
    supervisor m_fleetParts;
    supervisor m_root;
};

}
