#include "marlsill/http/internal/header_check.h"

#include <Poco/String.h>
#include <algorithm>
#include <charconv>

namespace marlsill::http::internal {

namespace {

    bool isTokenCharacter(char character)
    {
        constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
        bool isAlphanumeric = (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z')
            || (character >= 'A' && character <= 'Z');
        return isAlphanumeric || punctuation.find(character) != std::string_view::npos;
    }

    bool hasControlCharacter(std::string_view line)
    {
        return std::any_of(line.begin(), line.end(), [](char character) {
            auto byte = static_cast<unsigned char>(character);
            return (byte < 0x20 && character != '\t') || byte == 0x7F;
        });
    }

    std::string_view trimmed(std::string_view text)
    {
        constexpr std::string_view whiteSpace = " \t";
        auto start = text.find_first_not_of(whiteSpace);
        if (start == std::string_view::npos) {
            return {};
        }
        return text.substr(start, text.find_last_not_of(whiteSpace) - start + 1);
    }

    std::optional<std::uint64_t> parseLength(std::string_view text)
    {
        std::uint64_t length = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
        if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
            return std::nullopt;
        }
        return length;
    }

}

bool isFieldLine(std::string_view line)
{
    auto colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos || hasControlCharacter(line)) {
        return false;
    }
    auto name = line.substr(0, colon);
    return std::all_of(name.begin(), name.end(), isTokenCharacter);
}

bool isValidHeaderBlock(std::string_view block)
{
    bool isStartLine = true;
    while (!block.empty()) {
        auto end = block.find("\r\n");
        if (end == std::string_view::npos) {
            return false;
        }
        auto line = block.substr(0, end);
        block.remove_prefix(end + 2);
        if (line.empty()) {
            return block.empty() && !isStartLine;
        }
        if (isStartLine ? hasControlCharacter(line) : !isFieldLine(line)) {
            return false;
        }
        isStartLine = false;
    }
    return false;
}

bool hasValidStatusLine(std::string_view block)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t statusAt = protocol.size() + 2; // After the minor version and a space.
    constexpr std::size_t statusEnd = statusAt + 3;
    auto isDigit = [](char character) { return character >= '0' && character <= '9'; };
    auto line = block.substr(0, block.find("\r\n"));
    if (line.size() < statusEnd || !line.starts_with(protocol) || line[statusAt - 1] != ' '
        || !isDigit(line[protocol.size()]) || (line.size() > statusEnd && line[statusEnd] != ' ')) {
        return false;
    }
    auto status = line.substr(statusAt, statusEnd - statusAt);
    return std::all_of(status.begin(), status.end(), isDigit) && status.front() >= '1'
        && status.front() <= '5';
}

bool isFieldValue(std::string_view value) { return !hasControlCharacter(value); }

bool addFields(std::string_view block, Poco::Net::HTTPMessage& head, int maxFields)
{
    block.remove_prefix(block.find("\r\n") + 2);
    int count = 0;
    while (!block.starts_with("\r\n")) {
        auto end = block.find("\r\n");
        auto line = block.substr(0, end);
        block.remove_prefix(end + 2);
        if (++count > maxFields) {
            return false;
        }
        auto colon = line.find(':');
        head.add(std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1))));
    }
    return true;
}

std::optional<body_framing> parseFraming(const Poco::Net::HTTPMessage& message)
{
    int lengthFields = 0;
    int encodingFields = 0;
    body_framing result;
    for (const auto& [name, value] : message) {
        if (Poco::icompare(name, "Content-Length") == 0) {
            auto length = parseLength(value);
            if (!length) {
                return std::nullopt;
            }
            result = { framing::fixedLength, *length };
            ++lengthFields;
        }
        if (Poco::icompare(name, "Transfer-Encoding") == 0) {
            if (Poco::icompare(value, "chunked") != 0) {
                return std::nullopt;
            }
            result = { framing::chunked, 0 };
            ++encodingFields;
        }
    }
    if (lengthFields + encodingFields > 1) {
        return std::nullopt;
    }
    return result;
}

}
