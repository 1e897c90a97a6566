#pragma once

// Accepts connections and passes each readable one to a worker thread. Idle connections occupy no thread.
//
//     connection_server server(options, [&](http::channel& caller) { return serveOne(caller); });
//     server.start();
//     server.drain(limit);

#include "marlsill/base/time.h"
#include "marlsill/http/channel.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace marlsill::entry {

// Reads one request from a readable connection and responds to it. Returns whether to keep the connection
// open.
using serve_function = std::function<bool(http::channel& caller)>;

// Options of a connection_server.
struct server_options {
    Poco::Net::SocketAddress address;
    int workers = 64; // Worker threads, which bounds the requests served at once.
    std::size_t maxConnections = 20'000; // Further connections are closed at once.
    std::chrono::milliseconds idleTimeout { 60'000 };
};

// A listening socket, one polling thread and a pool of worker threads.
class connection_server {
public:
    // Binds the address. Throws Poco::Exception if that fails.
    connection_server(const server_options& options, serve_function serve);

    ~connection_server();

    // Starts the polling thread and the workers.
    void start();

    // Returns the bound address, with the actual port if port 0 was requested.
    Poco::Net::SocketAddress address() const { return m_address; }

    // Closes new connections unread and idle ones, and waits until `limit` for the requests in flight. Those
    // that are then unanswered go on until they have ended, which the destructor waits for.
    void drain(deadline limit);

    // Returns whether drain() was called. Responses should then ask callers to close the connection.
    bool isDraining() const { return m_isDraining.load(); }

    // Returns the number of open connections.
    std::size_t connections() const { return m_openConnections.load(); }

private:
    struct connection {
        connection(http::channel accepted, deadline idle)
            : channel(std::move(accepted))
            , idleDeadline(idle)
        {
        }

        http::channel channel;
        deadline idleDeadline;
    };

    void runPoller(const std::stop_token& stop);
    void runWorker(const std::stop_token& stop);
    void acceptPending();
    // Moves a readable connection from the idle ones to the queue of the workers.
    void enqueueReadable(const Poco::Net::Socket& socket);
    // Closes the idle connections whose deadline has passed; all of them while draining.
    void closeExpired(steady_clock::time_point now);
    // Starts to poll a connection for its next request.
    void addIdle(std::shared_ptr<connection> idle);

    const server_options m_options;
    const serve_function m_serve;
    Poco::Net::ServerSocket m_socket;
    Poco::Net::SocketAddress m_address;
    Poco::Net::PollSet m_pollSet;
    std::atomic<bool> m_isDraining = false;
    std::atomic<std::size_t> m_openConnections = 0;
    std::atomic<int> m_activeConnections = 0; // Queued for a worker or being served.

    std::mutex m_mutex; // Guards m_idle and m_readable.
    std::condition_variable_any m_readableChanged;
    std::map<int, std::shared_ptr<connection>> m_idle; // By file descriptor.
    std::deque<std::shared_ptr<connection>> m_readable;

    std::jthread m_poller;
    std::vector<std::jthread> m_workers; // Last, as they use the other members until they are joined.
};

}
