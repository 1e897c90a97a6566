#include "marlsill/cluster/configuration_transfer.h"

#include "marlsill/base/hash.h"
#include "marlsill/cluster/text_delta.h"

#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <algorithm>
#include <sstream>

namespace marlsill::cluster {

namespace {

    constexpr std::size_t bytesPerPart = 1'100; // With its frame, below the usual MTU.
    constexpr int maxParts = static_cast<int>(2 * maxConfigurationBytes / bytesPerPart);

    std::string deflate(const std::string& text)
    {
        std::ostringstream out;
        Poco::DeflatingOutputStream stream(out, Poco::DeflatingStreamBuf::STREAM_ZLIB);
        stream << text;
        stream.close();
        return std::move(out).str();
    }

    // Returns std::nullopt if the bytes cannot be decompressed or yield more than `maxBytes`.
    std::optional<std::string> inflate(const std::string& bytes, std::size_t maxBytes)
    {
        std::istringstream in(bytes);
        Poco::InflatingInputStream stream(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
        std::string text;
        char chunk[4096];
        try {
            while (text.size() <= maxBytes && stream.good()) {
                stream.read(chunk, sizeof chunk);
                text.append(chunk, static_cast<std::size_t>(stream.gcount()));
            }
        } catch (const std::exception&) {
            return std::nullopt;
        }
        bool isComplete = !stream.bad() && !text.empty() && text.size() <= maxBytes;
        return isComplete ? std::optional(std::move(text)) : std::nullopt;
    }

}

std::uint64_t textDigestOf(std::string_view text) { return std::max<std::uint64_t>(1, fastHash(text)); }

std::vector<configuration_part> makeParts(std::string_view text, std::uint64_t version, std::string_view base)
{
    auto payload = deflate(base.empty() ? std::string(text) : makeDelta(base, text));
    auto count = (payload.size() + bytesPerPart - 1) / bytesPerPart;
    std::vector<configuration_part> parts;
    for (std::size_t index = 0; index < count; ++index) {
        parts.push_back(
            { version, textDigestOf(text), base.empty() ? 0 : textDigestOf(base), static_cast<int>(index),
                static_cast<int>(count), payload.substr(index * bytesPerPart, bytesPerPart) });
    }
    return parts;
}

std::optional<received_configuration> configuration_assembler::add(
    const configuration_part& part, std::string_view known, reason& why)
{
    bool isDifference = part.baseDigest != 0;
    if (part.parts < 1 || part.parts > maxParts || part.part < 0 || part.part >= part.parts
        || part.bytes.size() > bytesPerPart) {
        return fail(why, reason_code::invalid, "malformed part of a configuration");
    }
    if (isDifference && part.baseDigest != textDigestOf(known)) {
        return fail(why, reason_code::conflict, "a difference from another configuration");
    }
    auto& collected = isDifference ? m_difference : m_whole;
    auto described = part;
    described.part = 0;
    described.bytes.clear();
    if (collected.described != described) {
        collected = { std::move(described), {} };
    }
    collected.parts[part.part] = part.bytes;
    if (static_cast<int>(collected.parts.size()) < part.parts) {
        return std::nullopt;
    }
    std::string payload;
    for (const auto& [number, bytes] : collected.parts) {
        payload += bytes;
    }
    collected = {};
    auto text = inflate(payload, 2 * maxConfigurationBytes);
    if (text && isDifference) {
        text = applyDelta(known, *text, maxConfigurationBytes, why);
    }
    if (!text || text->size() > maxConfigurationBytes || textDigestOf(*text) != part.textDigest) {
        return fail(why, reason_code::invalid, "the parts do not yield the configuration announced");
    }
    return received_configuration { std::move(*text), part.version };
}

void configuration_assembler::discardUpTo(std::uint64_t version)
{
    for (auto* each : { &m_whole, &m_difference }) {
        if (each->described.version <= version) {
            *each = {};
        }
    }
}

}
