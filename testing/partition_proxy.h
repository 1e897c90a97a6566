#pragma once

// TCP proxies on loopback before upstreams that cut off single VMs, told apart by their source address.
//
//     partition_proxy proxy;
//     auto address = proxy.add("127.0.0.1:4711"); // Connect here instead.
//     proxy.cut({ "127.0.1.3" }, link_cut::silent);

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace marlsill::testing {

// What VMs that are cut off see of their connections to all upstreams.
enum class link_cut {
    silent, // Connects hang, and nothing passes on open connections.
    reset, // Open connections and new ones are reset.
    newReset, // New connections are reset; open ones live on.
};

class partition_proxy {
public:
    partition_proxy();
    ~partition_proxy();

    // Adds a proxy before an upstream. Returns its address.
    std::string add(const std::string& target);

    // Cuts off VMs, given as IPv4 addresses, until heal().
    void cut(std::vector<std::string> hosts, link_cut kind);
    void heal();

    // Returns how many pieces of requests a VM has sent to upstreams.
    int piecesFrom(const std::string& host) const;

private:
    using socket = boost::asio::ip::tcp::socket;
    using acceptor = boost::asio::ip::tcp::acceptor;

    struct link {
        std::string host;
        std::shared_ptr<socket> near;
        std::shared_ptr<socket> far;
    };

    boost::asio::awaitable<void> acceptLoop(std::shared_ptr<acceptor> listener, std::string target);
    boost::asio::awaitable<void> serve(std::shared_ptr<link> current, std::string target);
    boost::asio::awaitable<void> copy(std::shared_ptr<link> current, bool isRequest);
    void apply(std::vector<std::string> hosts, link_cut kind);
    bool isCut(const std::string& host) const;

    boost::asio::io_context m_io { 1 };
    std::vector<std::shared_ptr<acceptor>> m_listeners;
    std::vector<std::weak_ptr<link>> m_links;
    std::vector<std::string> m_cutHosts;
    link_cut m_kind = link_cut::silent;
    mutable std::mutex m_mutex; // Guards m_pieces.
    std::map<std::string, int> m_pieces;
    std::thread m_thread;
};

}
