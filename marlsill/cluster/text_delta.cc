#include "marlsill/cluster/text_delta.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace marlsill::cluster {

namespace {

    // A delta is a sequence of operations. Each begins with a number, twice the length of the text that it
    // yields, plus one if that is copied from the base. A copy continues with its offset, the others with the
    // text. Numbers have seven bits a byte, the lowest first; all bytes but the last have the highest bit
    // set.
    constexpr std::uint64_t copyFlag = 1;

    void putNumber(std::string& out, std::uint64_t value)
    {
        for (; value >= 0x80; value >>= 7) {
            out.push_back(static_cast<char>((value & 0x7f) | 0x80));
        }
        out.push_back(static_cast<char>(value));
    }

    // Takes a number from the front of `in`.
    std::optional<std::uint64_t> takeNumber(std::string_view& in)
    {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 63 && !in.empty(); shift += 7) {
            auto byte = static_cast<std::uint8_t>(in.front());
            in.remove_prefix(1);
            value |= std::uint64_t { byte & 0x7fU } << shift;
            if ((byte & 0x80U) == 0) {
                return value;
            }
        }
        return std::nullopt;
    }

    std::vector<std::string_view> splitIntoPieces(std::string_view text)
    {
        std::vector<std::string_view> pieces;
        while (!text.empty()) {
            auto end = text.find_first_of("]}");
            auto length = end == std::string_view::npos ? text.size() : end + 1;
            pieces.push_back(text.substr(0, length));
            text.remove_prefix(length);
        }
        return pieces;
    }

    // Collects operations and joins adjacent ones.
    class delta_writer {
    public:
        void copy(std::size_t offset, std::size_t length)
        {
            if (m_copyLength > 0 && m_copyOffset + m_copyLength == offset) {
                m_copyLength += length;
                return;
            }
            flush();
            m_copyOffset = offset;
            m_copyLength = length;
        }

        void insert(std::string_view text)
        {
            if (m_copyLength > 0) {
                flush();
            }
            m_inserted += text;
        }

        std::string finish()
        {
            flush();
            return std::move(m_delta);
        }

    private:
        void flush()
        {
            if (m_copyLength > 0) {
                putNumber(m_delta, m_copyLength * 2 + copyFlag);
                putNumber(m_delta, m_copyOffset);
            } else if (!m_inserted.empty()) {
                putNumber(m_delta, m_inserted.size() * 2);
                m_delta += m_inserted;
            }
            m_copyLength = 0;
            m_inserted.clear();
        }

        std::string m_delta;
        std::string m_inserted;
        std::size_t m_copyOffset = 0;
        std::size_t m_copyLength = 0;
    };

}

std::string makeDelta(std::string_view base, std::string_view target)
{
    std::unordered_map<std::string_view, std::size_t> offsets; // Of the pieces of the base.
    for (auto piece : splitIntoPieces(base)) {
        offsets.try_emplace(piece, static_cast<std::size_t>(piece.data() - base.data()));
    }
    delta_writer writer;
    std::size_t expected = 0; // Where the base continues after the last piece that was found in it.
    for (auto piece : splitIntoPieces(target)) {
        auto found = offsets.find(piece);
        if (base.substr(expected).starts_with(piece)) {
            writer.copy(expected, piece.size());
            expected += piece.size();
        } else if (found != offsets.end()) {
            writer.copy(found->second, piece.size());
            expected = found->second + piece.size();
        } else {
            writer.insert(piece);
        }
    }
    return writer.finish();
}

std::optional<std::string> applyDelta(
    std::string_view base, std::string_view delta, std::size_t maxBytes, reason& why)
{
    std::string text;
    while (!delta.empty()) {
        auto head = takeNumber(delta);
        if (!head) {
            return fail(why, reason_code::invalid, "the delta is cut short");
        }
        auto length = *head / 2;
        if (length > maxBytes - text.size()) {
            return fail(why, reason_code::invalid, "the delta yields too long a text");
        }
        if ((*head & copyFlag) == 0) {
            if (length > delta.size()) {
                return fail(why, reason_code::invalid, "the delta is cut short");
            }
            text += delta.substr(0, length);
            delta.remove_prefix(length);
            continue;
        }
        auto offset = takeNumber(delta);
        if (!offset || *offset > base.size() || length > base.size() - *offset) {
            return fail(why, reason_code::invalid, "the delta does not fit its base");
        }
        text += base.substr(*offset, length);
    }
    return text;
}

}
