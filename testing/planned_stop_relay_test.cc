// Tests of planned stops of a VM that is cut off from its upstreams and passes requests on to peers.

#include "marlsill/gateway/gateway.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"

#include <Poco/Net/ServerSocket.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <thread>

namespace marlsill::testing {

namespace {

    namespace asio = boost::asio;
    using std::chrono::milliseconds;

    constexpr milliseconds stopTime { 2'000 }; // Until the requests that are left are given up.

    asio::ip::address_v4 hostAddress(int number)
    {
        return asio::ip::make_address_v4("127.0.0." + std::to_string(number));
    }

    unsigned short freePort()
    {
        Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
        return probe.address().port();
    }

    std::shared_ptr<const gateway::configuration> makeConfiguration()
    {
        std::vector<gateway::route> routes;
        for (bool isAtMostOnce : { true, false }) {
            routes.push_back({ .name = isAtMostOnce ? "once" : "repeat",
                .host = "h.example",
                .pathPrefix = isAtMostOnce ? "/once/" : "/repeat/",
                .isAtMostOnce = isAtMostOnce,
                .timeout = milliseconds(10'000),
                .latencyObjective = milliseconds(200),
                .maxUpstreams = 2,
                .weightedServices = { { "s" } } });
        }
        return std::make_shared<const gateway::configuration>(5, std::move(routes));
    }

    // Runs an event loop until it is stopped, as a process does. It must exist longer than what has sockets
    // in it.
    class loop_thread {
    public:
        loop_thread()
            : m_thread([this] { io.run(); })
        {
        }

        ~loop_thread() { stop(); }

        void stop()
        {
            io.stop();
            if (m_thread.joinable()) {
                m_thread.join();
            }
        }

        template <typename Work> void run(Work work)
        {
            std::promise<void> done;
            asio::post(io, [&] {
                work();
                done.set_value();
            });
            done.get_future().wait();
        }

        asio::io_context io { 1 };

    private:
        asio::executor_work_guard<asio::io_context::executor_type> m_guard = asio::make_work_guard(io);
        std::thread m_thread;
    };

    // A VM that reaches none of its upstreams, a first peer that declines after a while, and a second peer
    // that serves. The VM ends like a process once its stop is done.
    class cut_off_fleet {
    public:
        explicit cut_off_fleet(milliseconds declineAfter)
            : m_upstream("u0", gateway::wire_fields())
            , m_relayPort(freePort())
            , m_callerPort(freePort())
        {
            startPeers(declineAfter);
            startVm();
        }

        ~cut_off_fleet()
        {
            if (m_ending.joinable()) {
                m_ending.join();
            }
            m_vmLoop->stop();
            m_vm.reset();
            m_peerLoop.stop();
        }

        scripted_upstream& upstream() { return m_upstream; }
        raw_caller connect() { return raw_caller("127.0.0.1:" + std::to_string(m_callerPort)); }

        void beginStop()
        {
            m_vmLoop->run([this] {
                m_vm->beginStop(deadlineAfter(stopTime), [this] {
                    m_vmLoop->io.stop();
                    m_done.set_value();
                });
            });
            m_ending = std::thread([this] {
                m_done.get_future().wait();
                m_vmLoop->stop();
                m_vm.reset(); // Closes the connections.
            });
        }

    private:
        void startPeers(milliseconds declineAfter)
        {
            m_peer = std::make_unique<gateway::gateway>(m_peerLoop.io,
                gateway::gateway_options { .callerEndpoint = { hostAddress(1), 0 } }, gateway::wire_fields());
            m_peerLoop.run([&] {
                placement::upstream_entry entry {
                    .id = "u0", .service = "s", .address = m_upstream.address(), .slots = 3
                };
                m_peer->requestForwarder().setConfiguration(makeConfiguration());
                m_peer->requestForwarder().changeUpstreams(std::span(&entry, 1), {});
                m_peer->setUpstreamsKnown();
                addServer(2, [this, declineAfter](auto) -> serve_result {
                    asio::steady_timer timer(m_peerLoop.io, declineAfter);
                    co_await timer.async_wait(asio::use_awaitable);
                    co_return gateway::makeDecliningReply("not now");
                });
                addServer(3, [this](auto request) { return m_peer->serveRelayed(std::move(request)); });
            });
        }

        void startVm()
        {
            m_vmLoop = std::make_unique<loop_thread>();
            m_vm = std::make_unique<gateway::gateway>(m_vmLoop->io,
                gateway::gateway_options { .callerEndpoint = { hostAddress(1), m_callerPort } },
                gateway::wire_fields());
            m_relay = std::make_unique<gateway::request_relay>(
                m_vmLoop->io, gateway::request_relay_options { .port = m_relayPort }, gateway::wire_fields());
            std::promise<void> cutOff;
            m_vmLoop->run([&] {
                m_vm->requestForwarder().setConfiguration(makeConfiguration());
                std::vector<placement::upstream_entry> unreachable;
                for (const char* id : { "x0", "x1", "x2" }) {
                    unreachable.push_back({ .id = id,
                        .service = "s",
                        .address = "127.0.0.1:" + std::to_string(freePort()),
                        .slots = 3 });
                }
                m_vm->requestForwarder().changeUpstreams(unreachable, {});
                m_vm->setUpstreamsKnown();
                m_vm->setRelay(*m_relay, [](const auto&) {
                    return std::vector<std::string> { hostAddress(2).to_string(),
                        hostAddress(3).to_string() };
                });
                m_vm->requestForwarder().reachability().setListener([&](bool) { cutOff.set_value(); });
                REQUIRE_FALSE(m_vm->start());
            });
            auto caller = connect();
            caller.sendRequest("GET", "/repeat/a", "first", 3'000); // Finds the upstreams unreachable.
            cutOff.get_future().wait();
            caller.receive();
            m_vmLoop->run([&] { m_vm->requestForwarder().reachability().setListener({}); });
        }

        using serve_result = asio::awaitable<std::optional<http::response_message>>;

        void addServer(int number, gateway::serve_function serve)
        {
            m_servers.push_back(std::make_unique<gateway::session_server>(m_peerLoop.io,
                gateway::session_server_options { .endpoint = { hostAddress(number), m_relayPort },
                    .limits = [] { return gateway::caller_limits(); } },
                std::move(serve)));
            REQUIRE_FALSE(m_servers.back()->start());
        }

        scripted_upstream m_upstream;
        const unsigned short m_relayPort;
        const unsigned short m_callerPort;
        loop_thread m_peerLoop;
        std::unique_ptr<gateway::gateway> m_peer;
        std::vector<std::unique_ptr<gateway::session_server>> m_servers;
        std::unique_ptr<loop_thread> m_vmLoop;
        std::unique_ptr<gateway::request_relay> m_relay;
        std::unique_ptr<gateway::gateway> m_vm;
        std::promise<void> m_done;
        std::thread m_ending;
    };

}

TEST_CASE("A request that a stopping VM has passed on to a peer gets an answer")
{
    // Guards against an end of a stop that gives up only what is at this VM's own upstreams, and against a
    // peer that gets a request after the time in which the VM still starts any.
    struct row {
        const char* name;
        const char* method;
        const char* path;
        milliseconds sentAfter; // The begin of the stop; negative: before it.
        milliseconds declineAfter; // By the first peer.
        milliseconds work;
        int status;
        int runs;
    };
    const row rows[] = {
        { "finished in time", "POST", "/once/a", milliseconds(100), milliseconds(0), milliseconds(300), 200,
            1 },
        { "at the peer at the end, may run once", "POST", "/once/a", milliseconds(-100), milliseconds(0),
            milliseconds(4'000), 504, 1 },
        { "at the peer at the end, repeatable", "GET", "/repeat/a", milliseconds(-100), milliseconds(0),
            milliseconds(4'000), 504, 1 },
        { "sent early in the stop", "POST", "/once/a", milliseconds(300), milliseconds(0),
            milliseconds(4'000), 504, 1 },
        { "sent late in the stop", "POST", "/once/a", milliseconds(1'200), milliseconds(0), milliseconds(300),
            503, 0 },
        { "declined late in the stop", "POST", "/once/a", milliseconds(800), milliseconds(600),
            milliseconds(4'000), 503, 0 },
        { "declined after the end of the stop", "POST", "/once/a", milliseconds(800), milliseconds(2'500),
            milliseconds(0), 504, 0 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        cut_off_fleet fleet(each.declineAfter);
        std::optional<raw_caller> caller(fleet.connect());
        auto busy = fleet.connect(); // Keeps the VM from ending early.
        fleet.upstream().setWorkTime(milliseconds(4'000));
        busy.sendRequest("GET", "/repeat/a", "busy", 10'000);
        std::this_thread::sleep_for(each.declineAfter + milliseconds(100));
        fleet.upstream().setWorkTime(each.work);
        auto send = [&] { caller->sendRequest(each.method, each.path, "r", 10'000, "b"); };
        if (each.sentAfter < milliseconds(0)) {
            send();
            std::this_thread::sleep_for(-each.sentAfter);
        }
        fleet.beginStop();
        if (each.sentAfter >= milliseconds(0)) {
            caller.emplace(fleet.connect()); // The one from before is closed unread.
            std::this_thread::sleep_for(each.sentAfter);
            send();
        }
        CHECK(caller->receive().status == each.status);
        CHECK(fleet.upstream().runsOf("r") == each.runs);
    }
}

}
