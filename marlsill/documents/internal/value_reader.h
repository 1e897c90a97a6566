#pragma once

// Reads typed values from JSON and remembers the first offending path.

#include "marlsill/base/reason.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::internal {

// An inclusive range.
struct integer_range {
    std::int64_t minimum;
    std::int64_t maximum;
};

// The first failure met while a document is read.
class read_failure {
public:
    // Remembers a failure unless one came before.
    void set(std::string_view path, std::string_view text);

    // Returns whether a failure was met.
    bool isSet() const { return m_isSet; }

    // Returns the path and the text of the first failure.
    const std::string& text() const { return m_text; }

private:
    bool m_isSet = false;
    std::string m_text;
};

// Reads the fields of one JSON object. Fields that were never asked for are a failure when finish() is
// called.
class object_reader {
public:
    // `value` and `failure` must outlive the reader.
    object_reader(const nlohmann::json& value, std::string path, read_failure& failure);

    // Return the field's value, or the default when it is absent; a required field has no default.
    std::string text(const char* name, std::size_t maxLength, std::optional<std::string> defaultValue = {});
    std::int64_t integer(
        const char* name, integer_range range, std::optional<std::int64_t> defaultValue = {});
    double share(const char* name, double defaultValue);
    bool boolean(const char* name, bool defaultValue);

    // Calls `read` with each element of an array field and its path; an absent field is an empty array.
    template <typename Read> void array(const char* name, Read read)
    {
        const auto* values = find(name);
        if (!values) {
            return;
        }
        auto path = pathOf(name);
        if (!values->is_array()) {
            m_failure.set(path, "must be an array");
            return;
        }
        std::size_t index = 0;
        for (const auto& each : *values) {
            read(each, path + "[" + std::to_string(index) + "]");
            ++index;
        }
    }

    // Calls `read` with an object field and its path when it is present.
    template <typename Read> void object(const char* name, Read read)
    {
        if (const auto* value = find(name)) {
            read(*value, pathOf(name));
        }
    }

    // Fails on a field that nothing asked for.
    void finish();

private:
    const nlohmann::json* find(const char* name);
    std::string pathOf(std::string_view name) const;

    const nlohmann::json& m_value;
    std::string m_path;
    read_failure& m_failure;
    std::vector<std::string_view> m_known;
};

// Parses JSON text. Returns std::nullopt when it is not one valid, not too deeply nested JSON value.
std::optional<nlohmann::json> parseJson(std::string_view text, reason& why);

}
