#include "marlsill/report/burn.h"

#include <algorithm>

namespace marlsill::report {

namespace {

    constexpr std::int64_t recentStep = 60'000; // milliseconds
    constexpr std::size_t recentSteps = 30;
    constexpr double fastBurn = 14.4;
    constexpr double slowBurn = 6;
    constexpr std::size_t longest = burnWindows.size() - 1;

    double burnRate(const window_counts& counts, double objective)
    {
        if (counts.requests == 0) {
            return 0;
        }
        double spent = static_cast<double>(counts.bad + counts.slow) / static_cast<double>(counts.requests);
        return spent / std::max(1e-9, 1 - objective);
    }

    void add(window_counts& counts, const record::fact& one)
    {
        counts.requests += one.count;
        counts.bad += one.bad;
        counts.slow += one.slow;
    }

    void addSpending(
        service_burn& burn, const record::fact& one, const std::map<std::string, std::string>& domains)
    {
        auto spent = one.bad + one.slow;
        if (spent == 0) {
            return;
        }
        if (!one.upstream.empty()) {
            burn.spentOnUpstreams[one.upstream] += spent;
            auto domain = domains.find(one.service + '\n' + one.upstream);
            burn.spentOnDomains[domain == domains.end() ? "unknown" : domain->second] += spent;
        }
        if (one.bad > 0) {
            burn.spentOnCauses[one.why] += one.bad;
        }
        if (one.slow > 0) {
            burn.spentOnCauses["slow"] += one.slow;
        }
    }

    void finish(service_burn& burn, const std::vector<window_counts>& steps)
    {
        for (std::size_t window = 0; window < burnWindows.size(); ++window) {
            burn.burnRates[window] = burnRate(burn.windows[window], burn.objective);
        }
        burn.budgetLeft = 1 - burn.burnRates[longest];
        bool isFast = burn.burnRates[0] > fastBurn && burn.burnRates[1] > fastBurn;
        bool isSlow = burn.burnRates[1] > slowBurn && burn.burnRates[2] > slowBurn;
        burn.isBurning = isFast || isSlow;
        for (const auto& each : steps) {
            burn.recent.push_back(burnRate(each, burn.objective));
        }
    }

}

std::vector<service_burn> burnReport(std::span<const record::fact> facts,
    std::span<const service_inventory> inventory, std::span<const service_rules> rules, std::int64_t now)
{
    std::map<std::string, std::string> domains;
    std::map<std::string, service_burn> burns;
    std::map<std::string, std::vector<window_counts>> steps;
    for (const auto& service : inventory) {
        burns[service.name].service = service.name;
        for (const auto& upstream : service.upstreams) {
            domains[service.name + '\n' + upstream.name] = upstream.failureDomain;
        }
    }
    for (const auto& each : rules) {
        burns[each.name].service = each.name;
        burns[each.name].objective = each.objective.availability;
    }
    for (const auto& one : facts) {
        auto age = now - one.at;
        if (one.kind != record::fact_kind::serviceLevel || age < 0
            || age >= burnWindows[longest].milliseconds) {
            continue;
        }
        auto& burn = burns[one.service];
        burn.service = one.service;
        for (std::size_t window = 0; window < burnWindows.size(); ++window) {
            if (age < burnWindows[window].milliseconds) {
                add(burn.windows[window], one);
            }
        }
        addSpending(burn, one, domains);
        auto& recent = steps[one.service];
        recent.resize(recentSteps);
        auto step = static_cast<std::size_t>(age / recentStep);
        if (step < recentSteps) {
            add(recent[recentSteps - 1 - step], one);
        }
    }
    std::vector<service_burn> report;
    for (auto& [name, burn] : burns) {
        auto& recent = steps[name];
        recent.resize(recentSteps);
        finish(burn, recent);
        report.push_back(std::move(burn));
    }
    return report;
}

}
