#include "marlsill/config/config_repository.h"

#include <set>

namespace marlsill::config {

namespace {

    template <typename Service, typename Parse>
    std::optional<std::vector<Service>> parseServices(
        const config_tree& tree, std::string_view prefix, Parse parse, reason& why)
    {
        std::vector<Service> services;
        for (const auto& key : tree.keys(prefix)) {
            auto service = parse(*tree.entry(key), why);
            if (!service) {
                why.text = key + ": " + why.text;
                return std::nullopt;
            }
            services.push_back(std::move(*service));
        }
        return services;
    }

    // Returns the changes that turn the entries under `prefix` into `wanted`, including removals.
    config_changes changesToReach(
        const config_tree& current, std::string_view prefix, const std::map<std::string, std::string>& wanted)
    {
        config_changes changes;
        for (const auto& key : current.keys(prefix)) {
            if (!wanted.contains(key)) {
                changes[key] = nullptr;
            }
        }
        for (const auto& [key, value] : wanted) {
            auto old = current.entry(key);
            if (!old || *old != value) {
                changes[key] = std::make_shared<std::string>(value);
            }
        }
        return changes;
    }

    bool isBasedOnAccepted(
        std::int64_t base, std::int64_t acceptedGeneration, const config_changes& changes, reason& why)
    {
        if (base == acceptedGeneration) {
            return true;
        }
        std::string text = "the document was made from generation " + std::to_string(base)
            + ", but generation " + std::to_string(acceptedGeneration) + " is accepted; they differ in:";
        for (const auto& [key, value] : changes) {
            text += " " + key;
        }
        why = { reason_code::conflict, std::move(text) };
        return false;
    }

    std::optional<config_changes> inventoryChanges(
        const config_tree& current, const std::string& text, reason& why)
    {
        auto document = parseInventory(text, why);
        auto rules = document ? rulesOf(current, why) : std::nullopt;
        if (!rules) {
            return std::nullopt;
        }
        std::map<std::string, std::string> wanted;
        for (const auto& each : document->services) {
            wanted[inventoryKey(each.name)] = toJson(each);
        }
        auto changes = changesToReach(current, "inventory/", wanted);
        bool isValid
            = isBasedOnAccepted(document->baseGeneration, current.head().inventoryGeneration, changes, why)
            && agree(document->services, *rules, why);
        return isValid ? std::optional(std::move(changes)) : std::nullopt;
    }

    std::optional<config_changes> rulesChanges(
        const config_tree& current, const std::string& text, reason& why)
    {
        auto document = parseRules(text, why);
        auto inventory = document ? inventoryOf(current, why) : std::nullopt;
        if (!inventory) {
            return std::nullopt;
        }
        std::map<std::string, std::string> wanted;
        for (const auto& each : document->services) {
            wanted[rulesKey(each.name)] = toJson(each);
        }
        auto changes = changesToReach(current, "rules/", wanted);
        bool isValid
            = isBasedOnAccepted(document->baseGeneration, current.head().rulesGeneration, changes, why)
            && agree(*inventory, document->services, why);
        return isValid ? std::optional(std::move(changes)) : std::nullopt;
    }

}

std::optional<std::vector<service_inventory>> inventoryOf(const config_tree& tree, reason& why)
{
    return parseServices<service_inventory>(tree, "inventory/", parseServiceInventory, why);
}

std::optional<std::vector<service_rules>> rulesOf(const config_tree& tree, reason& why)
{
    return parseServices<service_rules>(tree, "rules/", parseServiceRules, why);
}

std::optional<config_changes> computeChanges(
    const config_tree& current, const submission& submitted, reason& why)
{
    return submitted.kind == document_kind::inventory ? inventoryChanges(current, submitted.text, why)
                                                      : rulesChanges(current, submitted.text, why);
}

}
