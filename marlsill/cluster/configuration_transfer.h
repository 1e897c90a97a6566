#pragma once

// Splits a configuration into parts of one datagram each, and puts received parts together.
//
//     for (auto& part : makeParts(text, version, previousText))
//         send(part);
//
//     configuration_assembler assembler;
//     reason why;
//     if (auto received = assembler.add(part, currentText, why))
//         apply(received->text, received->version);
//
// Parts hold the whole text or, if the sender names the text that the receiver is expected to have, the
// difference from it; both compressed. A part that was lost is replaced when the same version is sent again.
// Not thread safe.

#include "marlsill/base/reason.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::cluster {

// The longest text that is sent; equals the store's limit for one object.
constexpr std::size_t maxConfigurationBytes = 1024 * 1024;

// A part of one version.
struct configuration_part {
    std::uint64_t version = 0;
    std::uint64_t textDigest = 0; // Of the whole text.
    std::uint64_t baseDigest = 0; // Of the text that the difference starts from; 0: no difference.
    int part = 0; // From 0 on.
    int parts = 0;
    std::string bytes;

    bool operator==(const configuration_part&) const = default;
};

// Returns a digest of a text that is never 0.
std::uint64_t textDigestOf(std::string_view text);

// Returns the parts of a version, as the difference from `base` if that is not empty. The text must not be
// longer than `maxConfigurationBytes`.
std::vector<configuration_part> makeParts(
    std::string_view text, std::uint64_t version, std::string_view base);

// A version that has been put together.
struct received_configuration {
    std::string text;
    std::uint64_t version = 0;
};

// See the file comment.
class configuration_assembler {
public:
    // Adds a part. Returns the version once it is complete, and std::nullopt while parts are missing. `known`
    // is the text that this VM has. Returns std::nullopt and sets `why` if the part is malformed or belongs
    // to a difference from another text.
    std::optional<received_configuration> add(
        const configuration_part& part, std::string_view known, reason& why);

    // Forgets parts of versions up to `version`.
    void discardUpTo(std::uint64_t version);

private:
    // The parts of one text, by number.
    struct collection {
        configuration_part described; // Without bytes.
        std::map<int, std::string> parts;
    };

    collection m_whole;
    collection m_difference;
};

}
