#include "marlsill/cluster/cbor_document.h"

#include <Poco/TextConverter.h>
#include <Poco/UTF8Encoding.h>
#include <algorithm>
#include <bit>
#include <nlohmann/json.hpp>

namespace marlsill::cluster {

using nlohmann::json;

namespace {

    bool isUtf8(const std::string& text)
    {
        bool isAscii = std::all_of(
            text.begin(), text.end(), [](char each) { return static_cast<unsigned char>(each) < 0x80; });
        if (isAscii) {
            return true;
        }
        Poco::UTF8Encoding encoding;
        std::string converted;
        return Poco::TextConverter(encoding, encoding).convert(text, converted) == 0;
    }

}

// Receives the values of a document from the parser; the names are the parser's.
class cbor_document::builder : public nlohmann::json_sax<json> {
public:
    explicit builder(cbor_document& document)
        : m_document(document)
    {
    }

    bool null() override { return add({ .type = kind::null }); }
    bool boolean(bool isTrue) override { return add({ .type = kind::boolean, .bits = isTrue }); }
    bool number_integer(std::int64_t number) override
    {
        return add({ .type = number < 0 ? kind::negative : kind::positive,
            .bits = static_cast<std::uint64_t>(number) });
    }
    bool number_unsigned(std::uint64_t number) override
    {
        return add({ .type = kind::positive, .bits = number });
    }
    bool number_float(double number, const std::string&) override
    {
        return add({ .type = kind::real, .bits = std::bit_cast<std::uint64_t>(number) });
    }
    bool string(std::string& text) override { return addText(kind::text, text); }
    bool binary(json::binary_t& bytes) override
    {
        return addText(kind::bytes, { reinterpret_cast<const char*>(bytes.data()), bytes.size() });
    }
    bool key(std::string& name) override { return addText(kind::key, name); }
    bool start_object(std::size_t) override { return open(kind::map); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t) override { return open(kind::array); }
    bool end_array() override { return close(); }
    bool parse_error(std::size_t, const std::string&, const json::exception& error) override
    {
        m_error = error.what();
        return false;
    }

    std::string takeError() { return std::move(m_error); }

private:
    bool add(value each)
    {
        m_document.m_values.push_back(each);
        return true;
    }

    bool addText(kind type, std::string_view text)
    {
        auto offset = static_cast<std::uint32_t>(m_document.m_text.size());
        m_document.m_text += text;
        return add({ .type = type, .offset = offset, .length = static_cast<std::uint32_t>(text.size()) });
    }

    bool open(kind type)
    {
        if (m_open.size() >= maxDepth) {
            m_error = "nested too deeply";
            return false;
        }
        m_open.push_back(m_document.m_values.size());
        return add({ .type = type });
    }

    bool close()
    {
        m_document.m_values[m_open.back()].end = static_cast<std::uint32_t>(m_document.m_values.size());
        m_open.pop_back();
        return true;
    }

    cbor_document& m_document;
    std::vector<std::size_t> m_open; // Positions of the arrays and maps that are not complete.
    std::string m_error;
};

std::optional<cbor_document> cbor_document::parse(std::span<const std::uint8_t> bytes, reason& why)
{
    cbor_document document;
    document.m_values.reserve(bytes.size() / 4 + 8);
    document.m_text.reserve(bytes.size());
    builder receiver(document);
    if (!json::sax_parse(bytes.begin(), bytes.end(), &receiver, json::input_format_t::cbor)) {
        return fail(why, reason_code::invalid, receiver.takeError());
    }
    if (document.m_values.front().type != kind::map) {
        return fail(why, reason_code::invalid, "not a map");
    }
    return document;
}

const cbor_document::value* cbor_document::read(std::size_t position, std::size_t end, kind type) const
{
    if (position < end && m_values[position].type == type) {
        return &m_values[position];
    }
    noteMismatch();
    return nullptr;
}

std::size_t cbor_document::after(std::size_t position) const
{
    if (position >= m_values.size()) {
        return position;
    }
    const auto& each = m_values[position];
    return each.type == kind::array || each.type == kind::map ? each.end : position + 1;
}

std::string cbor_items::text()
{
    const auto* found = m_document->read(m_next, m_end, cbor_document::kind::text);
    m_next = m_document->after(m_next);
    std::string text(found ? m_document->textOf(*found) : std::string_view());
    if (!isUtf8(text)) {
        m_document->noteMismatch();
        return {};
    }
    return text;
}

bool cbor_items::boolean()
{
    const auto* found = m_document->read(m_next, m_end, cbor_document::kind::boolean);
    m_next = m_document->after(m_next);
    return found && found->bits != 0;
}

double cbor_items::number()
{
    if (hasNext() && m_document->m_values[m_next].type == cbor_document::kind::real) {
        return std::bit_cast<double>(m_document->m_values[m_next++].bits);
    }
    return static_cast<double>(integer<std::int64_t>());
}

bool cbor_items::skipNull()
{
    bool isNull = hasNext() && m_document->m_values[m_next].type == cbor_document::kind::null;
    m_next += isNull ? 1 : 0;
    return isNull;
}

std::span<const std::uint8_t> cbor_items::bytes()
{
    const auto* found = m_document->read(m_next, m_end, cbor_document::kind::bytes);
    m_next = m_document->after(m_next);
    auto text = found ? m_document->textOf(*found) : std::string_view();
    return { reinterpret_cast<const std::uint8_t*>(text.data()), text.size() };
}

std::optional<std::size_t> cbor_fields::positionOf(std::string_view name) const
{
    const auto& values = m_document->m_values;
    for (std::size_t position = 1; position < values.front().end;) {
        if (m_document->textOf(values[position]) == name) {
            return position + 1;
        }
        position = m_document->after(position + 1);
    }
    return std::nullopt;
}

// Returns the value of a field as one element; none if it is missing.
cbor_items cbor_fields::single(std::string_view name) const
{
    auto position = positionOf(name);
    return position ? cbor_items(*m_document, *position, m_document->after(*position))
                    : cbor_items(*m_document, 0, 0);
}

std::string cbor_fields::text(std::string_view name) const
{
    return contains(name) ? single(name).text() : std::string();
}

bool cbor_fields::boolean(std::string_view name) const { return contains(name) && single(name).boolean(); }

std::span<const std::uint8_t> cbor_fields::bytes(std::string_view name) const
{
    return contains(name) ? single(name).bytes() : std::span<const std::uint8_t>();
}

std::optional<cbor_items> cbor_fields::items(std::string_view name) const
{
    auto position = positionOf(name);
    const auto* array = position
        ? m_document->read(*position, m_document->m_values.size(), cbor_document::kind::array)
        : nullptr;
    return array ? std::optional(cbor_items(*m_document, *position + 1, array->end)) : std::nullopt;
}

}
