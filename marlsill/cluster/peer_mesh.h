#pragma once

// Keeps an entry VM in touch with the others over UDP: membership, and what they have seen of upstreams.
//
//     peer_mesh mesh(io, options, self, handler);
//     mesh.start();
//     mesh.publish("bookings", evidence);
//
// Datagrams may be lost: evidence is repeated by what follows, loads are sent again while they change, and
// member lists are compared by digest. Used by one event loop.

#include "marlsill/cluster/peer_message.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <random>

namespace marlsill::cluster {

namespace asio = boost::asio;

// Settings of a mesh.
struct peer_mesh_options {
    unsigned short port = 0; // The same on all VMs.
    std::vector<std::string> seeds; // Hosts to join by; some may be down.
    std::chrono::milliseconds tick { 250 }; // One ping each; a VM that is gone is found within about three.
    std::chrono::milliseconds batch { 30 }; // Evidence and loads of this time go out together.
    std::chrono::milliseconds loadPause { 150 }; // Between two reports of work to the peers.
    std::chrono::milliseconds seedPause { 5'000 }; // Between two calls of a seed, which heal a split fleet.
    std::chrono::milliseconds joinPause {
        500
    }; // Between the first calls, until all that start together are known.
    int joinCalls = 3;
    std::chrono::milliseconds interestLife { 10'000 }; // A peer that told of a service hears of it this long.
};

// Who takes the news and gives what is to be told.
struct peer_mesh_handler {
    std::function<void(const placement::upstream_evidence&)> evidence;
    std::function<void(std::string_view peer, const placement::upstream_load&)> load;
    std::function<void(const crash_notice&)> crash;
    std::function<std::vector<placement::upstream_load>()> changedLoads;
    std::function<void(const peer_message&)> storeUpdate;
    // Returns the hosts of the VMs that share the upstream's service.
    std::function<std::vector<std::string>(const std::string& upstream)> servicePeers;
};

// Counters for the metrics page.
struct peer_mesh_counters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t malformed = 0;
    std::uint64_t bytesSent = 0;
};

class peer_mesh {
public:
    peer_mesh(asio::io_context& io, peer_mesh_options options, member self, member_list_options memberOptions,
        peer_mesh_handler handler);

    // Binds and starts. Returns what is wrong, or an empty text.
    std::string start();

    // Tells the others of this VM's state; `leaving` at the start of a planned stop.
    void setState(member_state state);

    // Tells the VMs that share an upstream what was seen of it.
    void publish(const placement::upstream_evidence& evidence);

    // Tells all VMs of a request that crashes upstreams.
    void publish(const crash_notice& crash);

    // Sends one message to one VM at once.
    void send(const std::string& host, peer_message message);

    const member_list& members() const { return m_members; }
    const peer_mesh_counters& counters() const { return m_counters; }

private:
    asio::awaitable<void> receiveLoop();
    asio::awaitable<void> tickLoop();
    asio::awaitable<void> loadLoop();
    void take(const peer_message& message, const asio::ip::udp::endpoint& from);
    void takeMembers(const std::vector<member>& records, steady_clock::time_point now);
    void tick();
    void sendLoads();
    void callSeeds(steady_clock::time_point now);
    void announceSelf();
    void sendMembers(const std::string& host);
    void scheduleBatch();
    void sendBatch();

    asio::io_context& m_io;
    const peer_mesh_options m_options;
    const peer_mesh_handler m_handler;
    member_list m_members;
    asio::ip::udp::socket m_socket;
    asio::steady_timer m_batchTimer;
    std::array<std::uint8_t, 65536> m_buffer {};
    std::map<std::string, peer_message> m_outbox; // By host; sent when the batch is over.
    std::map<std::string, deadline, std::less<>> m_interested; // Peers that told of upstreams themselves.
    deadline m_nextSeedCall {};
    std::size_t m_nextSeed = 0;
    int m_seedCalls = 0;
    std::uint64_t m_lastPing = 0;
    bool m_isBatchPending = false;
    peer_mesh_counters m_counters;
};

}
