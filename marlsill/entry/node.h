#pragma once

// The entry daemon: owns its components and their supervisor tree, and carries out its start and planned
// stop.
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

// start() and stop() must be called from the same thread.
class node {
public:
    // Binds the listening sockets; throws Poco::Exception when one cannot be bound.
    explicit node(const settings_values& settings);
    ~node();

    // Starts all threads and begins to serve.
    void start();

    // Carries out a planned stop. Leaves the directory, keeps serving until the directory responses that list
    // this VM have expired, drains the requests in progress, hands the outcomes of idempotency keys to
    // another VM, and stores the rest of the audit record. Blocks until then.
    void stop();

    // Return the addresses that the sockets are bound to.
    Poco::Net::SocketAddress callerAddress() const { return m_callerServer.address(); }
    Poco::Net::SocketAddress operatorAddress() const { return m_operatorServer.address(); }

    peer::peer_network& peers() { return m_fleet.peers(); }
    const std::string& incarnation() const { return m_incarnation; }

private:
    // Claims an idempotency key that names no incarnation, or returns who claimed it before. Returns
    // std::nullopt if the platform cannot tell.
    std::optional<key_claim> claimKey(const std::string& scopedKey, deadline limit, reason& why);
    void stopCallers();
    std::string statusJson() const;
    std::string explainJson(std::string_view kind, const std::string& name);
    // Returns the metrics in the Prometheus text format.
    std::string metricsText() const;

    const settings_values& m_settings;
    const std::string m_incarnation;
    platform::platform_client m_platform;
    recorder m_auditRecorder;
    shared_config_tree m_sharedTree;
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
    supervisor m_fleetSupervisor;
    supervisor m_rootSupervisor;
};

}
