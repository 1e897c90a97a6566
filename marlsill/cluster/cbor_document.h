#pragma once

// Reads a small CBOR document, such as a datagram, without a tree of objects.
//
//     reason why;
//     auto document = cbor_document::parse(bytes, why);
//     auto fields = document->fields();
//     auto sender = fields.text("s");
//     fields.forEachItem("u", [&](cbor_items item) { add(item.text(), item.integer<int>()); });
//     if (document->isMismatched())
//         ... // Some value had another type than it was read as, or was missing.
//
// The values are kept in one array, in their order, without an allocation for each. Items and fields are
// valid as long as their document.

#include "marlsill/base/reason.h"

#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marlsill::cluster {

class cbor_document;

// The elements of an array, which are read one after the other. An element that is missing or has another
// type is read as zero or as empty, and the document is mismatched from then on. An integer that does not fit
// is a mismatch.
class cbor_items {
public:
    std::string text();
    bool boolean();
    double number(); // An integer, too.
    template <std::integral Integer> Integer integer();

    // Returns whether the next element is null, and skips it if so.
    bool skipNull();

    // Returns the bytes of the next element, valid as long as the document.
    std::span<const std::uint8_t> bytes();

    bool hasNext() const { return m_next < m_end; }

private:
    friend class cbor_fields;

    cbor_items(const cbor_document& document, std::size_t first, std::size_t end)
        : m_document(&document)
        , m_next(first)
        , m_end(end)
    {
    }

    const cbor_document* m_document;
    std::size_t m_next; // Positions of values in the document.
    std::size_t m_end;
};

// The fields of a map. A field that is missing is read as zero or as empty, without a mismatch.
class cbor_fields {
public:
    bool contains(std::string_view name) const { return positionOf(name).has_value(); }
    std::string text(std::string_view name) const;
    bool boolean(std::string_view name) const;
    template <std::integral Integer> Integer integer(std::string_view name) const;
    std::span<const std::uint8_t> bytes(std::string_view name) const;

    // Returns the elements of a field; std::nullopt if it is missing or no array.
    std::optional<cbor_items> items(std::string_view name) const;

    // Calls `handle` with the elements of each array in an array.
    template <typename Handle> void forEachItem(std::string_view name, Handle handle) const;

    // Calls `handle` with each element of an array, to be read as one value.
    template <typename Handle> void forEachValue(std::string_view name, Handle handle) const;

private:
    friend class cbor_document;

    explicit cbor_fields(const cbor_document& document)
        : m_document(&document)
    {
    }

    std::optional<std::size_t> positionOf(std::string_view name) const;
    cbor_items single(std::string_view name) const;

    const cbor_document* m_document;
};

// See the file comment.
class cbor_document {
public:
    // Parses a document whose outermost value is a map. Returns std::nullopt and sets `why` if it is no CBOR,
    // is nested deeper than `maxDepth`, or something follows it.
    static std::optional<cbor_document> parse(std::span<const std::uint8_t> bytes, reason& why);

    // Returns the outermost fields.
    cbor_fields fields() const { return cbor_fields(*this); }

    // Returns whether a value was read as another type than it has, or was missing in an array.
    bool isMismatched() const { return m_isMismatched; }

    static constexpr int maxDepth = 8;

private:
    friend class cbor_items;
    friend class cbor_fields;
    class builder;

    enum class kind : std::uint8_t { null, boolean, positive, negative, real, text, bytes, key, array, map };

    struct value {
        kind type = kind::null;
        std::uint64_t bits = 0; // Of a boolean, an integer, or a real number.
        std::uint32_t offset = 0; // Of a text, bytes, or a key, in m_text.
        std::uint32_t length = 0;
        std::uint32_t end = 0; // Of an array or a map: the position after its last value.
    };

    // Returns the value at a position, or nullptr and a mismatch if it is not before `end` or has another
    // type.
    const value* read(std::size_t position, std::size_t end, kind type) const;
    std::size_t after(std::size_t position) const;
    std::string_view textOf(const value& each) const
    {
        return std::string_view(m_text).substr(each.offset, each.length);
    }
    template <std::integral Integer> Integer integerAt(std::size_t position, std::size_t end) const;
    void noteMismatch() const { m_isMismatched = true; }

    std::vector<value> m_values;
    std::string m_text; // Of all texts, keys, and bytes.
    mutable bool m_isMismatched = false;
};

template <std::integral Integer> Integer cbor_document::integerAt(std::size_t position, std::size_t end) const
{
    if (position < end && m_values[position].type == kind::positive
        && std::in_range<Integer>(m_values[position].bits)) {
        return static_cast<Integer>(m_values[position].bits);
    }
    if (position < end && m_values[position].type == kind::negative
        && std::in_range<Integer>(static_cast<std::int64_t>(m_values[position].bits))) {
        return static_cast<Integer>(static_cast<std::int64_t>(m_values[position].bits));
    }
    noteMismatch();
    return 0;
}

template <std::integral Integer> Integer cbor_items::integer()
{
    auto result = m_document->integerAt<Integer>(m_next, m_end);
    m_next = m_document->after(m_next);
    return result;
}

template <std::integral Integer> Integer cbor_fields::integer(std::string_view name) const
{
    return contains(name) ? single(name).integer<Integer>() : Integer { 0 };
}

template <typename Handle> void cbor_fields::forEachValue(std::string_view name, Handle handle) const
{
    auto all = items(name);
    while (all && all->hasNext()) {
        auto next = m_document->after(all->m_next);
        handle(cbor_items(*m_document, all->m_next, next));
        all->m_next = next;
    }
}

template <typename Handle> void cbor_fields::forEachItem(std::string_view name, Handle handle) const
{
    forEachValue(name, [&](cbor_items each) {
        const auto* array = m_document->read(each.m_next, each.m_end, cbor_document::kind::array);
        if (array) {
            handle(cbor_items(*m_document, each.m_next + 1, array->end));
        }
    });
}

}
