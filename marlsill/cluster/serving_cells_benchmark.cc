// Measures what the decisions of the request path cost at the sizes of the deployments and of the target:
// finding a route, this VM's view of a service, the peers that share an upstream, and the choice of an
// upstream; and, apart from them, working out one service anew after a change of the members.

#include "marlsill/cluster/serving_cells.h"
#include "marlsill/gateway/route_index.h"
#include "marlsill/placement/load_balancer.h"

#include <cstdio>

namespace marlsill::cluster {

namespace {

    struct fleet_size {
        int routes;
        int services;
        int vms;
        int domains;
        int upstreams;
    };

    std::string serviceName(int service) { return "service-" + std::to_string(service); }
    std::string hostName(int service) { return "host-" + std::to_string(service) + ".example"; }

    std::vector<gateway::route> makeRoutes(const fleet_size& size)
    {
        std::vector<gateway::route> routes;
        for (int number = 0; number < size.routes; ++number) {
            int service = number % size.services;
            routes.push_back({ .name = "r" + std::to_string(number),
                .host = hostName(service),
                .pathPrefix = "/p" + std::to_string(number) + "/",
                .weightedServices = { { serviceName(service) } } });
        }
        return routes;
    }

    std::vector<placement::upstream_entry> makeUpstreams(const fleet_size& size)
    {
        std::vector<placement::upstream_entry> entries;
        for (int number = 0; number < size.upstreams; ++number) {
            entries.push_back({ .id = "upstream-" + std::to_string(number),
                .service = serviceName(number % size.services),
                .address = "10.1.2.3:80",
                .failureDomain = "domain-" + std::to_string(number % size.domains),
                .slots = 3 });
        }
        return entries;
    }

    // Returns the mean time of a call in microseconds.
    template <typename Call> double microsecondsOf(int calls, Call call)
    {
        auto start = steady_clock::now();
        for (int number = 0; number < calls; ++number) {
            call(number);
        }
        return std::chrono::duration<double, std::micro>(steady_clock::now() - start).count() / calls;
    }

    void measure(const fleet_size& size)
    {
        auto now = steady_clock::now();
        auto routes = makeRoutes(size);
        gateway::route_index index(routes);
        auto recordOf = [&](int number) {
            auto host = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250);
            return member { .host = host,
                .failureDomain = "domain-" + std::to_string(number % size.domains),
                .callerAddress = host + ":80",
                .incarnation = 1,
                .state = member_state::ready };
        };
        member_list members(recordOf(0), {});
        for (int number = 1; number < size.vms; ++number) {
            members.merge(recordOf(number), now);
        }
        placement::load_balancer balancer({ .failureDomain = "domain-0" });
        balancer.replaceUpstreams(makeUpstreams(size), now);
        serving_cells cells(members,
            { .hostsOf = [&](auto service) { return std::span(index.hostsRoutedTo(service)); },
                .slotsOf =
                    [&](auto host) {
                        int slots = 0;
                        for (const auto& service : index.servicesOf(host)) {
                            slots += balancer.slotsOf(service);
                        }
                        return slots;
                    } });
        constexpr int calls = 20'000;
        auto service = serviceName(0);
        auto host = hostName(0);
        auto path = routes.front().pathPrefix + "1";
        auto find = microsecondsOf(calls, [&](int) { index.find(host, path); });
        auto view = microsecondsOf(calls, [&](int) { cells.viewOf(service, now); });
        auto peers = microsecondsOf(calls, [&](int) { cells.peersSharing(service, "upstream-0", now); });
        balancer.setServiceShare(service, 5, cells.viewOf(service, now).partition);
        auto choose = microsecondsOf(calls, [&](int) { balancer.choose({ .service = service }, now); });
        auto rebuild = microsecondsOf(20, [&](int) {
            cells.invalidate();
            cells.viewOf(service, now);
        });
        std::printf("%6d routes %5d services %5d VMs %7d upstreams: route %6.2f, view %6.2f, peers %6.2f, "
                    "choose %6.2f, rebuild of a service %9.1f us\n",
            size.routes, size.services, size.vms, size.upstreams, find, view, peers, choose, rebuild);
    }

}

}

int main()
{
    const marlsill::cluster::fleet_size sizes[]
        = { { 8, 3, 32, 3, 30 }, { 1'400, 3, 444, 5, 990 }, { 37'000, 6'500, 2'593, 38, 110'000 } };
    for (const auto& each : sizes) {
        marlsill::cluster::measure(each);
    }
}
