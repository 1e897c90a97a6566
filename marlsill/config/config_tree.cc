#include "marlsill/config/config_tree.h"

#include "marlsill/base/hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace marlsill::config {

namespace {

    using nlohmann::json;

    constexpr int leavesPerIndex = 64;
    constexpr int leafCount = 64 * leavesPerIndex;
    constexpr std::size_t blobHashLength = 32; // Hexadecimal digits.

    // Parses a JSON object that maps positions to blob hashes. Fails unless every position lies in
    // [first, first + count).
    std::optional<std::map<int, std::string>> readHashes(const json& value, int first, int count)
    {
        if (!value.is_object()) {
            return std::nullopt;
        }
        std::map<int, std::string> hashes;
        for (const auto& [name, hash] : value.items()) {
            bool isNumber = !name.empty() && name.size() <= 6
                && name.find_first_not_of("0123456789") == std::string::npos;
            if (!isNumber || !hash.is_string()) {
                return std::nullopt;
            }
            int position = std::stoi(name);
            const auto& text = hash.get_ref<const std::string&>();
            if (position < first || position >= first + count || text.size() != blobHashLength) {
                return std::nullopt;
            }
            hashes.emplace(position, text);
        }
        return hashes;
    }

    std::string hashesToText(const std::map<int, std::string>& hashes)
    {
        json value = json::object();
        for (const auto& [position, hash] : hashes) {
            value[std::to_string(position)] = hash;
        }
        return value.dump();
    }

    std::optional<std::vector<accepted_operation>> readOperations(const json& value)
    {
        if (!value.is_array() || value.size() > maxRecentOperations) {
            return std::nullopt;
        }
        std::vector<accepted_operation> operations;
        for (const auto& each : value) {
            bool isValid
                = each.is_array() && each.size() == 2 && each[0].is_string() && each[1].is_number_integer();
            if (!isValid) {
                return std::nullopt;
            }
            operations.push_back({ each[0].get<std::string>(), each[1].get<std::int64_t>() });
        }
        return operations;
    }

    std::int64_t integerOf(const json& value, const char* name)
    {
        auto found = value.find(name);
        bool isValid = found != value.end() && found->is_number_integer() && found->get<std::int64_t>() >= 0;
        return isValid ? found->get<std::int64_t>() : -1;
    }

}

std::string hashOfBlob(std::string_view bytes) { return sha256Hex(bytes).substr(0, blobHashLength); }

int leafOf(std::string_view key) { return static_cast<int>(fastHash(key) % leafCount); }

std::string inventoryKey(std::string_view service) { return "inventory/" + std::string(service); }

std::string rulesKey(std::string_view service) { return "rules/" + std::string(service); }

std::string toText(const config_head& head)
{
    json recent = json::array();
    for (const auto& each : head.recent) {
        recent.push_back({ each.operation, each.generation });
    }
    json indexes = json::object();
    for (const auto& [position, hash] : head.indexes) {
        indexes[std::to_string(position)] = hash;
    }
    json value { { "generation", head.generation }, { "inventory_generation", head.inventoryGeneration },
        { "rules_generation", head.rulesGeneration }, { "recent", std::move(recent) },
        { "indexes", std::move(indexes) } };
    return value.dump();
}

std::optional<config_head> parseHead(std::string_view text, reason& why)
{
    auto value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("recent") || !value.contains("indexes")) {
        return fail(why, reason_code::invalid, "malformed configuration head");
    }
    auto recent = readOperations(value["recent"]);
    auto indexes = readHashes(value["indexes"], 0, leafCount / leavesPerIndex);
    config_head head;
    head.generation = integerOf(value, "generation");
    head.inventoryGeneration = integerOf(value, "inventory_generation");
    head.rulesGeneration = integerOf(value, "rules_generation");
    bool isValid = recent && indexes && head.generation >= 0 && head.inventoryGeneration >= 0
        && head.rulesGeneration >= 0;
    if (!isValid) {
        return fail(why, reason_code::invalid, "malformed configuration head");
    }
    head.recent = std::move(*recent);
    head.indexes = std::move(*indexes);
    return head;
}

config_tree config_tree::with(const config_changes& changes, std::string operation, document_kind kind) const
{
    config_tree next = *this;
    std::map<int, leaf_entries> changedLeaves;
    for (const auto& [key, value] : changes) {
        int position = leafOf(key);
        auto found = next.m_leaves.find(position);
        auto [leaf, isNew] = changedLeaves.try_emplace(position);
        if (isNew && found != next.m_leaves.end()) {
            leaf->second = *found->second;
        }
        if (value) {
            leaf->second[key] = value;
        } else {
            leaf->second.erase(key);
        }
    }
    for (auto& [position, entries] : changedLeaves) {
        next.replaceLeaf(position, std::make_shared<leaf_entries>(std::move(entries)));
    }
    auto& head = next.m_head;
    ++head.generation;
    (kind == document_kind::inventory ? head.inventoryGeneration : head.rulesGeneration) = head.generation;
    head.recent.push_back({ std::move(operation), head.generation });
    if (head.recent.size() > maxRecentOperations) {
        head.recent.erase(head.recent.begin());
    }
    return next;
}

