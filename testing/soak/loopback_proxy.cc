#include "testing/soak/loopback_proxy.h"

#include "marlsill/base/time.h"
#include "marlsill/gateway/endpoint.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace marlsill::testing {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds delay { 60 }; // Far above a round trip between failure domains.
    constexpr std::chrono::milliseconds checkPause { 10 };

    asio::awaitable<void> pauseFor(std::chrono::milliseconds length)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, length);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    void resetSocket(asio::ip::tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

}

loopback_proxy::loopback_proxy(std::string target)
    : m_target(std::move(target))
    , m_acceptor(m_io, { asio::ip::make_address_v4("127.0.0.1"), 0 })
    , m_address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()))
{
    asio::co_spawn(m_io, acceptLoop(), asio::detached);
    m_thread = std::thread([this] { m_io.run(); });
}

loopback_proxy::~loopback_proxy()
{
    m_io.stop();
    m_thread.join();
}

asio::awaitable<void> loopback_proxy::acceptLoop()
{
    while (true) {
        boost::system::error_code error;
        auto near = std::make_shared<socket>(m_io);
        co_await m_acceptor.async_accept(*near, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(m_io, serve(near), asio::detached);
        }
    }
}

asio::awaitable<void> loopback_proxy::serve(std::shared_ptr<socket> near)
{
    if (m_trouble == link_trouble::reset) {
        resetSocket(*near);
        co_return;
    }
    auto far = std::make_shared<socket>(m_io);
    boost::system::error_code error;
    auto endpoint = gateway::parseEndpoint(m_target);
    co_await far->async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        resetSocket(*near);
        co_return;
    }
    asio::co_spawn(m_io, copy(near, far, false), asio::detached);
    asio::co_spawn(m_io, copy(far, near, true), asio::detached);
}

asio::awaitable<void> loopback_proxy::copy(
    std::shared_ptr<socket> from, std::shared_ptr<socket> to, bool isAnswer)
{
    std::array<char, 8192> buffer {};
    while (true) {
        boost::system::error_code error;
        auto count = co_await from->async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        bool isLost = m_trouble == link_trouble::silent || (m_trouble == link_trouble::cutOneWay && isAnswer);
        while (isLost && (m_trouble == link_trouble::silent || m_trouble == link_trouble::cutOneWay)) {
            co_await pauseFor(checkPause);
        }
        if (isLost || m_trouble == link_trouble::reset) {
            resetSocket(*from);
            resetSocket(*to);
            co_return;
        }
        if (m_trouble == link_trouble::delayed) {
            co_await pauseFor(delay);
        }
        if (error) {
            to->shutdown(socket::shutdown_send, error);
            co_return;
        }
        co_await asio::async_write(
            *to, asio::buffer(buffer, count), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            resetSocket(*from);
            co_return;
        }
    }
}

}
