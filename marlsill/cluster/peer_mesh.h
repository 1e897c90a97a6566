#pragma once

// Exchanges membership, evidence about upstreams, and loads with the other entry VMs over UDP.
//
//     peer_mesh mesh(io, options, self, handler);
//     mesh.start();
//     mesh.publish(evidence);
//
// Datagrams may be lost: later evidence about an upstream makes up for lost evidence, loads are sent again
// while they change, and member lists and crash records are compared by digest with each ping. Of member
// lists that differ, the records of those buckets are exchanged whose digests differ. Not thread safe; used
// by one event loop.

#include "marlsill/base/build_version.h"
#include "marlsill/cluster/batch_schedule.h"
#include "marlsill/cluster/fleet_builds.h"
#include "marlsill/cluster/peer_message.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>

namespace marlsill::cluster {

namespace asio = boost::asio;

// Settings of a peer mesh.
struct peer_mesh_options {
    unsigned short port = 0; // UDP; the same on all VMs.
    std::vector<std::string> seeds; // Hosts to join the fleet through; some may be down.
    // One VM is pinged per interval; an unreachable VM is detected within about three.
    std::chrono::milliseconds pingInterval { 250 };
    batch_schedule_options batches {}; // Evidence, loads and crashes are batched.
    std::chrono::milliseconds loadInterval { 150 }; // Between reports of changed loads.
    // Between later contacts with seeds, which rejoin a partitioned fleet.
    std::chrono::milliseconds seedInterval { 5'000 };
    // Between the first contacts with seeds, so that VMs that start together find each other.
    std::chrono::milliseconds joinInterval { 500 };
    std::string build { buildVersion() }; // That this VM states; empty: none.
    int joinAttempts = 3; // Contacts with seeds at `joinInterval`, before `seedInterval` applies.
    // A peer that uses upstreams without being one of their servicePeers() receives all evidence of this VM
    // this long after its last evidence or load.
    std::chrono::milliseconds subscriptionLifetime { 10'000 };
};

// Callbacks of a peer mesh, all called from its event loop.
struct peer_mesh_handler {
    // Called with what peers sent.
    std::function<void(const placement::upstream_evidence&)> evidence;
    std::function<void(std::string_view peer, const placement::upstream_load&)> load;
    std::function<void(const placement::crash_record&)> crash;
    // Returns a digest of all crash records.
    std::function<std::uint64_t()> crashDigest;
    // Returns up to a number of crash records, other ones with each call until all have had their turn.
    std::function<std::vector<placement::crash_record>(std::size_t maxRecords)> nextCrashRecords;
    // Returns all crash records up to a number; std::nullopt if this VM is not up to date itself.
    std::function<std::optional<std::vector<placement::crash_record>>(std::size_t maxRecords)>
        allCrashRecords;
    // Called when a peer has sent all of its crash records, as requestCrashes() asked for.
    std::function<void(const std::string& peer)> crashesComplete;
    // Called with what a peer knows of an upstream's limit.
    std::function<void(const placement::rate_limit_notice&)> limit;
    // Called with what a peer knows of an upstream that leaves.
    std::function<void(const placement::leaving_notice&)> leaving;
    // Issues a permit, or refuses one, to a peer that asks for it.
    std::function<placement::permit_answer(const permit_request&)> permitRequest;
    // Called with the answer to a request for a permit.
    std::function<void(const issued_permit&)> permit;
    // Handles what a peer sent about limits of accounts, and returns the answer, which may be empty.
    std::function<accounts::limit_message(const std::string& peer, const accounts::limit_message&)>
        accountLimits;
    // Returns the loads that changed since the last call.
    std::function<std::vector<placement::upstream_load>()> changedLoads;
    // Called with every message, which may hold data of the store.
    std::function<void(const peer_message&)> storeUpdate;
    // Returns the hosts of the VMs that send requests to the same part of a service as the upstream's.
    std::function<std::vector<std::string>(const std::string& upstream)> servicePeers;
    // Returns the hosts of the VMs that are told of an upstream's failures and recoveries.
    std::function<std::vector<std::string>(const std::string& upstream)> evidencePeers;
    // Returns whether this VM is among the servicePeers() that others see.
    std::function<bool(const std::string& upstream)> isServicePeer;
};

// Counters for the metrics page.
struct peer_mesh_counters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0; // Not counting malformed messages.
    std::uint64_t malformed = 0;
    std::uint64_t bytesSent = 0;
};

class peer_mesh {
public:
    peer_mesh(asio::io_context& io, peer_mesh_options options, member self, member_list_options memberOptions,
        peer_mesh_handler handler);

