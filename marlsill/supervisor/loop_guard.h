#pragma once

// Keeps event loops and their endless coroutines running when a handler lets an exception out.
//
//     spawnSupervised(io, "sweep", [this] { return sweepLoop(); });
//     runEventLoop(io, "traffic");
//
// Boost.Asio passes an exception of a handler on to whoever runs the loop, where it would end the process
// with all requests in flight, and drops that of a detached coroutine, which then ends without a trace. Here
// it ends the handler alone, or has the coroutine started again, with a log line.

#include <utility> // Boost.Asio 1.74 needs it and does not include it.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string>
#include <string_view>

namespace marlsill {

// Returns the text of an exception.
std::string describeException(const std::exception_ptr& failure);

// Runs a loop until it is stopped or has no work left.
void runEventLoop(boost::asio::io_context& loop, std::string_view name);

// Spawns a coroutine that `start` returns. After an exception, `start` is called again after a pause; once
// the coroutine has returned it is not. What `start` refers to must outlive the loop.
void spawnSupervised(
    boost::asio::io_context& loop, std::string name, std::function<boost::asio::awaitable<void>()> start);

}
