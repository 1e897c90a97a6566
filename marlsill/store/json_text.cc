#include "marlsill/store/json_text.h"

#include <algorithm>

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

    constexpr const char* tooDeep = "JSON is nested too deeply";
    constexpr const char* malformed = "malformed JSON";

    // Receives the events of nlohmann's parser and keeps the wanted members of the outermost object. Each
    // event returns whether to go on.
    class field_collector : public nlohmann::json_sax<nlohmann::json> {
    public:
        field_collector(std::span<const std::string_view> names, std::size_t maxStringBytes)
            : m_names(names)
            , m_maxStringBytes(maxStringBytes)
        {
        }

        bool null() override { return keep(nullptr); }
        bool boolean(bool value) override { return keep(value); }
        bool number_integer(number_integer_t value) override { return keep(value); }
        bool number_unsigned(number_unsigned_t value) override { return keep(value); }
        bool number_float(number_float_t value, const string_t&) override { return keep(value); }
        bool binary(binary_t&) override { return false; } // Not in JSON text.

        bool string(string_t& value) override
        {
            return value.size() > m_maxStringBytes ? keep(nlohmann::json::array()) : keep(std::move(value));
        }

        bool key(string_t& value) override
        {
            if (m_depth == 1) {
                auto found = std::find(m_names.begin(), m_names.end(), value);
                m_current = found == m_names.end() ? std::string_view() : *found;
            }
            return true;
        }

        bool start_object(std::size_t) override { return open(m_depth == 0); }
        bool start_array(std::size_t) override { return open(false); }
        bool end_object() override { return close(); }
        bool end_array() override { return close(); }

        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
        {
            return false;
        }

        bool isTooDeep() const { return m_depth > maxJsonDepth; }

        // Returns the members that were kept, once the whole text has been parsed.
        nlohmann::json takeFields() { return std::move(m_fields); }

    private:
        bool open(bool isOutermostObject)
        {
            bool isAccepted = isOutermostObject || keep(nlohmann::json::array());
            return ++m_depth <= maxJsonDepth && isAccepted;
        }

        bool close()
        {
            --m_depth;
            return true;
        }

        // Keeps a value if it is that of a wanted member. Returns false if it is the outermost one, which is
        // no object then.
        template <typename Value> bool keep(Value&& value)
        {
            if (m_depth == 1 && !m_current.empty()) {
                m_fields[std::string(m_current)] = std::forward<Value>(value);
            }
            return m_depth > 0;
        }

        const std::span<const std::string_view> m_names;
        const std::size_t m_maxStringBytes;
        int m_depth = 0; // Of the objects and arrays that are open.
        std::string_view m_current; // The name of the member whose value is next; empty if it is not wanted.
        nlohmann::json m_fields = nlohmann::json::object();
    };

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
        return fail(why, reason_code::invalid, tooDeep);
    }
    auto value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return fail(why, reason_code::invalid, malformed);
    }
    return value;
}

std::optional<nlohmann::json> parseJsonFields(
    std::string_view text, std::span<const std::string_view> names, std::size_t maxStringBytes, reason& why)
{
    field_collector collector(names, maxStringBytes);
    if (!nlohmann::json::sax_parse(text, &collector)) {
        return fail(why, reason_code::invalid, collector.isTooDeep() ? tooDeep : malformed);
    }
    return collector.takeFields();
}

}