    // Binds the socket and starts the loops. Returns what failed, if anything did; it can be called again
    // then.
    boost::system::error_code start();

    // Sets this VM's state and announces it to all reachable VMs; `leaving` at the start of a planned stop.
    void setState(member_state state);

    // Sets whether this VM is cut off from all upstreams, and announces that to all reachable VMs.
    void setCutOff(bool isCutOff);

    // Sets whether this VM cannot check keys, and announces that to all reachable VMs.
    void setStaleKeys(bool hasStaleKeys);

    // Sends evidence about an upstream, with the next batch, to the VMs that serve its service, see
    // peer_mesh_handler::evidencePeers, and to subscribers.
    void publish(const placement::upstream_evidence& evidence);

    // Sends the record of a request that crashed an upstream to all reachable VMs, with the next batch.
    void publish(const placement::crash_record& crash);

    // Sends the limit of an upstream to all reachable VMs, with the next batch: callers with stale directory
    // data also use VMs outside the serving set.
    void publish(const placement::rate_limit_notice& limit);

    // Sends that an upstream leaves, with the next batch, to the VMs that serve the same service and to
    // subscribers. Others learn it from the first response of the upstream.
    void publish(const placement::leaving_notice& notice);

    // Asks other VMs, up to a number of them, for all of their crash records. Returns whether there are any.
    bool requestCrashes();

    // Send a message to one VM or to several at once. Errors are ignored, as datagrams may be lost anyway.
    void send(const std::string& host, peer_message message);
    void sendToAll(std::span<const std::string> hosts, const peer_message& message);

    // Returns whether there are seeds besides this VM.
    bool hasOtherSeeds() const;

    const member_list& members() const { return m_members; }
    const fleet_builds& builds() const { return m_builds; }
    const peer_mesh_counters& counters() const { return m_counters; }

private:
    asio::awaitable<void> receiveLoop();
    asio::awaitable<void> tickLoop();
    asio::awaitable<void> loadLoop();
    void sendDatagram(const std::string& host, std::span<const std::uint8_t> bytes);
    void handleMessage(const peer_message& message, const asio::ip::udp::endpoint& from);
    void mergeMembers(const std::vector<member>& records, steady_clock::time_point now);
    void tick();
    void sendLoads();
    void contactSeeds(steady_clock::time_point now);
    void announceSelf();
    void sendMembers(const std::string& host, std::span<const member> records);
    void exchangeMembers(const std::string& host, std::span<const std::uint32_t> digests);
    void sendCrashes(const std::string& host);
    void sendAllCrashes(const std::string& host, std::uint64_t request);
    std::vector<std::string> withSubscribers(std::vector<std::string> hosts);
    void answerPermitRequests(const peer_message& message);
    void noteCrashPart(const peer_message& message);
    void logBuilds() const;
    void scheduleBatch(bool isUrgent = false);
    void sendBatch();

    asio::io_context& m_io;
    const peer_mesh_options m_options;
    const peer_mesh_handler m_handler;
    member_list m_members;
    fleet_builds m_builds;
    asio::ip::udp::socket m_socket;
    asio::steady_timer m_batchTimer;
    std::array<std::uint8_t, 65536> m_buffer {};
    std::map<std::string, peer_message> m_outbox; // By host; sent with the next batch.
    // Parts received of answers to requestCrashes(), by host and request.
    std::map<std::pair<std::string, std::uint64_t>, std::set<int>> m_crashParts;
    std::uint64_t m_lastCrashRequest = 0;
    std::uint64_t m_answeredCrashRequests = 0; // Requests up to this one need no answer any more.
    std::map<std::string, deadline, std::less<>> m_subscribers; // By host; when the subscription ends.
    deadline m_nextSeedContact {};
    std::size_t m_nextSeed = 0;
    int m_seedContacts = 0;
    std::uint64_t m_lastPingId = 0;
    batch_schedule m_batches;
    deadline m_batchAt {}; // For which the timer is set; zero if it is not.
    peer_mesh_counters m_counters;
};

}
