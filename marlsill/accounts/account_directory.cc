#include "marlsill/accounts/account_directory.h"

#include "marlsill/base/hash.h"

#include <algorithm>
#include <cstring>

namespace marlsill::accounts {

namespace {

    constexpr std::size_t maxNameBytes = 256;
    constexpr std::size_t elementsPerBucket = 8; // On average; half a byte of index for each.
    constexpr std::uint32_t notFound = 0xFFFF'FFFF;

    // Returns the bucket of a hash among `count`, which is not 0.
    std::size_t bucketOf(std::uint64_t hash, std::size_t count)
    {
        return static_cast<std::size_t>((hash >> 32) * count >> 32);
    }

    // Digests are as good as random, so that part of one is its hash.
    std::uint64_t hashOf(const key_digest& digest)
    {
        std::uint64_t hash = 0;
        std::memcpy(&hash, digest.data(), sizeof hash);
        return hash;
    }

    // Groups elements by bucket, in their order within each, and calls `place(element, position)` for each.
    // Returns where the buckets start.
    template <typename Elements, typename Hash, typename Place>
    std::vector<std::uint32_t> groupByBucket(const Elements& elements, Hash hash, Place place)
    {
        auto buckets = std::size(elements) / elementsPerBucket + 1;
        std::vector<std::uint32_t> starts(buckets + 1);
        for (const auto& each : elements) {
            ++starts[bucketOf(hash(each), buckets) + 1];
        }
        for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
            starts[bucket + 1] += starts[bucket];
        }
        auto next = starts;
        for (const auto& each : elements) {
            place(each, next[bucketOf(hash(each), buckets)]++);
        }
        return starts;
    }

    // Returns the elements of the bucket that a hash belongs to.
    template <typename Element>
    std::span<const Element> bucketAt(
        const std::vector<Element>& grouped, const std::vector<std::uint32_t>& starts, std::uint64_t hash)
    {
        if (starts.empty()) {
            return {};
        }
        auto bucket = bucketOf(hash, starts.size() - 1);
        return std::span(grouped).subspan(starts[bucket], starts[bucket + 1] - starts[bucket]);
    }

}

bool isAccountName(std::string_view name)
{
    bool isPlain = std::none_of(name.begin(), name.end(), [](char each) {
        auto byte = static_cast<unsigned char>(each);
        return byte < 0x20 || byte == 0x7F;
    });
    return isPlain && !name.empty() && name.size() <= maxNameBytes && name.front() != ' '
        && name.back() != ' ';
}

account_directory::account_directory(std::vector<client_account> accounts, std::vector<account_key> keys)
    : m_accounts(std::move(accounts))
{
    m_accounts.shrink_to_fit();
    indexNames();
    mergeNames(keys);
    indexKeys(keys);
}

void account_directory::indexNames()
{
    m_accountsByName.resize(m_accounts.size());
    m_nameBuckets = groupByBucket(
        m_accounts, [](const auto& each) { return fastHash(each.name); },
        [this](const auto& each, auto position) {
            m_accountsByName[position] = static_cast<std::uint32_t>(&each - m_accounts.data());
        });
}

// Removes the accounts whose names occur before, and gives their keys to the first ones.
void account_directory::mergeNames(std::span<account_key> keys)
{
    std::vector<std::uint32_t> firsts(m_accounts.size());
    for (std::uint32_t index = 0; index < firsts.size(); ++index) {
        firsts[index] = indexOf(m_accounts[index].name);
    }
    std::uint32_t kept = 0;
    std::vector<std::uint32_t> moved(m_accounts.size());
    for (std::uint32_t index = 0; index < firsts.size(); ++index) {
        if (firsts[index] != index) {
            continue;
        }
        if (kept != index) {
            m_accounts[kept] = std::move(m_accounts[index]);
        }
        moved[index] = kept++;
    }
    for (auto& each : keys) {
        each.account = moved[firsts[each.account]];
    }
    if (kept < m_accounts.size()) {
        m_accounts.resize(kept);
        m_accounts.shrink_to_fit();
        indexNames();
    }
}

void account_directory::indexKeys(std::span<const account_key> keys)
{
    m_keys.resize(keys.size());
    m_keyBuckets = groupByBucket(
        keys, [](const auto& each) { return hashOf(each.digest); },
        [this](const auto& each, auto position) { m_keys[position] = each; });
}

// Returns the index of the first account of that name, or `notFound`.
std::uint32_t account_directory::indexOf(std::string_view name) const
{
    for (auto index : bucketAt(m_accountsByName, m_nameBuckets, fastHash(name))) {
        if (m_accounts[index].name == name) {
            return index;
        }
    }
    return notFound;
}

const client_account* account_directory::findByDigest(const key_digest& digest) const
{
    for (const auto& each : bucketAt(m_keys, m_keyBuckets, hashOf(digest))) {
        if (each.digest == digest) {
            return &m_accounts[each.account];
        }
    }
    return nullptr;
}

const client_account* account_directory::find(std::string_view name) const
{
    auto index = indexOf(name);
    return index == notFound ? nullptr : &m_accounts[index];
}

}
