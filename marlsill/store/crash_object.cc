#include "marlsill/store/crash_object.h"

#include "marlsill/store/json_text.h"

#include <algorithm>
#include <charconv>

namespace marlsill::store {

namespace {

    constexpr const char* expiresField = "expiresUnixMs";
    constexpr const char* upstreamsField = "upstreams"; // Id to crashes and cleared ones.
    constexpr int base = 16;
    // Renewals of a quarantine are reported four times in a retention of ten minutes.
    constexpr std::chrono::minutes expiryTolerance { 2 };
    constexpr std::int64_t maxUnixMs = 9'000'000'000'000; // In the year 2255; nanoseconds still fit 64 bits.
    constexpr std::int64_t maxCrashes = 1'000'000; // Of one upstream; sums still fit an int.

    // Returns a non-negative integer. Throws a JSON exception if it has another type.
    std::int64_t boundedInteger(const nlohmann::json& value, std::int64_t most)
    {
        auto number = value.get<double>(); // Defined for integers and reals of any size.
        return static_cast<std::int64_t>(std::clamp(number, 0.0, static_cast<double>(most)));
    }

}

int crash_object::crashes() const
{
    int sum = 0;
    for (const auto& [id, counts] : upstreams) {
        sum += counts.crashes - counts.cleared;
    }
    return sum;
}

std::string crashObjectName(std::uint64_t fingerprint)
{
    char digits[2 * sizeof fingerprint];
    auto end = std::to_chars(std::begin(digits), std::end(digits), fingerprint, base).ptr;
    return { digits, end };
}

std::optional<std::uint64_t> crashObjectFingerprint(const std::string& name)
{
    std::uint64_t fingerprint = 0;
    const auto* last = name.data() + name.size();
    auto [end, error] = std::from_chars(name.data(), last, fingerprint, base);
    return error == std::errc() && end == last ? std::optional(fingerprint) : std::nullopt;
}

crash_object toCrashObject(std::span<const placement::crash_record> records, steady_clock::time_point now,
    wall_clock::time_point wallNow)
{
    crash_object object;
    for (const auto& each : records) {
        object.upstreams[each.upstream] = { each.crashes, each.cleared };
        auto left = std::chrono::milliseconds(millisecondsUntil(each.expiresAt, now));
        object.expiresAt = std::max(object.expiresAt, wallNow + left);
    }
    return object;
}

std::vector<placement::crash_record> toCrashRecords(std::uint64_t fingerprint, const crash_object& object,
    steady_clock::time_point now, wall_clock::time_point wallNow)
{
    std::vector<placement::crash_record> records;
    for (const auto& [id, counts] : object.upstreams) {
        records.push_back(
            { fingerprint, id, counts.crashes, counts.cleared, toDeadline(object.expiresAt, wallNow, now) });
    }
    return records;
}

nlohmann::json encodeCrashObject(const crash_object& object)
{
    auto upstreams = nlohmann::json::object();
    for (const auto& [id, counts] : object.upstreams) {
        upstreams[id] = { counts.crashes, counts.cleared };
    }
    return { { expiresField, toUnixMilliseconds(object.expiresAt) },
        { upstreamsField, std::move(upstreams) } };
}

std::optional<crash_object> decodeCrashObject(const nlohmann::json& content, reason& why)
{
    try {
        crash_object object;
        object.expiresAt = fromUnixMilliseconds(boundedInteger(content.at(expiresField), maxUnixMs));
        for (const auto& [id, counts] : content.at(upstreamsField).items()) {
            object.upstreams[id] = { static_cast<int>(boundedInteger(counts.at(0), maxCrashes)),
                static_cast<int>(boundedInteger(counts.at(1), maxCrashes)) };
        }
        return object;
    } catch (const nlohmann::json::exception& error) {
        return fail(why, reason_code::invalid, error.what());
    }
}

std::optional<crash_object> parseCrashObject(std::string_view text, reason& why)
{
    if (text.size() > maxCrashObjectBytes) {
        return fail(why, reason_code::invalid, "larger than any crash record");
    }
    auto content = parseJson(text, why);
    return content ? decodeCrashObject(*content, why) : std::nullopt;
}

crash_object merged(const crash_object& first, const crash_object& second)
{
    auto result = first;
    result.expiresAt = std::max(first.expiresAt, second.expiresAt);
    for (const auto& [id, counts] : second.upstreams) {
        auto& each = result.upstreams[id];
        each = { std::max(each.crashes, counts.crashes), std::max(each.cleared, counts.cleared) };
    }
    return result;
}

bool covers(const crash_object& stored, const crash_object& known)
{
    return stored.expiresAt + expiryTolerance >= known.expiresAt
        && merged(stored, known).upstreams == stored.upstreams;
}

}
