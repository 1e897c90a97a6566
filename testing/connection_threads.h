#pragma once

// One thread for each connection of a server in tests, without keeping what connections that have ended held.
//
//     connection_threads connections;
//     connections.start(listener.acceptConnection(), [this](auto& socket) { serve(socket); });
//     ...
//     connections.shutdownAll();
//     connections.joinAll();
//
// A thread that has not been joined keeps its stack mapped, and a socket object its descriptor: a server that
// kept them for its whole life ran out of descriptors in a soak of 60 daemons. Thread safe, except that
// nothing may be started during joinAll().

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cerrno>
#include <iterator>
#include <list>
#include <mutex>
#include <sys/socket.h>
#include <thread>

namespace marlsill::testing {

class connection_threads {
public:
    // Runs `serve` with the socket on a thread. A socket that `serve` leaves open stays open until its other
    // side closes it.
    template <typename Serve> void start(const Poco::Net::StreamSocket& socket, Serve serve)
    {
        std::lock_guard lock(m_mutex);
        removeEnded();
        auto& added = m_connections.emplace_back(socket);
        added.thread = std::thread([&added, serve = std::move(serve)]() mutable {
            serve(added.socket);
            added.isDone = true;
        });
    }

    // Ends all connections in both directions, so that their threads end.
    void shutdownAll()
    {
        std::lock_guard lock(m_mutex);
        for (auto& each : m_connections) {
            ::shutdown(each.socket.impl()->sockfd(), SHUT_RDWR);
        }
    }

    void joinAll()
    {
        for (auto& each : m_connections) {
            if (each.thread.joinable()) {
                each.thread.join();
            }
        }
    }

private:
    struct connection {
        explicit connection(const Poco::Net::StreamSocket& accepted)
            : socket(accepted)
        {
        }

        Poco::Net::StreamSocket socket;
        std::thread thread;
        std::atomic<bool> isDone = false;
    };

    static bool isClosed(const Poco::Net::StreamSocket& socket)
    {
        char byte = 0;
        auto count = ::recv(socket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN);
    }

    void removeEnded()
    {
        for (auto each = m_connections.begin(); each != m_connections.end();) {
            if (each->isDone && each->thread.joinable()) {
                each->thread.join();
            }
            bool isEnded = !each->thread.joinable() && isClosed(each->socket);
            each = isEnded ? m_connections.erase(each) : std::next(each);
        }
    }

    std::mutex m_mutex;
    std::list<connection> m_connections;
};

}