void config_tree::replaceLeaf(int position, std::shared_ptr<const leaf_entries> entries)
{
    int indexPosition = position / leavesPerIndex;
    auto& index = m_indexes[indexPosition];
    if (auto old = index.find(position); old != index.end()) {
        m_blobs.erase(old->second);
        index.erase(old);
    }
    if (auto old = m_head.indexes.find(indexPosition); old != m_head.indexes.end()) {
        m_blobs.erase(old->second);
        m_head.indexes.erase(old);
    }
    m_leaves.erase(position);
    if (!entries->empty()) {
        json value = json::object();
        for (const auto& [key, entry] : *entries) {
            value[key] = *entry;
        }
        auto bytes = std::make_shared<std::string>(value.dump());
        auto hash = hashOfBlob(*bytes);
        index[position] = hash;
        m_blobs[hash] = std::move(bytes);
        m_leaves[position] = std::move(entries);
    }
    if (index.empty()) {
        m_indexes.erase(indexPosition);
        return;
    }
    auto bytes = std::make_shared<std::string>(hashesToText(index));
    auto hash = hashOfBlob(*bytes);
    m_head.indexes[indexPosition] = hash;
    m_blobs[hash] = std::move(bytes);
}

std::vector<std::string> config_tree::hashesOf(const std::map<int, std::string>& named)
{
    std::vector<std::string> hashes;
    for (const auto& [position, hash] : named) {
        hashes.push_back(hash);
    }
    return hashes;
}

config_tree::blob_pointer config_tree::takeVerifiedBlob(
    const std::string& hash, std::map<std::string, std::string>& fetched, reason& why)
{
    auto found = fetched.find(hash);
    if (found == fetched.end()) {
        why = { reason_code::unavailable, "blob " + hash + " could not be fetched" };
        return nullptr;
    }
    if (hashOfBlob(found->second) != hash) {
        why = { reason_code::invalid, "blob " + hash + " does not match its hash" };
        return nullptr;
    }
    return std::make_shared<std::string>(std::move(found->second));
}

bool config_tree::addIndexes(const blob_map& blobs, reason& why)
{
    for (const auto& [position, hash] : m_head.indexes) {
        if (!addIndex(position, hash, blobs.at(hash), why)) {
            return false;
        }
    }
    return true;
}

bool config_tree::addLeaves(const blob_map& blobs, const config_tree& previous, reason& why)
{
    for (const auto& [indexPosition, leaves] : m_indexes) {
        for (const auto& [position, hash] : leaves) {
            if (!addLeaf(position, hash, blobs.at(hash), previous, why)) {
                return false;
            }
        }
    }
    return true;
}

bool config_tree::addIndex(int position, const std::string& hash, const blob_pointer& blob, reason& why)
{
    auto value = json::parse(*blob, nullptr, false);
    auto hashes = readHashes(value, position * leavesPerIndex, leavesPerIndex);
    if (!hashes) {
        why = { reason_code::invalid, "malformed index blob " + hash };
        return false;
    }
    m_indexes[position] = std::move(*hashes);
    m_blobs[hash] = blob;
    return true;
}

bool config_tree::addLeaf(
    int position, const std::string& hash, const blob_pointer& blob, const config_tree& previous, reason& why)
{
    m_blobs[hash] = blob;
    auto index = previous.m_indexes.find(position / leavesPerIndex);
    if (index != previous.m_indexes.end()) {
        auto known = index->second.find(position);
        if (known != index->second.end() && known->second == hash) {
            m_leaves[position] = previous.m_leaves.at(position);
            return true;
        }
    }
    auto value = json::parse(*blob, nullptr, false);
    auto entries = std::make_shared<leaf_entries>();
    bool isValid = value.is_object();
    for (const auto& [key, entry] : value.items()) {
        isValid = isValid && entry.is_string() && leafOf(key) == position;
        if (isValid) {
            entries->emplace(key, std::make_shared<std::string>(entry.get<std::string>()));
        }
    }
    if (!isValid) {
        why = { reason_code::invalid, "malformed leaf blob " + hash };
        return false;
    }
    m_leaves[position] = std::move(entries);
    return true;
}

std::shared_ptr<const std::string> config_tree::entry(const std::string& key) const
{
    auto leaf = m_leaves.find(leafOf(key));
    if (leaf == m_leaves.end()) {
        return nullptr;
    }
    auto found = leaf->second->find(key);
    return found == leaf->second->end() ? nullptr : found->second;
}

std::vector<std::string> config_tree::keys(std::string_view prefix) const
{
    std::vector<std::string> found;
    for (const auto& [position, leaf] : m_leaves) {
        for (const auto& [key, value] : *leaf) {
            if (key.starts_with(prefix)) {
                found.push_back(key);
            }
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

std::vector<std::string> config_tree::keysDifferentFrom(const config_tree& other) const
{
    std::set<std::string> different;
    auto compare = [&different](const config_tree& left, const config_tree& right) {
        for (const auto& [position, leaf] : left.m_leaves) {
            auto match = right.m_leaves.find(position);
            if (match != right.m_leaves.end() && match->second == leaf) {
                continue;
            }
            for (const auto& [key, value] : *leaf) {
                auto otherEntry = right.entry(key);
                if (!otherEntry || *otherEntry != *value) {
                    different.insert(key);
                }
            }
        }
    };
    compare(*this, other);
    compare(other, *this);
    return { different.begin(), different.end() };
}

std::shared_ptr<const std::string> config_tree::blob(const std::string& hash) const
{
    auto found = m_blobs.find(hash);
    return found == m_blobs.end() ? nullptr : found->second;
}

std::vector<std::string> config_tree::blobsMissingFrom(const config_tree& other) const
{
    std::vector<std::string> missing;
    for (const auto& [hash, bytes] : m_blobs) {
        if (!other.m_blobs.contains(hash)) {
            missing.push_back(hash);
        }
    }
    return missing;
}

std::size_t config_tree::totalBytes() const
{
    std::size_t total = 0;
    for (const auto& [hash, bytes] : m_blobs) {
        total += bytes->size();
    }
    return total;
}

}
