#include "marlsill/store/json_text.h"

namespace marlsill::store {

namespace {

    constexpr std::string_view whiteSpace = " \t\r\n";

    std::string_view trimmed(std::string_view text)
    {
        auto start = text.find_first_not_of(whiteSpace);
        return start == std::string_view::npos
            ? std::string_view()
            : text.substr(start, text.find_last_not_of(whiteSpace) - start + 1);
    }

    // Returns the position after the string that starts at `start`; npos if it does not end.
    std::size_t endOfString(std::string_view text, std::size_t start)
    {
        for (auto position = start + 1; position < text.size(); ++position) {
            if (text[position] == '\\') {
                ++position;
            } else if (text[position] == '"') {
                return position + 1;
            }
        }
        return std::string_view::npos;
    }

    // Calls `visit` for each character outside of strings, with the number of brackets that are open before
    // it. Returns whether all strings end and the brackets match in number.
    template <typename Visitor> bool scan(std::string_view text, Visitor visit)
    {
        int depth = 0;
        std::size_t position = 0;
        while (position < text.size()) {
            char character = text[position];
            if (character == '"') {
                position = endOfString(text, position);
                continue;
            }
            bool isClosing = character == ']' || character == '}';
            if (isClosing && --depth < 0) {
                return false;
            }
            visit(position, character, depth);
            depth += character == '[' || character == '{' ? 1 : 0;
            ++position;
        }
        return position == text.size() && depth == 0;
    }

    // Splits the text between a pair of brackets at the commas that are in no other brackets.
    std::optional<std::vector<std::string_view>> splitAtCommas(
        std::string_view text, char open, char close, reason& why)
    {
        text = trimmed(text);
        std::vector<std::string_view> parts;
        std::size_t start = 1;
        bool isWhole = true;
        auto addPart = [&](std::size_t end) {
            parts.push_back(trimmed(text.substr(start, end - start)));
            start = end + 1;
        };
        bool isBalanced = scan(text, [&](std::size_t position, char character, int depth) {
            isWhole = isWhole && (depth > 0 || position == 0 || position + 1 == text.size());
            if (depth == 1 && character == ',') {
                addPart(position);
            }
        });
        if (!isBalanced || !isWhole || text.size() < 2 || text.front() != open || text.back() != close) {
            return fail(why, reason_code::invalid, "malformed JSON: brackets or strings do not end");
        }
        addPart(text.size() - 1);
        if (parts.size() == 1 && parts.front().empty()) {
            parts.clear();
        }
        return parts;
    }

    int depthOf(std::string_view text)
    {
        int deepest = 0;
        scan(text, [&](std::size_t, char character, int depth) {
            if (character == '[' || character == '{') {
                deepest = std::max(deepest, depth + 1);
            }
        });
        return deepest;
    }

}

std::optional<json_members> splitJsonObject(std::string_view text, reason& why)
{
    auto parts = splitAtCommas(text, '{', '}', why);
    if (!parts) {
        return std::nullopt;
    }
    json_members members;
    for (auto part : *parts) {
        auto nameEnd = part.starts_with('"') ? endOfString(part, 0) : std::string_view::npos;
        auto colon
            = nameEnd == std::string_view::npos ? nameEnd : part.find_first_not_of(whiteSpace, nameEnd);
        if (colon == std::string_view::npos || part[colon] != ':') {
            return fail(why, reason_code::invalid, "malformed JSON: a member has no name");
        }
        members.insert_or_assign(part.substr(1, nameEnd - 2), trimmed(part.substr(colon + 1)));
    }
    return members;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text, reason& why)
{
    return splitAtCommas(text, '[', ']', why);
}

std::optional<nlohmann::json> parseJson(std::string_view text, reason& why)
{
    if (depthOf(text) > maxJsonDepth) {
        return fail(why, reason_code::invalid, "JSON is nested too deeply");
    }
    auto value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return fail(why, reason_code::invalid, "malformed JSON");
    }
    return value;
}

}
