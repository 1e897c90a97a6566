#include "marlsill/load/load_report.h"

#include <array>
#include <cstdio>

namespace marlsill::load {

namespace {

    using namespace boost::accumulators;

    constexpr std::array quantiles { 0.5, 0.9, 0.99, 0.999 };

    double quantileOf(const latency_accumulator& latencies, double quantileWanted)
    {
        return count(latencies) == 0 ? 0 : quantile(latencies, quantile_probability = quantileWanted);
    }

    double toMilliseconds(std::chrono::steady_clock::duration latency)
    {
        return std::chrono::duration<double, std::milli>(latency).count();
    }

    std::string formatRow(const char* name, double entry, double direct, bool hasDirect)
    {
        char line[128];
        if (hasDirect) {
            std::snprintf(
                line, sizeof line, "%-8s %10.3f %10.3f %10.3f\n", name, entry, direct, entry - direct);
        } else {
            std::snprintf(line, sizeof line, "%-8s %10.3f %10s %10s\n", name, entry, "-", "-");
        }
        return line;
    }

}

load_report::load_report(std::size_t capacity)
    : m_entry(tag::tail<right>::cache_size = capacity)
    , m_direct(tag::tail<right>::cache_size = capacity)
{
}

void load_report::addThroughEntry(const std::string& outcome, std::chrono::steady_clock::duration latency)
{
    std::lock_guard lock(m_mutex);
    ++m_outcomes[outcome];
    if (outcome == "ran") {
        m_entry(toMilliseconds(latency));
    }
}

void load_report::addDirect(std::chrono::steady_clock::duration latency)
{
    std::lock_guard lock(m_mutex);
    m_direct(toMilliseconds(latency));
}

double load_report::entryQuantile(double quantileWanted) const
{
    std::lock_guard lock(m_mutex);
    return quantileOf(m_entry, quantileWanted);
}

double load_report::directQuantile(double quantileWanted) const
{
    std::lock_guard lock(m_mutex);
    return quantileOf(m_direct, quantileWanted);
}

std::string load_report::toText() const
{
    std::lock_guard lock(m_mutex);
    std::string text = "outcomes";
    for (const auto& [outcome, times] : m_outcomes) {
        text += " " + outcome + "=" + std::to_string(times);
    }
    text += "\nlatency_ms    through     direct      added\n";
    bool hasDirect = count(m_direct) > 0;
    for (double each : quantiles) {
        char name[16];
        std::snprintf(name, sizeof name, "p%g", each * 100);
        text += formatRow(name, quantileOf(m_entry, each), quantileOf(m_direct, each), hasDirect);
    }
    return text + formatRow("max", max(m_entry), hasDirect ? max(m_direct) : 0, hasDirect);
}

std::string load_report::toJson() const
{
    std::lock_guard lock(m_mutex);
    std::string text = "{\"outcomes\":{";
    bool isFirst = true;
    for (const auto& [outcome, times] : m_outcomes) {
        text += (isFirst ? "\"" : ",\"") + outcome + "\":" + std::to_string(times);
        isFirst = false;
    }
    text += "}";
    for (double each : quantiles) {
        char field[128];
        std::snprintf(field, sizeof field, ",\"entry_p%g_ms\":%.3f,\"direct_p%g_ms\":%.3f", each * 100,
            quantileOf(m_entry, each), each * 100, quantileOf(m_direct, each));
        text += field;
    }
    return text + "}\n";
}

}
