#pragma once

// A list of registered upstreams with a digest, both of which change at the cost of the change.
//
//     upstream_list list;
//     list.put(entry);
//     if (list.digestAfter(delta) == announced)
//         list.apply(delta);

#include "marlsill/placement/upstream_entry.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace marlsill::cluster {

// What leads from one list to another. No upstream is named twice.
struct upstream_delta {
    std::vector<placement::upstream_entry> changed; // Added or changed.
    std::vector<std::string> removed; // Ids.

    bool empty() const { return changed.empty() && removed.empty(); }
};

// See the file comment.
class upstream_list {
public:
    // Returns a digest of the list, independent of its order; different lists have different digests with
    // high probability. Covers ids, addresses, versions, and whether an entry is leaving or unconfirmed. 0
    // for an empty list.
    std::uint64_t digest() const { return m_hashSum + m_entries.size(); }

    const std::map<std::string, placement::upstream_entry>& entries() const { return m_entries; }
    std::size_t size() const { return m_entries.size(); }

    // Adds or replaces an entry, or removes one, which may be unknown.
    void put(const placement::upstream_entry& entry);
    void remove(const std::string& id);

    void apply(const upstream_delta& delta);

    // Returns the digest that the list would have after apply().
    std::uint64_t digestAfter(const upstream_delta& delta) const;

    // Returns what leads from this list to another.
    upstream_delta deltaTo(std::span<const placement::upstream_entry> other) const;

private:
    std::map<std::string, placement::upstream_entry> m_entries;
    std::uint64_t m_hashSum = 0;
};

}
