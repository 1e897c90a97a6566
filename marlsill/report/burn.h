#pragma once

// How fast each service spends its error budget, and on what.
//
//     auto report = burnReport(facts, inventory, rules, nowMilliseconds);
//     std::puts(toText(report).c_str());
//
// A burn rate of 1 spends the budget exactly over the objective's period; the windows follow the usual
// multi-window scheme: a service burns when a short and a long window both do.

#include "marlsill/documents/documents.h"
#include "marlsill/record/fact_log.h"

#include <array>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace marlsill::report {

// One window that ends now.
struct burn_window {
    const char* name;
    std::int64_t milliseconds;
};

inline constexpr std::array<burn_window, 4> burnWindows { { { "5m", 300'000 }, { "1h", 3'600'000 },
    { "6h", 21'600'000 }, { "3d", 259'200'000 } } };

// What a service did in one window. Slow answers spend the budget as bad ones do.
struct window_counts {
    std::int64_t requests = 0;
    std::int64_t bad = 0;
    std::int64_t slow = 0;
};

// One service's burn.
struct service_burn {
    std::string service;
    double objective = 0.999;
    std::array<window_counts, burnWindows.size()> windows;
    std::array<double, burnWindows.size()> burnRates {};
    double budgetLeft = 1; // Share of the longest window's budget; negative when overspent.
    bool isBurning = false; // Above 14.4 in 5 min and 1 h, or above 6 in 1 h and 6 h.
    std::map<std::string, std::int64_t> spentOnUpstreams;
    std::map<std::string, std::int64_t> spentOnDomains;
    std::map<std::string, std::int64_t> spentOnCauses;
    std::vector<double> recent; // Burn rates of the last 30 minutes, eldest first.
};

// Adds up the service-level facts up to `now`, in Unix milliseconds.
std::vector<service_burn> burnReport(std::span<const record::fact> facts,
    std::span<const service_inventory> inventory, std::span<const service_rules> rules, std::int64_t now);

// Return the report as text, JSON, or one self-contained HTML page.
std::string toText(std::span<const service_burn> report);
std::string toJson(std::span<const service_burn> report);
std::string toHtml(std::span<const service_burn> report);

}
