#pragma once

// Reads JSON text of several writers, so that a part that cannot be read does not affect the others.
//
//     auto members = splitJsonObject(page, why);
//     for (auto item : splitJsonArray(members["items"], why).value_or(...))
//         if (auto value = parseJson(item, why))
//             use(*value);
//
// Splitting looks at brackets and strings only: numbers that overflow, unpaired surrogate escapes, control
// characters, invalid UTF-8 and any depth of nesting inside a part leave the other parts readable. Parsing is
// limited in depth, as copying and serializing nlohmann::json takes stack for each level. A parsed value
// takes many times the memory of its text; parseJsonFields() keeps only what is asked for.

#include "marlsill/base/reason.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace marlsill::store {

constexpr int maxJsonDepth = 64;

// The members of an object: names as they are written, without quotation marks, and the texts of their
// values.
using json_members = std::map<std::string_view, std::string_view>;

// Splits the text of one object. Of members with the same name the last counts. Returns std::nullopt if it is
// no object or its brackets do not match.
std::optional<json_members> splitJsonObject(std::string_view text, reason& why);

// Splits the text of one array into the texts of its elements. Returns std::nullopt if it is no array or its
// brackets do not match.
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text, reason& why);

// Parses one value. Returns std::nullopt if it is malformed or nested deeper than `maxJsonDepth`.
std::optional<nlohmann::json> parseJson(std::string_view text, reason& why);

// Parses the text of an object and returns those of its members that have one of the given names, without
// building the others. A wanted member that is an array, an object, or a string of more than `maxStringBytes`
// becomes an empty array, which is of another type than any scalar. Returns std::nullopt if any part of the
// text is malformed, if it is no object, or if it is nested deeper than `maxJsonDepth`.
std::optional<nlohmann::json> parseJsonFields(
    std::string_view text, std::span<const std::string_view> names, std::size_t maxStringBytes, reason& why);

}
