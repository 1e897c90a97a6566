// Tests of keys and accounts of requests that a VM relays to peers, as it is cut off from its upstreams.

#include "marlsill/gateway/gateway.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"

#include <Poco/Net/ServerSocket.h>
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <future>
#include <thread>

namespace marlsill::testing {

namespace {

    namespace asio = boost::asio;
    using std::chrono::milliseconds;

    constexpr milliseconds declineTime { 400 }; // Of the first peer.
    constexpr milliseconds cutOffLimit { 10'000 }; // A check takes one connect timeout.
    constexpr const char* key = "key-of-north";

    std::string hostOf(int number) { return "127.0.0." + std::to_string(number); }

    unsigned short freePort()
    {
        Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
        return probe.address().port();
    }

    // With the key of one account, or with none.
    std::shared_ptr<const gateway::configuration> makeConfiguration(std::uint64_t version, bool hasKey)
    {
        std::vector<gateway::route> routes;
        routes.push_back({ .name = "once",
            .host = "h.example",
            .pathPrefix = "/once/",
            .timeout = milliseconds(3'000),
            .weightedServices = { { "s" } } });
        std::vector<accounts::account_key> keys;
        if (hasKey) {
            keys.push_back({ accounts::digestOf(key), 0 });
        }
        auto directory = std::make_shared<const accounts::account_directory>(
            std::vector<accounts::client_account> { { .name = "north" } }, std::move(keys));
        return std::make_shared<const gateway::configuration>(
            version, std::move(routes), gateway::caller_limits(), std::move(directory));
    }

    // A VM that reaches none of its upstreams, a first peer that declines after a while, and a second peer
    // that serves; all on one thread.
    class cut_off_fleet {
    public:
        cut_off_fleet()
            : m_upstream("u0", gateway::wire_fields())
            , m_relayPort(freePort())
            , m_callerPort(freePort())
            , m_vm(m_io, { .callerEndpoint = { asio::ip::make_address_v4(hostOf(1)), m_callerPort } }, {})
            , m_peer(m_io, { .callerEndpoint = { asio::ip::make_address_v4(hostOf(1)), 0 } }, {})
            , m_relay(m_io, { .port = m_relayPort }, {})
            , m_thread([this] { m_io.run(); })
        {
            run([&] {
                registerUpstreams(
                    m_peer, { { .id = "u0", .service = "s", .address = m_upstream.address(), .slots = 3 } });
                addServer(2, [this](auto) -> asio::awaitable<std::optional<http::response_message>> {
                    asio::steady_timer timer(m_io, declineTime);
                    co_await timer.async_wait(asio::use_awaitable);
                    co_return gateway::makeDecliningReply("not now");
                });
                addServer(3, [this](auto request) { return m_peer.serveRelayed(std::move(request)); });
                std::vector<placement::upstream_entry> unreachable;
                for (auto& each : m_refusing) {
                    each.bind(Poco::Net::SocketAddress(hostOf(1), 0));
                    unreachable.push_back({ .id = "x" + std::to_string(unreachable.size()),
                        .service = "s",
                        .address = each.address().toString(),
                        .slots = 3 });
                }
                registerUpstreams(m_vm, unreachable);
                m_vm.setRelay(m_relay, [](const auto&) {
                    return std::vector<std::string> { hostOf(2), hostOf(3) };
                });
                REQUIRE_FALSE(m_vm.start());
            });
            awaitCutOff();
        }

        ~cut_off_fleet()
        {
            m_io.stop();
            m_thread.join();
        }

        raw_caller connect() { return raw_caller("127.0.0.1:" + std::to_string(m_callerPort)); }
        scripted_upstream& upstream() { return m_upstream; }
        gateway::gateway& vm() { return m_vm; }
        gateway::gateway& peer() { return m_peer; }

        // Runs `work` on the thread of the VMs and waits for it.
        template <typename Work> void run(Work work)
        {
            std::promise<void> done;
            asio::post(m_io, [&] {
                work();
                done.set_value();
            });
            done.get_future().wait();
        }

    private:
        static void registerUpstreams(
            gateway::gateway& gateway, const std::vector<placement::upstream_entry>& entries)
        {
            gateway.requestForwarder().setConfiguration(makeConfiguration(5, true));
            gateway.requestForwarder().changeUpstreams(entries, {});
            gateway.setUpstreamsKnown();
        }

        void addServer(int number, gateway::serve_function serve)
        {
            m_servers.push_back(std::make_unique<gateway::session_server>(m_io,
                gateway::session_server_options {
                    .endpoint = { asio::ip::make_address_v4(hostOf(number)), m_relayPort },
                    .limits = [] { return gateway::caller_limits(); } },
                std::move(serve)));
            REQUIRE_FALSE(m_servers.back()->start());
        }

        // Sends a request, for which the VM finds its upstreams unreachable.
        void awaitCutOff()
        {
            std::promise<void> cutOff;
            run([&] {
                m_vm.requestForwarder().reachability().setListener([&](bool) { cutOff.set_value(); });
            });
            auto isCutOff = cutOff.get_future();
            auto caller = connect();
            caller.sendRequest(
                "GET", "/once/a", "first", 3'000, {}, std::string("Authorization: Bearer ") + key + "\r\n");
            CHECK(isCutOff.wait_for(cutOffLimit) == std::future_status::ready);
            caller.receive();
            run([&] { m_vm.requestForwarder().reachability().setListener({}); });
        }

        std::array<Poco::Net::ServerSocket, 3> m_refusing; // Nobody listens on their ports, nor gets them.
        scripted_upstream m_upstream;
        const unsigned short m_relayPort;
        const unsigned short m_callerPort;
        asio::io_context m_io { 1 };
        asio::executor_work_guard<asio::io_context::executor_type> m_workGuard = asio::make_work_guard(m_io);
        gateway::gateway m_vm;
        gateway::gateway m_peer;
        gateway::request_relay m_relay;
        std::vector<std::unique_ptr<gateway::session_server>> m_servers;
        std::thread m_thread;
    };

}

TEST_CASE("A request that a VM relays is checked again before each sending, and by the peer")
{
    // Guards against a key that was withdrawn while the first peer was asked. A peer of an earlier build does
    // not check it.
    struct row {
        const char* name;
        bool isKnownToVm; // From the time on at which the first peer was asked.
        bool isKnownToPeer;
        bool isFresh; // At the VM.
        int status;
    };
    const row rows[] = { { "the key stays", true, true, true, 200 }, { "withdrawn", false, false, true, 401 },
        { "known to the VM as withdrawn", false, true, true, 401 },
        { "known to the peer as withdrawn", true, false, true, 401 },
        { "the VM cannot check keys any more", true, true, false, 503 } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        cut_off_fleet fleet;
        auto caller = fleet.connect();
        caller.sendRequest("POST", "/once/a", "r1", 2'500, "body",
            std::string("Authorization: Bearer ") + key + "\r\nX-Client-Account: south\r\n");
        std::this_thread::sleep_for(declineTime / 2);
        fleet.run([&] {
            fleet.vm().requestForwarder().setConfiguration(makeConfiguration(6, each.isKnownToVm));
            fleet.peer().requestForwarder().setConfiguration(makeConfiguration(6, each.isKnownToPeer));
            fleet.vm().setKeyFreshnessCheck([isFresh = each.isFresh] { return isFresh; });
        });
        auto answer = caller.receive();
        CHECK(answer.status == each.status);
        CHECK(answer.field("Retry-After").empty() == (each.status != 503));
        CHECK(fleet.upstream().runsOf("r1") == (each.status == 200 ? 1 : 0));
        if (each.status == 200) {
            auto head = fleet.upstream().lastHead();
            CHECK(head.find("\r\nX-Client-Account: north\r\n") != std::string::npos);
            CHECK(head.find("south") == std::string::npos);
            CHECK(head.find(key) == std::string::npos);
            CHECK(head.find("Marlsill-Relay") == std::string::npos);
        }
    }
}

}
