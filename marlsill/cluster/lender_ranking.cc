#include "marlsill/cluster/lender_ranking.h"

#include "marlsill/routing/serving_set.h"

#include <algorithm>

namespace marlsill::cluster {

double lender_ranking::scoreOf(const std::string& account, const std::string& host, double capacity) const
{
    constexpr double minWeight = 1e-6; // A score needs a weight above zero.
    return routing::servingScore(
        account, { .incarnation = host, .weight = std::max(minWeight, capacity * capacity) });
}

void lender_ranking::add(
    const std::string& account, ranked_account& each, const std::string& host, double capacity) const
{
    ranked_host added { host, scoreOf(account, host, capacity) };
    auto place = std::find_if(
        each.hosts.begin(), each.hosts.end(), [&](const auto& known) { return known.score < added.score; });
    // One that would be the last is left out: others that are not kept may rank before it.
    bool isComplete = each.hosts.size() + 1 >= m_capacities.size();
    if (place != each.hosts.end() || isComplete) {
        each.hosts.insert(place, std::move(added));
        each.hosts.resize(std::min(each.hosts.size(), m_options.keptHosts));
    }
}

void lender_ranking::rank(const std::string& account, ranked_account& each) const
{
    each.hosts.clear();
    for (const auto& [host, capacity] : m_capacities) {
        each.hosts.push_back({ host, scoreOf(account, host, capacity) });
    }
    auto kept = std::min(each.hosts.size(), m_options.keptHosts);
    std::partial_sort(each.hosts.begin(), each.hosts.begin() + static_cast<std::ptrdiff_t>(kept),
        each.hosts.end(), [](const auto& left, const auto& right) { return left.score > right.score; });
    each.hosts.resize(kept);
    each.hosts.shrink_to_fit();
}

void lender_ranking::select(ranked_account& each) const
{
    each.holders.clear();
    each.lenders.clear();
    for (const auto& known : each.hosts) {
        if (each.holders.size() < m_options.maxShares) {
            each.holders.push_back(known.host);
        }
        if (each.lenders.size() < m_options.maxLenders && !m_unreachable.contains(known.host)) {
            each.lenders.push_back(known.host);
        }
    }
}

// Returns whether a VM is to be ranked now.
bool lender_ranking::isSettled(const lender_candidate& each, boot_clock::time_point now)
{
    auto [found, isNew] = m_seen.try_emplace(each.host, seen_process { each.incarnation, now });
    auto& seen = found->second;
    if (seen.incarnation != each.incarnation) {
        seen = { each.incarnation, now };
    }
    bool isFromStart = seen.since < *m_firstUpdateAt + m_options.settleTime;
    return each.isSelf || isFromStart || now >= seen.since + m_options.settleTime;
}

void lender_ranking::update(std::span<const lender_candidate> candidates, boot_clock::time_point now)
{
    std::map<std::string, double, std::less<>> capacities;
    m_unreachable.clear();
    m_isSettling = false;
    m_firstUpdateAt = m_firstUpdateAt.value_or(now);
    std::set<std::string, std::less<>> present;
    for (const auto& each : candidates) {
        present.insert(each.host);
        if (!isSettled(each, now)) {
            m_isSettling = true;
            continue;
        }
        capacities.emplace(each.host, each.capacity);
        if (!each.isReachable) {
            m_unreachable.insert(each.host);
        }
    }
    std::erase_if(m_seen, [&](const auto& item) { return !present.contains(item.first); });
    std::swap(capacities, m_capacities);
    std::vector<std::string> gone;
    for (const auto& [host, capacity] : capacities) {
        auto found = m_capacities.find(host);
        if (found == m_capacities.end() || found->second != capacity) {
            gone.push_back(host);
        }
    }
    std::vector<std::string> added;
    for (const auto& [host, capacity] : m_capacities) {
        auto found = capacities.find(host);
        if (found == capacities.end() || found->second != capacity) {
            added.push_back(host);
        }
    }
    m_changedAt = gone.empty() && added.empty() ? m_changedAt : now;
    for (auto& [account, each] : m_accounts) {
        std::erase_if(each.hosts,
            [&](const auto& known) { return std::find(gone.begin(), gone.end(), known.host) != gone.end(); });
        for (const auto& host : added) {
            add(account, each, host, m_capacities.at(host));
        }
        // Those beyond the kept ones count again when half of them have gone.
        auto needed = std::min(m_capacities.size(), std::max(m_options.maxShares, m_options.keptHosts / 2));
        if (each.hosts.size() < needed) {
            rank(account, each);
        }
        select(each);
    }
}

lender_ranking::ranked_account& lender_ranking::find(const std::string& account, boot_clock::time_point now)
{
    auto [found, isNew] = m_accounts.try_emplace(account);
    if (isNew) {
        rank(account, found->second);
        select(found->second);
    }
    found->second.usedAt = now;
    return found->second;
}

accounts::lender_order lender_ranking::orderOf(const std::string& account, boot_clock::time_point now)
{
    const auto& each = find(account, now);
    return { .holders = each.holders,
        .lender = each.lenders.empty() ? std::string_view() : std::string_view(each.lenders.front()),
        .since = m_changedAt };
}

std::span<const std::string> lender_ranking::lendersOf(const std::string& account, boot_clock::time_point now)
{
    return find(account, now).lenders;
}

void lender_ranking::forgetIdle(boot_clock::time_point now)
{
    std::erase_if(
        m_accounts, [&](const auto& item) { return now >= item.second.usedAt + m_options.forgetTime; });
}

}
