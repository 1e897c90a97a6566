#pragma once

// The configuration as a Merkle tree of small blobs. A change transfers only a few kilobytes, regardless of
// the size of the configuration.
//
//     config_tree next = current.with(changes, operation, document_kind::rules);
//     for (const auto& hash : next.blobsMissingFrom(current))
//         send(hash, *next.blob(hash));
//
// The head refers to index blobs, an index refers to leaf blobs, and a leaf holds entries. Blobs are
// addressed by the SHA-256 of their bytes, truncated to 32 hexadecimal digits, so a blob can be fetched from
// an untrusted source and verified.

#include "marlsill/base/reason.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::config {

// The documents that operators submit.
enum class document_kind {
    inventory,
    rules,
};

// The id of an accepted operation and the generation that it created.
struct accepted_operation {
    std::string operation;
    std::int64_t generation = 0;
};

// The root of the tree: the generation and the hashes of the index blobs.
struct config_head {
    std::int64_t generation = 0;
    std::int64_t inventoryGeneration = 0; // Generation in which the inventory last changed.
    std::int64_t rulesGeneration = 0; // Generation in which the rules last changed.
    std::vector<accepted_operation> recent; // Oldest first.
    std::map<int, std::string> indexes; // Hashes of the non-empty index blobs by index position.
};

// Maximum number of operations in config_head::recent. Older ones are dropped.
constexpr std::size_t maxRecentOperations = 32;

// Serializes a head as it is stored.
std::string toText(const config_head& head);

// Parses a serialized head. Fails with `invalid`.
std::optional<config_head> parseHead(std::string_view text, reason& why);

// Entries to set, by key; a null pointer removes the entry.
using config_changes = std::map<std::string, std::shared_ptr<const std::string>>;

// An immutable configuration. Copies share blobs and leaves.
class config_tree {
public:
    config_tree() = default;

    const config_head& head() const { return m_head; }

    // Returns the tree with `changes` applied and the generation incremented. Records `operation` among the
    // recent operations.
    config_tree with(const config_changes& changes, std::string operation, document_kind kind) const;

    // Returns the tree that `head` describes. `fetch` is called with the hashes of the blobs that this tree
    // lacks and returns the blobs that it could get, by hash. Fails with `unavailable` if a blob is missing,
    // with `invalid` if a blob is corrupt, and with `conflict` if `head` is not newer than this tree's head
    // (rule G1 of spec/generations.pml).
    template <typename Fetch>
    std::optional<config_tree> advancedTo(const config_head& head, Fetch fetch, reason& why) const
    {
        if (head.generation <= m_head.generation) {
            return fail(why, reason_code::conflict,
                "generation " + std::to_string(head.generation) + " is not newer");
        }
        config_tree next;
        next.m_head = head;
        auto indexBlobs = collectBlobs(hashesOf(head.indexes), fetch, why);
        if (!indexBlobs || !next.addIndexes(*indexBlobs, why)) {
            return std::nullopt;
        }
        std::vector<std::string> leaves;
        for (const auto& [position, hashes] : next.m_indexes) {
            auto hashesOfIndex = hashesOf(hashes);
            leaves.insert(leaves.end(), hashesOfIndex.begin(), hashesOfIndex.end());
        }
        auto leafBlobs = collectBlobs(leaves, fetch, why);
        if (!leafBlobs || !next.addLeaves(*leafBlobs, *this, why)) {
            return std::nullopt;
        }
        return next;
    }

    // Returns the entry with this key, or a null pointer.
    std::shared_ptr<const std::string> entry(const std::string& key) const;

    // Returns the keys that begin with `prefix`, sorted.
    std::vector<std::string> keys(std::string_view prefix) const;

    // Returns the keys whose entries differ between this tree and another, sorted. Keys that only one of them
    // has are included.
    std::vector<std::string> keysDifferentFrom(const config_tree& other) const;

    // Returns the blob with this hash, or a null pointer.
    std::shared_ptr<const std::string> blob(const std::string& hash) const;

    // Returns the hashes of the blobs that this tree has and `other` lacks.
    std::vector<std::string> blobsMissingFrom(const config_tree& other) const;

    // Returns the total size of all blobs in bytes.
    std::size_t totalBytes() const;

private:
    using blob_pointer = std::shared_ptr<const std::string>;
    using leaf_entries = std::map<std::string, blob_pointer>;

    using blob_map = std::map<std::string, blob_pointer>;

    // Returns the blobs with these hashes. Blobs that this tree lacks are fetched and verified.
    template <typename Fetch>
    std::optional<blob_map> collectBlobs(
        const std::vector<std::string>& hashes, Fetch fetch, reason& why) const
    {
        blob_map blobs;
        std::vector<std::string> missing;
        for (const auto& hash : hashes) {
            if (auto own = blob(hash)) {
                blobs[hash] = std::move(own);
            } else {
                missing.push_back(hash);
            }
        }
        if (missing.empty()) {
            return blobs;
        }
        std::map<std::string, std::string> fetched = fetch(missing);
        for (const auto& hash : missing) {
            auto checked = takeVerifiedBlob(hash, fetched, why);
            if (!checked) {
                return std::nullopt;
            }
            blobs[hash] = std::move(checked);
        }
        return blobs;
    }

    static std::vector<std::string> hashesOf(const std::map<int, std::string>& named);
    static blob_pointer takeVerifiedBlob(
        const std::string& hash, std::map<std::string, std::string>& fetched, reason& why);
    bool addIndexes(const blob_map& blobs, reason& why);
    bool addLeaves(const blob_map& blobs, const config_tree& previous, reason& why);
    bool addIndex(int position, const std::string& hash, const blob_pointer& blob, reason& why);
    bool addLeaf(int position, const std::string& hash, const blob_pointer& blob, const config_tree& previous,
        reason& why);
    void replaceLeaf(int position, std::shared_ptr<const leaf_entries> entries);

    config_head m_head;
    std::map<int, std::map<int, std::string>> m_indexes; // Leaf hashes by index position and leaf position.
    std::map<int, std::shared_ptr<const leaf_entries>> m_leaves;
    std::map<std::string, blob_pointer> m_blobs;
};

// Returns the hash by which a blob is addressed.
std::string hashOfBlob(std::string_view bytes);

// Returns the position of the leaf that holds a key.
int leafOf(std::string_view key);

// Return the keys of a service's entries.
std::string inventoryKey(std::string_view service);
std::string rulesKey(std::string_view service);

}
