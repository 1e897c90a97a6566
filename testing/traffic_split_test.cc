// Tests of a route that splits its traffic between services, over several VMs.

#include "testing/gateway_thread.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"

#include <array>
#include <cmath>
#include <doctest/doctest.h>

namespace marlsill::testing {

namespace {

    constexpr int vms = 3;
    constexpr int upstreamsOfService = 2;
    constexpr int requestsInWindow = 240;
    constexpr int windows = 2;

    using weights = std::vector<gateway::weighted_service>;

    // Several VMs with a route, "a", to the services "s0" and "s1".
    class split_fleet {
    public:
        split_fleet()
        {
            std::vector<placement::upstream_entry> entries;
            for (int index = 0; index < 2 * upstreamsOfService; ++index) {
                m_upstreams.push_back(
                    std::make_unique<scripted_upstream>("u" + std::to_string(index), gateway::wire_fields()));
                entries.push_back({ .id = m_upstreams.back()->id(),
                    .service = "s" + std::to_string(index / upstreamsOfService),
                    .address = m_upstreams.back()->address(),
                    .slots = 3 });
            }
            for (auto& each : m_vms) {
                each.run([&](auto& vm) {
                    vm.requestForwarder().changeUpstreams(entries, {});
                    vm.setUpstreamsKnown();
                });
            }
        }

        void setWeights(const weights& split, bool isAtMostOnce)
        {
            gateway::route route { .name = "a",
                .host = "h.example",
                .pathPrefix = "/",
                .isAtMostOnce = isAtMostOnce,
                .maxUpstreams = isAtMostOnce ? 1 : 2,
                .weightedServices = split };
            auto rules = std::make_shared<const gateway::configuration>(
                ++m_version, std::vector { route }, gateway::caller_limits());
            for (auto& each : m_vms) {
                each.run([&](auto& vm) { REQUIRE(vm.requestForwarder().setConfiguration(rules)); });
            }
        }

        // Makes all upstreams of "s1" do the same with all requests.
        void planSecond(upstream_step step)
        {
            for (int index = upstreamsOfService; index < 2 * upstreamsOfService; ++index) {
                m_upstreams[static_cast<std::size_t>(index)]->plan(
                    std::vector(4 * requestsInWindow * windows, step));
            }
        }

        // Sends a request to one of the VMs. Returns the services that ran it, one letter for each.
        std::string send(int number)
        {
            auto id = "r" + std::to_string(++m_requests);
            raw_caller caller(m_vms[static_cast<std::size_t>(number % vms)].address());
            caller.sendRequest("GET", "/" + id, id);
            m_lastStatus = caller.receive().status;
            std::string services;
            for (int index = 0; index < 2 * upstreamsOfService; ++index) {
                bool hasRun = m_upstreams[static_cast<std::size_t>(index)]->runsOf(id) > 0;
                services += hasRun ? std::to_string(index / upstreamsOfService) : "";
            }
            return services;
        }

        int lastStatus() const { return m_lastStatus; }

    private:
        std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
        std::array<gateway_thread, vms> m_vms;
        std::uint64_t m_version = 0;
        int m_requests = 0;
        int m_lastStatus = 0;
    };

}

TEST_CASE("Over all VMs the requests of a split come out in its proportions, whatever befalls a service")
{
    struct row {
        const char* name;
        weights split;
        double shareOfFirst;
        bool isAtMostOnce;
        upstream_step second; // What the upstreams of the second service do.
        int statusOfOthers; // Of the requests that do not go to the first service.
    };
    const row rows[] = {
        { "even", { { "s0", 1 }, { "s1", 1 } }, 0.5, true, upstream_step::answer, 200 },
        { "three to one", { { "s0", 3 }, { "s1", 1 } }, 0.75, true, upstream_step::answer, 200 },
        { "one is listed twice", { { "s0", 1 }, { "s1", 2 }, { "s0", 1 } }, 0.5, true, upstream_step::answer,
            200 },
        { "one of no weight", { { "s0", 2 }, { "s1", 0 } }, 1, true, upstream_step::answer, 200 },
        { "one fails", { { "s0", 3 }, { "s1", 1 } }, 0.75, true, upstream_step::error, 500 },
        { "one fails, with retries", { { "s0", 3 }, { "s1", 1 } }, 0.75, false, upstream_step::error, 500 },
        { "one is full", { { "s0", 3 }, { "s1", 1 } }, 0.75, true, upstream_step::refuse, 503 },
        { "one is unknown", { { "s0", 3 }, { "s9", 1 } }, 0.75, true, upstream_step::answer, 503 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        split_fleet fleet;
        fleet.setWeights(each.split, each.isAtMostOnce);
        fleet.planSecond(each.second);
        // Five standard deviations of a random choice.
        double tolerance = 5 * std::sqrt(each.shareOfFirst * (1 - each.shareOfFirst) * requestsInWindow)
            / requestsInWindow;
        for (int window = 0; window < windows; ++window) {
            int first = 0;
            int strays = 0; // Ran at both services, or not as their service does.
            for (int number = 0; number < requestsInWindow; ++number) {
                auto services = fleet.send(number);
                bool isFirst = services == "0";
                first += isFirst ? 1 : 0;
                strays += fleet.lastStatus() == (isFirst ? 200 : each.statusOfOthers) ? 0 : 1;
                strays += services.find('0') != std::string::npos && !isFirst ? 1 : 0;
            }
            CHECK(std::abs(static_cast<double>(first) / requestsInWindow - each.shareOfFirst) <= tolerance);
            CHECK(strays == 0);
        }
    }
}

TEST_CASE("A configuration that changes the weights changes the proportions, and no others do")
{
    struct row {
        weights split;
        double share; // Of the first service.
    };
    const row rows[] = {
        { { { "s0", 1 }, { "s1", 0 } }, 1 },
        { { { "s0", 0 }, { "s1", 7 } }, 0 },
        { { { "s0", 1 }, { "s1", 1 } }, 0.5 },
    };
    split_fleet fleet;
    for (const auto& each : rows) {
        CAPTURE(each.share);
        fleet.setWeights(each.split, true);
        int first = 0;
        for (int number = 0; number < requestsInWindow; ++number) {
            first += fleet.send(number) == "0" ? 1 : 0;
        }
        auto tolerance = 5 * std::sqrt(each.share * (1 - each.share) * requestsInWindow) / requestsInWindow;
        CHECK(std::abs(static_cast<double>(first) / requestsInWindow - each.share) <= tolerance);
    }
}

}
