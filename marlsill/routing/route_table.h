#pragma once

// Maps the host and path of a request to a service.
//
//     route_table table(routes);
//     auto path = canonicalPath("/bookings/17?day=2");
//     if (path)
//         auto service = table.find("depot.example", *path);
//
// The longest matching path prefix wins. Prefixes match whole segments, so /bookings does not match
// /bookings2. Of two routes with the same prefix, one for the exact host takes precedence over one for all
// hosts.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marlsill::routing {

// Index of a service in snapshot::services.
using service_index = std::uint32_t;

// Routes a host and a path prefix to a service. An empty host matches every host.
struct route {
    std::string host;
    std::string pathPrefix;
    service_index service = 0;
};

// Returns the path of a request target, percent-decoded and without query and fragment. Returns std::nullopt
// if the target is not an absolute path or if an upstream could interpret it differently: dot segments, empty
// segments, backslashes, encoded slashes, malformed percent-encoding and control characters.
std::optional<std::string> canonicalPath(std::string_view target);

// Returns whether `path` equals `prefix` or lies below it. Whole segments are compared; a trailing slash of
// `prefix` is ignored.
bool matchesPathPrefix(std::string_view path, std::string_view prefix);

// An immutable routing table. Thread safe.
class route_table {
public:
    route_table() = default;
    explicit route_table(std::span<const route> routes);

    // Returns the service for a request, or std::nullopt if no route matches. `path` is a canonical path; a
    // port in `host` is ignored. The cost depends on the number of path segments, not on the number of
    // routes.
    std::optional<service_index> find(std::string_view host, std::string_view path) const;

    // Returns the number of routes.
    std::size_t size() const { return m_routes.size(); }

private:
    std::optional<service_index> findExact(
        std::uint64_t hostHash, std::string_view host, std::string_view path) const;

    std::vector<route> m_routes;
    std::unordered_multimap<std::uint64_t, std::uint32_t>
        m_index; // Index into m_routes by the hash of host and path prefix.
};

}
