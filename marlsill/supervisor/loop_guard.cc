#include "marlsill/supervisor/loop_guard.h"

#include "marlsill/events/events.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

namespace marlsill {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds restartPause { 100 };

    asio::awaitable<void> supervise(
        asio::io_context& loop, std::string name, std::function<asio::awaitable<void>()> start)
    {
        while (true) {
            std::exception_ptr failure;
            try {
                co_await start();
            } catch (...) {
                failure = std::current_exception();
            }
            if (!failure) {
                co_return;
            }
            logEvent(event::partFailed, { { "part", name }, { "cause", describeException(failure) } });
            asio::steady_timer timer(loop, restartPause);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            logEvent(event::partRestarted, { { "part", name } });
        }
    }

}

std::string describeException(const std::exception_ptr& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& error) {
        return error.what();
    } catch (...) {
        return "an exception of an unknown type";
    }
}

void runEventLoop(asio::io_context& loop, std::string_view name)
{
    while (true) {
        try {
            loop.run();
            return;
        } catch (...) {
            logEvent(event::handlerFailed,
                { { "loop", std::string(name) }, { "cause", describeException(std::current_exception()) } });
        }
    }
}

void spawnSupervised(asio::io_context& loop, std::string name, std::function<asio::awaitable<void>()> start)
{
    asio::co_spawn(loop, supervise(loop, std::move(name), std::move(start)), asio::detached);
}

}
