#include "marlsill/ejection/ejection_object.h"

#include "marlsill/base/hash.h"

#include <nlohmann/json.hpp>

namespace marlsill::ejection {

namespace {

    constexpr std::uint64_t objectCount = 64;

    bool hasString(const nlohmann::json& value, const char* name)
    {
        auto found = value.find(name);
        return found != value.end() && found->is_string();
    }

    bool hasInteger(const nlohmann::json& value, const char* name)
    {
        auto found = value.find(name);
        return found != value.end() && found->is_number_integer();
    }

    bool isValidEntry(const nlohmann::json& value)
    {
        return value.is_object() && hasString(value, "service") && hasString(value, "upstream")
            && hasString(value, "evidence") && hasInteger(value, "started_at") && hasInteger(value, "until")
            && hasInteger(value, "floor_slots") && hasInteger(value, "healthy_slots_left");
    }

}

std::string ejectionObjectOf(std::string_view service)
{
    return "ejections/" + std::to_string(fastHash(service) % objectCount);
}

std::string formatEjections(const std::vector<ejection_entry>& entries)
{
    auto list = nlohmann::json::array();
    for (const auto& each : entries) {
        list.push_back({ { "service", each.service }, { "upstream", each.upstream },
            { "started_at", toUnixMilliseconds(each.startedAt) }, { "until", toUnixMilliseconds(each.until) },
            { "evidence", each.evidence }, { "floor_slots", each.floorSlots },
            { "healthy_slots_left", each.healthySlotsLeft } });
    }
    return list.dump();
}

std::optional<std::vector<ejection_entry>> parseEjections(std::string_view text, reason& why)
{
    auto list = nlohmann::json::parse(text, nullptr, false);
    if (!list.is_array()) {
        return fail(why, reason_code::invalid, "malformed ejection object: not a JSON array");
    }
    std::vector<ejection_entry> entries;
    for (const auto& each : list) {
        if (!isValidEntry(each)) {
            return fail(why, reason_code::invalid,
                "malformed ejection entry: a field is missing or has the wrong type");
        }
        entries.push_back({ each["service"].get<std::string>(), each["upstream"].get<std::string>(),
            fromUnixMilliseconds(each["started_at"].get<std::int64_t>()),
            fromUnixMilliseconds(each["until"].get<std::int64_t>()), each["evidence"].get<std::string>(),
            each["floor_slots"].get<int>(), each["healthy_slots_left"].get<int>() });
    }
    return entries;
}

}
