#include "marlsill/placement/service_links.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };
    constexpr int upstreamCount = 24;
    constexpr milliseconds step { 10 };
    constexpr milliseconds connectTimeout { 400 };
    constexpr milliseconds workTime { 150 };
    constexpr milliseconds loadReportInterval { 200 };
    constexpr milliseconds floorWindow { 2'000 }; // Of the users' rule.
    constexpr double floorShare = 0.7; // Of the users' rule.
    constexpr std::size_t maxAttempts = 5;

    std::vector<upstream_entry> entries()
    {
        std::vector<upstream_entry> list;
        for (int index = 0; index < upstreamCount; ++index) {
            list.push_back({ .id = "u" + std::to_string(index),
                .service = "s",
                .address = "127.0.0.1:1",
                .failureDomain = index % 2 == 0 ? "near" : "far",
                .slots = 3 });
        }
        return list;
    }

    // VMs that share the upstreams of a service, in virtual time. Those that are cut off reach other
    // services.
    class fleet_model {
    public:
        fleet_model(int vms, bool isAtMostOnce)
            : m_isAtMostOnce(isAtMostOnce)
        {
            auto list = entries();
            for (int index = 0; index < vms; ++index) {
                load_balancer balancer({ .failureDomain = index % 2 == 0 ? "near" : "far" },
                    static_cast<std::uint64_t>(index) + 1);
                m_vms.push_back(vm { .balancer = std::move(balancer), .links = service_links() });
                m_vms.back().balancer.replaceUpstreams(list, m_now);
                m_vms.back().balancer.setServiceShare("s", vms, nullptr);
            }
        }

        void cut(std::size_t first, std::size_t count)
        {
            for (std::size_t index = first; index < first + count; ++index) {
                m_vms[index].isCut = true;
            }
        }

        // Lets each VM send one request in each interval, the VMs one after the other.
        void run(milliseconds length, milliseconds interval)
        {
            auto end = m_now + length;
            while (m_now < end) {
                for (std::size_t index = 0; index < m_vms.size(); ++index) {
                    auto offset = interval * static_cast<int>(index) / static_cast<int>(m_vms.size());
                    if ((m_now - start - offset / step * step) % interval == milliseconds(0)) {
                        begin({ index, {} });
                    }
                }
                endAttempts();
                for (auto& each : m_vms) {
                    probeLinks(each);
                }
                if ((m_now - start) % loadReportInterval == milliseconds(0)) {
                    exchangeLoads();
                }
                m_now += step;
            }
        }

        // Returns how many upstreams got a request within the last `floorWindow`.
        int usedUpstreams() const
        {
            return static_cast<int>(std::count_if(m_reachedAt.begin(), m_reachedAt.end(),
                [this](const auto& each) { return each.second + floorWindow > m_now; }));
        }

    private:
        struct vm {
            load_balancer balancer;
            service_links links;
            bool isCut = false;
        };
        struct request {
            std::size_t vm;
            std::vector<std::string> tried;
        };
        struct attempt {
            request sender;
            steady_clock::time_point startedAt;
            steady_clock::time_point endsAt;
        };

        void report(std::size_t from, const upstream_evidence& evidence)
        {
            if (!m_vms[from].links.mayReport("s", evidence.kind, m_now)) {
                return;
            }
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                if (index != from) {
                    m_vms[index].balancer.applyEvidence(evidence, m_isAtMostOnce, m_now);
                }
            }
        }

        void begin(request sender)
        {
            auto& vm = m_vms[sender.vm];
            auto chosen = vm.balancer.choose({ .service = "s",
                                                 .tried = sender.tried,
                                                 .isAtMostOnce = m_isAtMostOnce,
                                                 .mayUseExcluded = !sender.tried.empty(),
                                                 .canBeRetried = sender.tried.size() + 1 < maxAttempts },
                m_now);
            if (chosen.status != choice_status::chosen) {
                vm.balancer.recordOutcome("s", false, m_now);
                return;
            }
            auto upstream = chosen.upstream->id;
            vm.balancer.startAttempt(upstream, chosen.isProbe, m_now);
            if (chosen.isProbe) {
                report(sender.vm, { upstream, evidence_kind::probe });
            }
            sender.tried.push_back(upstream);
            if (!vm.isCut) {
                m_reachedAt[upstream] = m_now;
            }
            auto length = vm.isCut ? connectTimeout : workTime;
            m_attempts.push_back({ std::move(sender), m_now, m_now + length });
        }

        void endAttempts()
        {
            auto isOver = [this](const attempt& each) { return each.endsAt <= m_now; };
            auto firstOver = std::stable_partition(m_attempts.begin(), m_attempts.end(), std::not_fn(isOver));
            std::vector<attempt> over(firstOver, m_attempts.end());
            m_attempts.erase(firstOver, m_attempts.end());
            for (auto& each : over) {
                auto& vm = m_vms[each.sender.vm];
                const auto& upstream = each.sender.tried.back();
                auto signal = vm.isCut ? health_signal::unreachable : health_signal::succeeded;
                auto evidence = vm.balancer.finishAttempt(
                    upstream, signal, m_now - each.startedAt, each.startedAt, m_isAtMostOnce, m_now);
                vm.links.recordAttempt("s", upstream, !vm.isCut, each.startedAt, m_now);
                probeLinks(vm);
                if (evidence) {
                    report(each.sender.vm, *evidence);
                }
                bool mayRetry = vm.isCut && each.sender.tried.size() < maxAttempts;
                if (mayRetry) {
                    begin(std::move(each.sender));
                } else {
                    vm.balancer.recordOutcome("s", !vm.isCut, m_now);
                }
            }
        }

        void probeLinks(vm& prober)
        {
            prober.links.recordAttempt("other", "o", true, m_now, m_now);
            for (const auto& [service, count] : prober.links.takeDueProbes(m_now)) {
                for (int probe = 0; probe < count; ++probe) {
                    prober.links.recordProbe(service, service.empty() || !prober.isCut, m_now);
                }
            }
        }

        void exchangeLoads()
        {
            for (std::size_t from = 0; from < m_vms.size(); ++from) {
                auto loads = m_vms[from].balancer.takeChangedLoads();
                for (std::size_t to = 0; to < m_vms.size(); ++to) {
                    for (const auto& load : loads) {
                        if (to != from) {
                            m_vms[to].balancer.applyPeerLoad("vm" + std::to_string(from), load, m_now);
                        }
                    }
                }
            }
        }

        const bool m_isAtMostOnce;
        steady_clock::time_point m_now = start;
        std::vector<vm> m_vms;
        std::vector<attempt> m_attempts;
        std::map<std::string, steady_clock::time_point> m_reachedAt;
    };

}

