#pragma once

// Commits submitted configurations to the platform's object store and loads the accepted one.
//
//     config_repository repository(platform);
//     auto outcome = repository.submit(current, submission, limit);
//     if (outcome.status == submit_status::conflict)
//         report(outcome.text); // Lists the keys of the conflicting entries.

#include "marlsill/config/config_tree.h"
#include "marlsill/documents/documents.h"
#include "marlsill/platform/object_store.h"

#include <algorithm>
#include <string>
#include <vector>

namespace marlsill::config {

// Key of the object that holds the head. It is written by conditional updates only.
inline constexpr const char* headObject = "config/head";

// The result of a submission.
enum class submit_status {
    accepted,
    refused, // The document is invalid or contradicts the other document.
    conflict, // The document is based on an older generation, or a concurrent submission was accepted first.
    notAccepted, // Nothing was committed; the same submission can be retried.
    unknown, // The commit may have taken effect; resubmitting the same operation id tells.
};

// One submitted document.
struct submission {
    document_kind kind = document_kind::inventory;
    std::string text;
    std::string operation; // Unique operation id; submissions with the same id are accepted at most once.
};

// The outcome of a submission. `generation` and `tree` are set only if it was accepted.
struct submit_outcome {
    submit_status status = submit_status::notAccepted;
    std::int64_t generation = 0;
    std::string text; // Message for the operator.
    std::optional<config_tree> tree; // The configuration after the submission.
};

// Returns the generation that an operation created, or std::nullopt if it is not among the head's recent
// operations.
inline std::optional<std::int64_t> generationOfOperation(const config_head& head, std::string_view operation)
{
    for (const auto& each : head.recent) {
        if (each.operation == operation) {
            return each.generation;
        }
    }
    return std::nullopt;
}

// Return all services of one document kind in a tree. Entries are validated before they are accepted, so an
// entry that does not parse means that the stored data is corrupt, and the whole call fails.
std::optional<std::vector<service_inventory>> inventoryOf(const config_tree& tree, reason& why);
std::optional<std::vector<service_rules>> rulesOf(const config_tree& tree, reason& why);

// Returns the changes that a submission makes to `current`. Fails with `invalid` if the document is not
// valid, or with `conflict` if it is based on another generation than the current one.
std::optional<config_changes> computeChanges(
    const config_tree& current, const submission& submitted, reason& why);

// Reads and writes the configuration in the platform's object store. Thread safe if the store is.
template <platform::object_store Store> class config_repository {
public:
    explicit config_repository(Store& store)
        : m_store(store)
    {
    }

    // Reads the head and, if it is newer than `current`, the blobs that `current` lacks. Fails with
    // `conflict` if the stored head is not newer.
    std::optional<config_tree> refresh(const config_tree& current, deadline limit, reason& why)
    {
        auto stored = m_store.read(headObject, limit, why);
        return stored ? load(current, *stored, limit, why) : std::nullopt;
    }

    // Loads the tree of a head object that a read or a watch returned. Reads only the blobs that `current`
    // lacks.
    std::optional<config_tree> load(
        const config_tree& current, const platform::stored_object& stored, deadline limit, reason& why)
    {
        auto head = parseHead(stored.value, why);
        if (!head) {
            return std::nullopt;
        }
        auto fetch = [&](const std::vector<std::string>& hashes) { return readBlobs(hashes, limit, why); };
        return current.advancedTo(*head, fetch, why);
    }

    // Commits a submission: writes its blobs, then the head by a single conditional update. `known` is any
    // tree loaded earlier; blobs that it holds are not read again.
    submit_outcome submit(const config_tree& known, const submission& submitted, deadline limit)
    {
        reason why;
        auto stored = m_store.read(headObject, limit, why);
        if (!stored && why.code != reason_code::notFound) {
            return { submit_status::notAccepted, 0, "the platform is away: " + why.text, {} };
        }
        auto version = stored ? stored->version : platform::noVersion;
        config_tree current;
        if (stored) {
            auto loaded = loadCurrent(known, *stored, limit, why);
            if (!loaded) {
                return { submit_status::notAccepted, 0, why.text, {} };
            }
            current = std::move(*loaded);
        }
        if (auto generation = generationOfOperation(current.head(), submitted.operation)) {
            return { submit_status::accepted, *generation, "accepted before", std::move(current) };
        }
        auto changes = computeChanges(current, submitted, why);
        if (!changes) {
            auto status
                = why.code == reason_code::conflict ? submit_status::conflict : submit_status::refused;
            return { status, 0, why.text, {} };
        }
        auto next = current.with(*changes, submitted.operation, submitted.kind);
        if (!writeBlobs(current, next, limit, why)) {
            return { submit_status::notAccepted, 0, why.text, {} };
        }
        return commit(std::move(next), version, submitted, limit);
    }

private:
    std::optional<std::string> readBlob(const std::string& hash, deadline limit, reason& why)
    {
        auto stored = m_store.read("config-blob/" + hash, limit, why);
        return stored ? std::optional(std::move(stored->value)) : std::nullopt;
    }

    std::map<std::string, std::string> readBlobs(
        const std::vector<std::string>& hashes, deadline limit, reason& why)
    {
        std::map<std::string, std::string> blobs;
        for (const auto& hash : hashes) {
            auto bytes = readBlob(hash, limit, why);
            if (!bytes) {
                break;
            }
            blobs[hash] = std::move(*bytes);
        }
        return blobs;
    }

    std::optional<config_tree> loadCurrent(
        const config_tree& known, const platform::stored_object& stored, deadline limit, reason& why)
    {
        auto loaded = load(known, stored, limit, why);
        if (loaded || why.code != reason_code::conflict) {
            return loaded;
        }
        auto head = parseHead(stored.value, why);
        bool isKnown = head && head->generation == known.head().generation;
        return isKnown ? std::optional(known) : std::nullopt;
    }

    bool writeBlobs(const config_tree& current, const config_tree& next, deadline limit, reason& why)
    {
        for (const auto& hash : next.blobsMissingFrom(current)) {
            auto written
                = m_store.write("config-blob/" + hash, *next.blob(hash), platform::noVersion, limit, why);
            if (!written && why.code != reason_code::conflict && why.code != reason_code::uncertain) {
                return false;
            }
            if (!written && why.code == reason_code::uncertain && !readBlob(hash, limit, why)) {
                return false;
            }
        }
        return true;
    }

    submit_outcome commit(
        config_tree next, platform::object_version version, const submission& submitted, deadline limit)
    {
        reason why;
        auto generation = next.head().generation;
        auto written = m_store.write(headObject, toText(next.head()), version, limit, why);
        if (written) {
            return { submit_status::accepted, generation, "accepted", std::move(next) };
        }
        switch (why.code) {
        case reason_code::conflict:
            return { submit_status::conflict, 0, "another change was accepted at the same time", {} };
        case reason_code::uncertain:
            return resolveLostResponse(std::move(next), version, submitted, limit);
        default:
            return { submit_status::notAccepted, 0, "the platform is away: " + why.text, {} };
        }
    }

    // Determines whether a head write whose response was lost took effect, by looking for its operation id in
    // the stored head (rule G2 of spec/generations.pml).
    submit_outcome resolveLostResponse(
        config_tree next, platform::object_version version, const submission& submitted, deadline limit)
    {
        reason why;
        auto stored = m_store.read(headObject, limit, why);
        auto head = stored ? parseHead(stored->value, why) : std::nullopt;
        if (head && generationOfOperation(*head, submitted.operation)) {
            return { submit_status::accepted, next.head().generation, "accepted", std::move(next) };
        }
        if (head && stored->version > version) {
            return { submit_status::conflict, 0, "another change was accepted at the same time", {} };
        }
        return { submit_status::unknown, 0,
            "the platform's answer was lost; send operation " + submitted.operation
                + " again, which is accepted at most once",
            {} };
    }

    Store& m_store;
};

}
