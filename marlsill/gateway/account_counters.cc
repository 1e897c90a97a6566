#include "marlsill/gateway/account_counters.h"

#include <algorithm>
#include <vector>

namespace marlsill::gateway {

namespace {

    constexpr std::size_t namedAccounts = 20;
    constexpr std::size_t maxCountedAccounts = 2'000; // About 300 KB with names of 32 bytes.

    // Returns a text as the value of a label.
    std::string escapeLabel(std::string_view text)
    {
        std::string escaped;
        for (char each : text) {
            if (each == '\\' || each == '"') {
                escaped.push_back('\\');
            }
            escaped.push_back(each);
        }
        return escaped;
    }

    bool hasMoreRequests(const auto* left, const auto* right)
    {
        return left->second.requests > right->second.requests;
    }

}

void account_totals::add(const account_totals& other)
{
    requests += other.requests;
    limited += other.limited;
    answered += other.answered;
}

account_totals& account_counters::totalsOf(std::string_view account)
{
    auto found = m_totals.find(account);
    if (found != m_totals.end()) {
        return found->second;
    }
    if (m_totals.size() >= maxCountedAccounts) {
        foldSmallest();
    }
    return m_totals[std::string(account)];
}

// Keeps the larger half one by one, so that the work is a constant for each account that is added.
void account_counters::foldSmallest()
{
    std::vector<std::pair<const std::string, account_totals>*> ranked;
    for (auto& each : m_totals) {
        ranked.push_back(&each);
    }
    auto half = ranked.begin() + static_cast<std::ptrdiff_t>(ranked.size() / 2);
    std::nth_element(ranked.begin(), half, ranked.end(),
        [](const auto* left, const auto* right) { return hasMoreRequests(left, right); });
    std::vector<std::string> folded;
    for (auto each = half; each != ranked.end(); ++each) {
        m_others.add((*each)->second);
        folded.push_back((*each)->first);
    }
    for (const auto& each : folded) {
        m_totals.erase(each);
    }
}

void account_counters::appendTo(std::string& out) const
{
    if (m_totals.empty()) {
        return;
    }
    std::vector<const std::pair<const std::string, account_totals>*> ranked;
    for (const auto& each : m_totals) {
        ranked.push_back(&each);
    }
    auto named = std::min(namedAccounts, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(named), ranked.end(),
        [](const auto* left, const auto* right) { return hasMoreRequests(left, right); });
    auto others = m_others;
    for (std::size_t index = named; index < ranked.size(); ++index) {
        others.add(ranked[index]->second);
    }
    auto appendMetric = [&](const std::string& name, std::uint64_t account_totals::*count) {
        out += "# TYPE marlsill_account_" + name + " counter\n";
        for (std::size_t index = 0; index < named; ++index) {
            out += "marlsill_account_" + name + "{account=\"" + escapeLabel(ranked[index]->first) + "\"} "
                + std::to_string(ranked[index]->second.*count) + "\n";
        }
        out += "# TYPE marlsill_other_accounts_" + name + " counter\nmarlsill_other_accounts_" + name + " "
            + std::to_string(others.*count) + "\n";
    };
    appendMetric("requests_total", &account_totals::requests);
    appendMetric("limited_total", &account_totals::limited);
    appendMetric("answered_total", &account_totals::answered);
}

}
