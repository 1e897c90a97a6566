#pragma once

// A TCP proxy on loopback that can delay, silence, cut one way, or reset what passes.
//
//     loopback_proxy proxy("127.0.0.1:4711");
//     proxy.setTrouble(link_trouble::silent);
//     connectTo(proxy.address());

#include <utility>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <thread>

namespace marlsill::testing {

enum class link_trouble {
    none,
    delayed, // Each piece takes some time longer.
    silent, // Nothing passes; what was held back is lost with its connection.
    cutOneWay, // What the far side answers does not pass.
    reset, // Connections are reset, also new ones.
};

class loopback_proxy {
public:
    explicit loopback_proxy(std::string target);
    ~loopback_proxy();

    std::string address() const { return m_address; }
    void setTrouble(link_trouble trouble) { m_trouble = trouble; }

private:
    using socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(std::shared_ptr<socket> near);
    boost::asio::awaitable<void> copy(
        std::shared_ptr<socket> from, std::shared_ptr<socket> to, bool isAnswer);

    const std::string m_target;
    std::atomic<link_trouble> m_trouble = link_trouble::none;
    boost::asio::io_context m_io { 1 };
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::thread m_thread;
};

}
