#pragma once

// Idle connections to upstreams, by upstream identifier.
//
//     auto link = pool.take("bookings-3", { .maxIdle = std::chrono::milliseconds(1500) }, now);
//     pool.put("bookings-3", link);
//
// Used by one event loop.

#include "marlsill/gateway/upstream_connection.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::gateway {

// Settings of a pool.
struct connection_pool_options {
    std::size_t maxIdlePerUpstream = 8; // Two and a half times the slots of a small upstream.
};

// What a request asks of a pooled connection.
struct link_wish {
    std::chrono::milliseconds maxIdle { 60'000 }; // Since its last answer.
};

class connection_pool {
public:
    explicit connection_pool(connection_pool_options options = {})
        : m_options(options)
    {
    }

    // Returns the connection used last that is open, quiet and fresh enough; nullptr if there is none.
    std::shared_ptr<upstream_connection> take(
        const std::string& upstream, const link_wish& wish, steady_clock::time_point now);

    // Keeps a reusable connection and drops it when the other side ends it.
    void put(const std::string& upstream, const std::shared_ptr<upstream_connection>& link);

    // Closes all idle connections to an upstream.
    void drop(const std::string& upstream);

    // Closes idle connections that the upstream is about to close, and all to upstreams that `isKnown`
    // rejects.
    template <typename Predicate> void sweep(Predicate isKnown, steady_clock::time_point now)
    {
        for (auto& [upstream, links] : m_idle) {
            bool isUnknown = !isKnown(upstream);
            std::erase_if(links, [&](const auto& link) {
                bool isOver = isUnknown || hasPassed(link->keepAliveUntil(), now);
                if (isOver) {
                    link->abort();
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
