// Tests that nothing is sent on a connection once the time limit has passed.

#include "marlsill/gateway/upstream_connection.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <thread>

namespace marlsill::gateway {

TEST_CASE("Nothing is sent once the time limit of a request has passed")
{
    // Guards against a process that was stopped between the check of the limit and the sending.
    struct row {
        const char* name;
        std::chrono::milliseconds stopBeforeConnectEnds;
        std::chrono::milliseconds stopBeforeSend;
        bool isOpen;
        exchange_status status;
    };
    constexpr std::chrono::milliseconds limit { 100 };
    const row rows[] = {
        { "in time", {}, {}, true, exchange_status::timedOut }, // The upstream does not answer.
        { "stopped during the connect", 2 * limit, {}, false, {} },
        { "stopped before it is sent", {}, 2 * limit, true, exchange_status::timedOut },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
        asio::io_context io { 1 };
        asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4("127.0.0.1"), server.address().port());
        auto connection = std::make_shared<upstream_connection>(io, endpoint);
        auto until = deadlineAfter(limit);
        auto opened = asio::co_spawn(io, connection->open(until), asio::use_future);
        io.poll_one(); // Begins to connect.
        std::this_thread::sleep_for(each.stopBeforeConnectEnds);
        io.restart();
        io.run();
        REQUIRE(opened.get() == each.isOpen);
        if (!each.isOpen) {
            continue;
        }
        auto accepted = server.acceptConnection();
        std::this_thread::sleep_for(each.stopBeforeSend);
        auto result = asio::co_spawn(io,
            connection->exchange(
                "GET / HTTP/1.1\r\n\r\n", { .matchesRequest = [](const auto&) { return true; } }, until),
            asio::use_future);
        io.restart();
        io.run();
        CHECK(result.get().status == each.status);
        char byte = 0;
        CHECK((accepted.receiveBytes(&byte, 1) == 1) == (each.stopBeforeSend.count() == 0));
    }
}

}
