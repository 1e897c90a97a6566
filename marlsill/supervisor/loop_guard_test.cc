#include "marlsill/supervisor/loop_guard.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <new>
#include <stdexcept>
#include <vector>

namespace marlsill {

namespace asio = boost::asio;

TEST_CASE("An exception of one handler does not end the event loop")
{
    struct row {
        const char* name;
        std::function<void()> handler;
    };
    const row rows[] = {
        { "malformed input", [] { throw std::invalid_argument("not UTF-8"); } },
        { "no memory", [] { throw std::bad_alloc(); } },
        { "no standard exception", [] { throw 1; } },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        asio::io_context loop { 1 };
        std::vector<std::string> done;
        asio::post(loop, each.handler);
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void> {
                each.handler();
                co_return;
            },
            asio::detached);
        asio::post(loop, [&] { done.push_back("next"); });
        CHECK_NOTHROW(runEventLoop(loop, "test"));
        CHECK(done.size() == 1);
    }
}

TEST_CASE("A supervised coroutine is started again after an exception, and not after its end")
{
    asio::io_context loop { 1 };
    int starts = 0;
    spawnSupervised(loop, "test", [&]() -> asio::awaitable<void> {
        if (++starts < 3) {
            throw std::runtime_error("failed");
        }
        co_return;
    });
    runEventLoop(loop, "test");
    CHECK(starts == 3);
}

}
