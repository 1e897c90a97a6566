#include "marlsill/supervisor/loop_guard.h"

#include "marlsill/events/events.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <new>

namespace marlsill {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds restartPause { 100 };

    // Logs a failure; does nothing if there is no memory even for that.
    void report(event number, std::string_view kind, std::string_view name, const std::exception_ptr& failure)
    {
        try {
            logEvent(number,
                { { kind, std::string(name) }, { "cause", failure ? describeException(failure) : "" } });
        } catch (const std::bad_alloc&) {
            return;
        }
    }

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
            report(event::partFailed, "part", name, failure);
            asio::steady_timer timer(loop, restartPause);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            report(event::partRestarted, "part", name, nullptr);
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
            report(event::handlerFailed, "loop", name, std::current_exception());
        }
    }
}

void spawnSupervised(asio::io_context& loop, std::string name, std::function<asio::awaitable<void>()> start)
{
    asio::co_spawn(loop, supervise(loop, std::move(name), std::move(start)), asio::detached);
}

}
