#pragma once

// A pool of idle connections to upstreams, keyed by upstream identifier.
//
//     auto connection = pool.take("bookings-3", { .maxIdle = std::chrono::milliseconds(1500) }, now);
//     pool.put("bookings-3", connection);
//
// Not thread safe; used from a single event loop.

#include "marlsill/gateway/upstream_connection.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::gateway {

// Settings of a pool.
struct connection_pool_options {
    std::size_t maxIdlePerUpstream = 8; // 2.5 times the slots of a small upstream.
};

// What a request requires of a pooled connection.
struct connection_requirements {
    std::chrono::milliseconds maxIdle { 60'000 }; // Since its last response.
    std::uint64_t requestHash = 0; // Of the request's id, which it must not have carried; 0: any.
    bool isHead = false; // Whether it must have carried HEAD requests only, or none.
};

class connection_pool {
public:
    explicit connection_pool(connection_pool_options options = {})
        : m_options(options)
    {
    }

    // Removes and returns the most recently used connection that is open, has no unread input and meets the
    // requirements. Returns nullptr if there is none.
    std::shared_ptr<upstream_connection> take(const std::string& upstream,
        const connection_requirements& requirements, steady_clock::time_point now);

    // Adds a connection, and removes it when the upstream closes it or sends on it. Closes it instead if it
    // is not reusable or the pool has enough connections to this upstream.
    void put(const std::string& upstream, const std::shared_ptr<upstream_connection>& connection);

    // Closes all idle connections to an upstream.
    void closeIdle(const std::string& upstream);

    // Closes idle connections whose keep-alive time is over, and all connections to upstreams for which
    // `isKnown` returns false.
    template <typename Predicate> void sweep(Predicate isKnown, steady_clock::time_point now)
    {
        for (auto& [upstream, connections] : m_idle) {
            bool isUnknown = !isKnown(upstream);
            std::erase_if(connections, [&](const auto& connection) {
                bool isOver = isUnknown || hasPassed(connection->keepAliveUntil(), now);
                if (isOver) {
                    connection->abort();
                }
                return isOver;
            });
        }
        std::erase_if(m_idle, [](const auto& each) { return each.second.empty(); });
    }

private:
    const connection_pool_options m_options;
    std::map<std::string, std::vector<std::shared_ptr<upstream_connection>>, std::less<>> m_idle;
};

}
