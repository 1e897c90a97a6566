// Measures the mean time of a lookup in a table of 37,000 routes.

#include "marlsill/base/time.h"
#include "marlsill/routing/route_table.h"

#include <cstdio>

int main()
{
    using namespace marlsill;
    constexpr int routeCount = 37'000;
    constexpr int lookups = 2'000'000;
    std::vector<routing::route> routes;
    std::vector<std::string> paths;
    for (int index = 0; index < routeCount; ++index) {
        auto host = "host" + std::to_string(index % 500) + ".example";
        auto prefix = "/service" + std::to_string(index) + "/api";
        routes.push_back({ host, prefix, static_cast<routing::service_index>(index % 6500) });
        paths.push_back(prefix + "/items/17");
    }
    routing::route_table table(routes);
    std::size_t found = 0;
    auto start = steady_clock::now();
    for (int lookup = 0; lookup < lookups; ++lookup) {
        auto index = static_cast<std::size_t>(lookup) * 7919 % routeCount;
        found += table.find(routes[index].host, paths[index]).has_value() ? 1 : 0;
    }
    auto elapsed = std::chrono::duration<double, std::nano>(steady_clock::now() - start).count();
    std::printf(
        "route_lookup_ns %.0f routes %d hits %zu of %d\n", elapsed / lookups, routeCount, found, lookups);
    return found == lookups ? 0 : 1;
}