TEST_CASE("VMs that have lost one service's upstreams do not keep the others from using them")
{
    struct row {
        const char* name;
        std::size_t cutOff; // Of twelve VMs.
        milliseconds interval; // Between two requests at one VM.
        bool isAtMostOnce;
    };
    // About six requests for each upstream in `floorWindow`, and fewer.
    const row rows[] = {
        { "none", 0, milliseconds(80), true },
        { "half of the VMs", 6, milliseconds(80), true },
        { "half of the VMs, requests that can be repeated", 6, milliseconds(80), false },
        { "half of the VMs, less load", 6, milliseconds(120), true },
        { "a third of the VMs", 4, milliseconds(80), true },
        { "two thirds of the VMs", 8, milliseconds(80), true },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        fleet_model fleet(12, each.isAtMostOnce);
        fleet.run(milliseconds(4'000), each.interval);
        fleet.cut(0, each.cutOff);
        int fewest = upstreamCount;
        for (auto length = milliseconds(0); length < milliseconds(12'000); length += milliseconds(100)) {
            fleet.run(milliseconds(100), each.interval);
            fewest = std::min(fewest, fleet.usedUpstreams());
        }
        MESSAGE(std::string(each.name) << ": at least " << fewest << " of " << upstreamCount << " in use");
        CHECK(fewest >= floorShare * upstreamCount);
    }
}

TEST_CASE("What a VM sees at the upstreams of a service is reported unless its links to them may be lost")
{
    struct attempt {
        int atMs;
        const char* service;
        const char* upstream;
        bool wasReached;
    };
    struct row {
        const char* name;
        std::vector<attempt> attempts;
        bool isReachedByProbes; // Those of service "s".
        bool mayReport;
        bool mayReportOther; // About service "t".
        bool isCutOffFrom;
    };
    const row rows[] = {
        { "idle", {}, true, true, true, false },
        { "one upstream", { { 0, "s", "a", false } }, false, true, true, false },
        { "two upstreams, no links", { { 0, "s", "a", false }, { 10, "s", "b", false } }, false, false, true,
            true },
        { "two upstreams, links to others",
            { { 0, "s", "a", false }, { 5, "t", "c", true }, { 10, "s", "b", false } }, false, false, true,
            true },
        { "two upstreams have crashed", { { 0, "s", "a", false }, { 10, "s", "b", false } }, true, true, true,
            false },
        { "more upstreams have crashed",
            { { 0, "s", "a", false }, { 10, "s", "b", false }, { 20, "s", "c", false },
                { 30, "s", "d", false } },
            true, true, true, false },
        { "another service has failed", { { 0, "t", "a", false }, { 10, "t", "b", false } }, true, true, true,
            false },
        { "the links came back", { { 0, "s", "a", false }, { 5, "s", "b", true }, { 10, "s", "c", false } },
            false, true, true, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        service_links links;
        auto now = start;
        for (const auto& [atMs, service, upstream, wasReached] : each.attempts) {
            now = start + milliseconds(atMs);
            links.recordAttempt(service, upstream, wasReached, now, now);
            for (const auto& [probed, count] : links.takeDueProbes(now)) {
                for (int probe = 0; probe < count; ++probe) {
                    links.recordProbe(probed, probed != "s" || each.isReachedByProbes, now);
                }
            }
        }
        for (auto kind : { evidence_kind::unreachable, evidence_kind::stalled, evidence_kind::probe }) {
            CHECK(links.mayReport("s", kind, now) == each.mayReport);
        }
        CHECK(links.mayReport("s", evidence_kind::failed, now)); // An answer has come through.
        CHECK(links.mayReport("t", evidence_kind::unreachable, now) == each.mayReportOther);
        CHECK(links.isCutOffFrom("s") == each.isCutOffFrom);
        CHECK_FALSE(links.isCutOff());
    }
}

TEST_CASE("Links to a service count as lost until a connection opens that was begun since")
{
    struct row {
        const char* name;
        int startedMs; // Of an attempt that ends after a second; the service counts as lost from 10 ms on.
        bool isCutOffFrom;
    };
    const row rows[] = {
        { "a response to an earlier request", 5, true },
        { "a new connection", 500, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        service_links links;
        auto lostAt = start + milliseconds(10);
        links.recordAttempt("s", "a", false, start, start);
        links.recordAttempt("s", "b", false, start, lostAt);
        for (const auto& [service, count] : links.takeDueProbes(lostAt)) {
            for (int probe = 0; probe < count; ++probe) {
                links.recordProbe(service, service.empty(), lostAt);
            }
        }
        REQUIRE(links.isCutOffFrom("s"));
        auto now = start + milliseconds(1'000);
        CHECK(links.recordAttempt("s", "c", true, start + milliseconds(each.startedMs), now)
            == !each.isCutOffFrom);
        CHECK(links.isCutOffFrom("s") == each.isCutOffFrom);
        CHECK(links.mayReport("s", evidence_kind::unreachable, now) == !each.isCutOffFrom);
    }
}

}
