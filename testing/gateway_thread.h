#pragma once

// A gateway on a thread of its own, on a free port of 127.0.0.1, for tests.
//
//     gateway_thread vm;
//     vm.run([&](auto& gateway) { gateway.requestForwarder().setConfiguration(rules); });
//     raw_caller caller(vm.address());

#include "marlsill/gateway/gateway.h"

#include <Poco/Net/ServerSocket.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

namespace marlsill::testing {

class gateway_thread {
public:
    // The caller endpoint of the options is set here.
    explicit gateway_thread(gateway::gateway_options options = {})
    {
        options.callerEndpoint = { boost::asio::ip::make_address_v4("127.0.0.1"), freePort() };
        m_address = "127.0.0.1:" + std::to_string(options.callerEndpoint.port());
        m_gateway = std::make_unique<gateway::gateway>(m_io, options, gateway::wire_fields());
        REQUIRE_FALSE(m_gateway->start());
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~gateway_thread()
    {
        m_io.stop();
        m_thread.join();
    }

    const std::string& address() const { return m_address; }

    // Schedules `work` on the gateway's thread.
    void post(std::function<void(gateway::gateway&)> work)
    {
        boost::asio::post(m_io, [this, work = std::move(work)] { work(*m_gateway); });
    }

    // Runs `work` on the gateway's thread and waits for it.
    template <typename Work> void run(Work work)
    {
        std::promise<void> done;
        boost::asio::post(m_io, [&] {
            work(*m_gateway);
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    static unsigned short freePort()
    {
        Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
        return probe.address().port();
    }

    boost::asio::io_context m_io { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard
        = boost::asio::make_work_guard(m_io);
    std::unique_ptr<gateway::gateway> m_gateway;
    std::string m_address;
    std::thread m_thread;
};

}
