// Tests of the drain of the blocking connection server.

#include "marlsill/entry/connection_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <doctest/doctest.h>
#include <future>
#include <thread>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;

}

TEST_CASE("A drain ends at its limit, and callers that come during it are turned away at once")
{
    entry::connection_server server(
        { .address = Poco::Net::SocketAddress("127.0.0.1", 0), .workers = 4 }, [](http::channel& caller) {
            if (caller.fill(deadlineAfter(milliseconds(1'000))) != http::io_status::ok) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(3'000));
            caller.write("x", deadlineAfter(milliseconds(1'000)));
            return false;
        });
    server.start();
    Poco::Net::StreamSocket busy(server.address());
    busy.sendBytes("r", 1);
    std::this_thread::sleep_for(milliseconds(200));
    auto begunAt = steady_clock::now();
    auto drained = std::async(std::launch::async, [&] { server.drain(deadlineAfter(milliseconds(1'000))); });
    std::this_thread::sleep_for(milliseconds(200));
    auto late = std::async(std::launch::async, [&] {
        auto connectedAt = steady_clock::now();
        try {
            Poco::Net::StreamSocket second(server.address());
            second.setReceiveTimeout(Poco::Timespan(5, 0));
            second.sendBytes("r", 1);
            char byte = 0;
            second.receiveBytes(&byte, 1);
        } catch (const Poco::Exception&) {
        }
        return steady_clock::now() - connectedAt;
    });
    drained.wait();
    auto took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - begunAt);
    auto waited = std::chrono::duration_cast<milliseconds>(late.get());
    CAPTURE(took.count());
    CAPTURE(waited.count());
    CHECK(took < milliseconds(1'300));
    CHECK(waited < milliseconds(500));
}

}
