#pragma once

// The routing configuration of the request path: one immutable version of it.
//
//     configuration current(version, std::move(routes), limits, accounts);
//     if (const auto* found = current.routes().find(host, path))
//         forward(*found);

#include "marlsill/accounts/account_directory.h"
#include "marlsill/gateway/route_index.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace marlsill::gateway {

// Limits on the size and the timing of callers' requests.
struct caller_limits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 3'000 }; // From the first byte to the end of the header.
    std::chrono::milliseconds idleTimeout { 15'000 }; // Without a request in flight.
};

// One version of the configuration. A higher version replaces a lower one.
class configuration {
public:
    configuration(std::uint64_t version, std::vector<route> routes, caller_limits limits = {},
        std::shared_ptr<const accounts::account_directory> accounts = nullptr)
        : m_version(version)
        , m_limits(limits)
        , m_routes(std::move(routes))
        , m_index(m_routes)
        , m_accounts(std::move(accounts))
    {
    }

    // The index refers to the routes, which a move leaves in place and a copy would not.
    configuration(configuration&&) = default;
    configuration& operator=(configuration&&) = default;
    configuration(const configuration&) = delete;
    configuration& operator=(const configuration&) = delete;

    std::uint64_t version() const { return m_version; }
    const caller_limits& limits() const { return m_limits; }
    const std::vector<route>& routeList() const { return m_routes; }
    const route_index& routes() const { return m_index; }

    // Returns the client accounts, or null if the configuration has none, so that nobody needs a key.
    const std::shared_ptr<const accounts::account_directory>& accounts() const { return m_accounts; }

private:
    std::uint64_t m_version = 0;
    caller_limits m_limits;
    std::vector<route> m_routes;
    route_index m_index;
    std::shared_ptr<const accounts::account_directory> m_accounts;
};

}
