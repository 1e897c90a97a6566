#include "marlsill/cluster/upstream_list.h"

#include "marlsill/base/hash.h"

#include <set>
#include <string_view>

namespace marlsill::cluster {

namespace {

    std::uint64_t entryHash(const placement::upstream_entry& each)
    {
        return fastHash(each.id,
            fastHash(
                each.address, each.version * 4 + (each.isLeaving ? 2 : 0) + (each.isUnconfirmed ? 1 : 0)));
    }

}

void upstream_list::put(const placement::upstream_entry& entry)
{
    auto [found, isNew] = m_entries.try_emplace(entry.id, entry);
    if (!isNew) {
        m_hashSum -= entryHash(found->second);
        found->second = entry;
    }
    m_hashSum += entryHash(entry);
}

void upstream_list::remove(const std::string& id)
{
    if (auto found = m_entries.find(id); found != m_entries.end()) {
        m_hashSum -= entryHash(found->second);
        m_entries.erase(found);
    }
}

void upstream_list::apply(const upstream_delta& delta)
{
    for (const auto& id : delta.removed) {
        remove(id);
    }
    for (const auto& each : delta.changed) {
        put(each);
    }
}

std::uint64_t upstream_list::digestAfter(const upstream_delta& delta) const
{
    auto digest = this->digest();
    for (const auto& id : delta.removed) {
        if (auto found = m_entries.find(id); found != m_entries.end()) {
            digest -= entryHash(found->second) + 1;
        }
    }
    for (const auto& each : delta.changed) {
        auto found = m_entries.find(each.id);
        digest -= found == m_entries.end() ? 0 : entryHash(found->second) + 1;
        digest += entryHash(each) + 1;
    }
    return digest;
}

upstream_delta upstream_list::deltaTo(std::span<const placement::upstream_entry> other) const
{
    upstream_delta delta;
    std::set<std::string_view> listed;
    for (const auto& each : other) {
        listed.insert(each.id);
        auto found = m_entries.find(each.id);
        if (found == m_entries.end() || !(found->second == each)) {
            delta.changed.push_back(each);
        }
    }
    for (const auto& [id, each] : m_entries) {
        if (!listed.contains(id)) {
            delta.removed.push_back(id);
        }
    }
    return delta;
}

}
