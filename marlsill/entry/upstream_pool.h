#pragma once

// Pool of idle connections to upstreams, for reuse.
//
//     auto connection = pool.take(address, steady_clock::now()); // Open a new one if there is none.
//     pool.put(address, std::move(*connection), steady_clock::now());

#include "marlsill/base/time.h"
#include "marlsill/http/channel.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace marlsill::entry {

// A connection and the time at which it was opened.
struct pooled_connection {
    http::channel channel;
    steady_clock::time_point openedAt;
};

// Options of an upstream_pool.
struct pool_options {
    std::size_t maxIdlePerUpstream = 8;
    std::chrono::milliseconds idleTimeout { 15'000 };
};

// Idle connections by upstream address. Thread safe.
class upstream_pool {
public:
    explicit upstream_pool(pool_options options = {});

    // Returns the most recently used idle connection that is still open, or std::nullopt if there is none.
    // Connections that invalidate() covers are never returned.
    std::optional<pooled_connection> take(const std::string& address, steady_clock::time_point now);

    // Keeps a connection for reuse. Closes it instead if the upstream has enough idle connections, if it was
    // invalidated, or if it is not idle and open.
    void put(const std::string& address, pooled_connection connection, steady_clock::time_point now);

    // Closes the idle connections that were opened at or before `openedUntil`; those in use are closed when
    // they are put back. Returns the number of idle connections that were closed.
    std::size_t invalidate(const std::string& address, steady_clock::time_point openedUntil);

private:
    struct idle_connection {
        pooled_connection connection;
        deadline idleDeadline;
    };

    struct upstream_entry {
        std::vector<idle_connection> idle;
        steady_clock::time_point invalidatedUntil {}; // Connections opened up to then are not reused.
    };

    const pool_options m_options;
    std::mutex m_mutex; // Guards m_upstreams.
    std::map<std::string, upstream_entry> m_upstreams;
};

}
