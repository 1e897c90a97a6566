#include "marlsill/documents/internal/value_reader.h"

#include <algorithm>

namespace marlsill::internal {

namespace {

    constexpr int maxDepth = 16;

}

void read_failure::set(std::string_view path, std::string_view text)
{
    if (m_isSet) {
        return;
    }
    m_isSet = true;
    m_text = (path.empty() ? std::string("document") : std::string(path)) + ": " + std::string(text);
}

object_reader::object_reader(const nlohmann::json& value, std::string path, read_failure& failure)
    : m_value(value)
    , m_path(std::move(path))
    , m_failure(failure)
{
    if (!value.is_object()) {
        m_failure.set(m_path, "must be an object");
    }
}

const nlohmann::json* object_reader::find(const char* name)
{
    m_known.emplace_back(name);
    if (!m_value.is_object()) {
        return nullptr;
    }
    auto found = m_value.find(name);
    return found == m_value.end() ? nullptr : &*found;
}

std::string object_reader::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

std::string object_reader::text(
    const char* name, std::size_t maxLength, std::optional<std::string> defaultValue)
{
    const auto* value = find(name);
    if (!value && defaultValue) {
        return *defaultValue;
    }
    bool isValid = value && value->is_string() && value->get_ref<const std::string&>().size() <= maxLength
        && (defaultValue || !value->get_ref<const std::string&>().empty());
    if (!isValid) {
        m_failure.set(pathOf(name), "must be a text of 1 to " + std::to_string(maxLength) + " characters");
        return {};
    }
    const auto& text = value->get_ref<const std::string&>();
    bool isPrintable
        = std::all_of(text.begin(), text.end(), [](char each) { return each > 0x20 && each < 0x7F; });
    if (!isPrintable) {
        m_failure.set(pathOf(name), "must hold printable ASCII characters without spaces");
    }
    return text;
}

std::int64_t object_reader::integer(
    const char* name, integer_range range, std::optional<std::int64_t> defaultValue)
{
    const auto* value = find(name);
    if (!value && defaultValue) {
        return *defaultValue;
    }
    bool isInRange = value && value->is_number_integer() && value->get<std::int64_t>() >= range.minimum
        && value->get<std::int64_t>() <= range.maximum;
    if (!isInRange) {
        m_failure.set(pathOf(name),
            "must be a whole number from " + std::to_string(range.minimum) + " to "
                + std::to_string(range.maximum));
        return range.minimum;
    }
    return value->get<std::int64_t>();
}

double object_reader::share(const char* name, double defaultValue)
{
    const auto* value = find(name);
    if (!value) {
        return defaultValue;
    }
    bool isInRange = value->is_number() && value->get<double>() >= 0 && value->get<double>() <= 1;
    if (!isInRange) {
        m_failure.set(pathOf(name), "must be a number from 0 to 1");
        return defaultValue;
    }
    return value->get<double>();
}

bool object_reader::boolean(const char* name, bool defaultValue)
{
    const auto* value = find(name);
    if (!value) {
        return defaultValue;
    }
    if (!value->is_boolean()) {
        m_failure.set(pathOf(name), "must be true or false");
        return defaultValue;
    }
    return value->get<bool>();
}

void object_reader::finish()
{
    if (!m_value.is_object()) {
        return;
    }
    for (const auto& [name, value] : m_value.items()) {
        if (std::find(m_known.begin(), m_known.end(), name) == m_known.end()) {
            m_failure.set(pathOf(name), "is not a known field");
        }
    }
}

std::optional<nlohmann::json> parseJson(std::string_view text, reason& why)
{
    bool isTooDeep = false;
    auto checkDepth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
        isTooDeep = isTooDeep || depth > maxDepth;
        return !isTooDeep;
    };
    auto value = nlohmann::json::parse(text, checkDepth, false);
    if (isTooDeep || value.is_discarded()) {
        return fail(why, reason_code::invalid, "document: is not valid JSON");
    }
    return value;
}

}
