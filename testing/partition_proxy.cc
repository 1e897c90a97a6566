#include "testing/partition_proxy.h"

#include "marlsill/gateway/endpoint.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <future>
#include <linux/filter.h>
#include <sys/socket.h>

namespace marlsill::testing {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds checkPause { 10 };
    constexpr unsigned int sourceOffset = 12; // Of the address in an IPv4 header.
    constexpr unsigned int acceptAll = 0xffffffff;

    // Makes the kernel drop all packets to a socket that come from one of the hosts, also those that open
    // connections, so that these hang as they do behind a partition.
    void dropPacketsFrom(int descriptor, const std::vector<std::string>& hosts)
    {
        std::vector<sock_filter> program;
        program.push_back(
            BPF_STMT(BPF_LD | BPF_W | BPF_ABS, static_cast<unsigned int>(SKF_NET_OFF) + sourceOffset));
        for (const auto& host : hosts) {
            auto address = asio::ip::make_address_v4(host).to_uint();
            program.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, address, 0, 1));
            program.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
        }
        program.push_back(BPF_STMT(BPF_RET | BPF_K, acceptAll));
        sock_fprog filter { static_cast<unsigned short>(program.size()), program.data() };
        ::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter);
    }

    void resetSocket(asio::ip::tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

}

partition_proxy::partition_proxy()
    : m_thread([this] {
        auto guard = asio::make_work_guard(m_io);
        m_io.run();
    })
{
}

partition_proxy::~partition_proxy()
{
    m_io.stop();
    m_thread.join();
}

std::string partition_proxy::add(const std::string& target)
{
    asio::ip::tcp::endpoint any(asio::ip::make_address_v4("127.0.0.1"), 0);
    auto listener = std::make_shared<acceptor>(m_io, any);
    auto address = "127.0.0.1:" + std::to_string(listener->local_endpoint().port());
    asio::post(m_io, [this, listener, target] {
        m_listeners.push_back(listener);
        asio::co_spawn(m_io, acceptLoop(listener, target), asio::detached);
    });
    return address;
}

void partition_proxy::cut(std::vector<std::string> hosts, link_cut kind)
{
    std::promise<void> done;
    asio::post(m_io, [&] {
        apply(std::move(hosts), kind);
        done.set_value();
    });
    done.get_future().wait();
}

void partition_proxy::heal() { cut({}, link_cut::silent); }

void partition_proxy::apply(std::vector<std::string> hosts, link_cut kind)
{
    m_cutHosts = std::move(hosts);
    m_kind = kind;
    auto silenced = kind == link_cut::silent ? m_cutHosts : std::vector<std::string>();
    for (const auto& each : m_listeners) {
        dropPacketsFrom(each->native_handle(), silenced);
    }
    std::erase_if(m_links, [](const auto& each) { return each.expired(); });
    for (const auto& each : m_links) {
        auto current = each.lock();
        if (!current->near->is_open()) {
            continue;
        }
        dropPacketsFrom(current->near->native_handle(), silenced);
        if (kind == link_cut::reset && isCut(current->host)) {
            resetSocket(*current->near);
            resetSocket(*current->far);
        }
    }
}

bool partition_proxy::isCut(const std::string& host) const
{
    return std::find(m_cutHosts.begin(), m_cutHosts.end(), host) != m_cutHosts.end();
}

int partition_proxy::piecesFrom(const std::string& host) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_pieces.find(host);
    return found == m_pieces.end() ? 0 : found->second;
}

asio::awaitable<void> partition_proxy::acceptLoop(std::shared_ptr<acceptor> listener, std::string target)
{
    while (true) {
        boost::system::error_code error;
        auto current = std::make_shared<link>();
        current->near = std::make_shared<socket>(m_io);
        current->far = std::make_shared<socket>(m_io);
        co_await listener->async_accept(*current->near, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            continue;
        }
        current->host = current->near->remote_endpoint(error).address().to_string();
        if (isCut(current->host)) {
            resetSocket(*current->near);
            continue;
        }
        m_links.push_back(current);
        asio::co_spawn(m_io, serve(current, target), asio::detached);
    }
}

asio::awaitable<void> partition_proxy::serve(std::shared_ptr<link> current, std::string target)
{
    boost::system::error_code error;
    auto endpoint = gateway::parseEndpoint(target);
    co_await current->far->async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        resetSocket(*current->near);
        co_return;
    }
    asio::co_spawn(m_io, copy(current, true), asio::detached);
    asio::co_spawn(m_io, copy(current, false), asio::detached);
}

asio::awaitable<void> partition_proxy::copy(std::shared_ptr<link> current, bool isRequest)
{
    auto& from = isRequest ? *current->near : *current->far;
    auto& to = isRequest ? *current->far : *current->near;
    std::array<char, 8192> buffer {};
    while (true) {
        boost::system::error_code error;
        auto count = co_await from.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        while (m_kind == link_cut::silent && isCut(current->host)) {
            asio::steady_timer timer(m_io, checkPause);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        if (error) {
            to.shutdown(socket::shutdown_send, error);
            co_return;
        }
        if (isRequest) {
            std::lock_guard lock(m_mutex);
            ++m_pieces[current->host];
        }
        co_await asio::async_write(
            to, asio::buffer(buffer, count), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            resetSocket(from);
            co_return;
        }
    }
}

}
