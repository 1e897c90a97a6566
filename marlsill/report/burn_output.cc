#include "marlsill/report/burn.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace marlsill::report {

namespace {

    std::string format(const char* form, double value)
    {
        char text[32];
        std::snprintf(text, sizeof text, form, value);
        return text;
    }

    std::string escape(const std::string& text)
    {
        std::string safe;
        for (char character : text) {
            switch (character) {
            case '<':
                safe += "&lt;";
                break;
            case '>':
                safe += "&gt;";
                break;
            case '&':
                safe += "&amp;";
                break;
            case '"':
                safe += "&quot;";
                break;
            default:
                safe.push_back(character);
            }
        }
        return safe;
    }

    // Returns the largest spender with its share, as in "bookings-3 (80 %)".
    std::string largest(const std::map<std::string, std::int64_t>& spent)
    {
        std::int64_t total = 0;
        auto most = spent.end();
        for (auto each = spent.begin(); each != spent.end(); ++each) {
            total += each->second;
            most = most == spent.end() || each->second > most->second ? each : most;
        }
        if (most == spent.end()) {
            return "-";
        }
        return most->first + " ("
            + format("%.0f", 100.0 * static_cast<double>(most->second) / static_cast<double>(total)) + " %)";
    }

    // Draws burn rates as bars; the line marks a burn rate of 1.
    std::string plot(const std::vector<double>& rates)
    {
        constexpr double height = 60;
        constexpr double barWidth = 10;
        double top = std::max(2.0, *std::max_element(rates.begin(), rates.end()));
        double width = barWidth * static_cast<double>(rates.size());
        std::string svg = "<svg viewBox=\"0 0 " + format("%.0f", width)
            + " 60\" role=\"img\" aria-label=\"burn rate "
              "of the last 30 minutes\">";
        for (std::size_t index = 0; index < rates.size(); ++index) {
            double barHeight = rates[index] / top * height;
            svg += "<rect x=\"" + format("%.1f", static_cast<double>(index) * barWidth) + "\" y=\""
                + format("%.1f", height - barHeight) + "\" width=\"8\" height=\"" + format("%.1f", barHeight)
                + "\" class=\"" + (rates[index] > 1 ? "over" : "under") + "\"/>";
        }
        auto line = format("%.1f", height - height / top);
        return svg + "<line x1=\"0\" x2=\"" + format("%.0f", width) + "\" y1=\"" + line + "\" y2=\"" + line
            + "\"/></svg>";
    }

}

std::string toText(std::span<const service_burn> report)
{
    std::string text
        = "service            objective  burn 5m     1h     6h     3d  budget left  most spent on\n";
    for (const auto& each : report) {
        char line[256];
        std::snprintf(line, sizeof line, "%-18s %8.3f %% %8.2f %6.2f %6.2f %6.2f %10.1f %%  %s%s\n",
            each.service.c_str(), each.objective * 100, each.burnRates[0], each.burnRates[1],
            each.burnRates[2], each.burnRates[3], each.budgetLeft * 100, largest(each.spentOnCauses).c_str(),
            each.isBurning ? "  BURNING" : "");
        text += line;
        if (!each.spentOnUpstreams.empty()) {
            text += "                   upstream " + largest(each.spentOnUpstreams) + ", failure domain "
                + largest(each.spentOnDomains) + "\n";
        }
    }
    return text;
}

std::string toJson(std::span<const service_burn> report)
{
    auto services = nlohmann::json::array();
    for (const auto& each : report) {
        nlohmann::json windows;
        for (std::size_t window = 0; window < burnWindows.size(); ++window) {
            windows[burnWindows[window].name]
                = { { "requests", each.windows[window].requests }, { "bad", each.windows[window].bad },
                      { "slow", each.windows[window].slow }, { "burn_rate", each.burnRates[window] } };
        }
        services.push_back({ { "service", each.service }, { "objective", each.objective },
            { "windows", windows }, { "budget_left", each.budgetLeft }, { "burning", each.isBurning },
            { "spent_on_upstreams", each.spentOnUpstreams },
            { "spent_on_failure_domains", each.spentOnDomains }, { "spent_on_causes", each.spentOnCauses } });
    }
    return nlohmann::json { { "services", std::move(services) } }.dump(2) + "\n";
}

std::string toHtml(std::span<const service_burn> report)
{
    std::string html = R"(<!doctype html><html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1"><title>Service-level burn</title>
<style>body{font:16px system-ui,sans-serif;margin:1rem auto;max-width:46rem;padding:0 1rem;color:#222}
section{border:1px solid #ccc;border-radius:6px;padding:.8rem;margin:0 0 1rem}h2{margin:0 0 .4rem;font-size:1.1rem}
svg{width:100%;height:5rem;background:#f6f6f6}.over{fill:#c0392b}.under{fill:#2e86c1}line{stroke:#555;stroke-dasharray:3}
table{border-collapse:collapse;width:100%}td,th{text-align:right;padding:.15rem .3rem}th:first-child,td:first-child{text-align:left}
.burning{color:#c0392b}</style></head><body><h1>Service-level burn</h1>
<p>Bars: burn rate in each of the last 30 minutes. Dashed line: a burn rate of 1, which spends the budget exactly.</p>
)";
    for (const auto& each : report) {
        html += "<section><h2>" + escape(each.service)
            + (each.isBurning ? " <span class=\"burning\">burning</span>" : "") + "</h2>" + plot(each.recent)
            + "<table><tr><th>window</th><th>requests</th><th>bad</th><th>slow</th>"
              "<th>burn rate</th></tr>";
        for (std::size_t window = 0; window < burnWindows.size(); ++window) {
            const auto& counts = each.windows[window];
            html += std::string("<tr><td>") + burnWindows[window].name + "</td><td>"
                + std::to_string(counts.requests) + "</td><td>" + std::to_string(counts.bad) + "</td><td>"
                + std::to_string(counts.slow) + "</td><td>" + format("%.2f", each.burnRates[window])
                + "</td></tr>";
        }
        html += "</table><p>Objective " + format("%.3f", each.objective * 100) + " %, budget left "
            + format("%.1f", each.budgetLeft * 100) + " %. Most spent on cause "
            + escape(largest(each.spentOnCauses)) + ", upstream " + escape(largest(each.spentOnUpstreams))
            + ", failure domain " + escape(largest(each.spentOnDomains)) + ".</p></section>\n";
    }
    return html + "</body></html>\n";
}

}
