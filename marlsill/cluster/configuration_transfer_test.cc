#include "marlsill/cluster/configuration_transfer.h"

#include "marlsill/base/random.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace marlsill::cluster {

namespace {

    // Text that compresses badly.
    std::string randomRows(int count, unsigned seed)
    {
        std::mt19937 random(seed);
        std::string text;
        for (int number = 0; number < count; ++number) {
            text += "[" + std::to_string(random()) + "," + std::to_string(random()) + "]";
        }
        return text;
    }

    std::optional<received_configuration> addAll(configuration_assembler& assembler,
        const std::vector<configuration_part>& parts, std::string_view known, reason& why)
    {
        std::optional<received_configuration> received;
        for (const auto& each : parts) {
            if (auto complete = assembler.add(each, known, why)) {
                received = std::move(complete);
            }
        }
        return received;
    }

}

TEST_CASE("Parts in any order yield the text")
{
    const std::string base = randomRows(500, 1);
    struct row {
        const char* name;
        std::string base; // Empty: the whole text is sent.
        std::string text;
    };
    const row rows[] = {
        { "one part", "", "{}" },
        { "many parts", "", randomRows(3'000, 2) },
        { "a difference", base, base + "[1,2]" },
        { "a difference of many parts", base, base + randomRows(2'000, 3) },
        { "a difference to a shorter text", base, base.substr(0, base.find(']') + 1) },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto parts = makeParts(each.text, 7, each.base);
        std::shuffle(parts.begin(), parts.end(), threadRandom());
        configuration_assembler assembler;
        reason why;
        auto received = addAll(assembler, parts, each.base, why);
        REQUIRE(received);
        CHECK(received->text == each.text);
        CHECK(received->version == 7);
        CHECK(why.code == reason_code::none);
    }
}

TEST_CASE("A lost part is replaced when the version is sent again")
{
    auto text = randomRows(3'000, 4);
    auto parts = makeParts(text, 7, {});
    REQUIRE(parts.size() > 3);
    configuration_assembler assembler;
    reason why;
    auto first = parts;
    first.erase(first.begin() + 1);
    CHECK_FALSE(addAll(assembler, first, {}, why));
    auto second = parts;
    second.erase(second.begin() + 2);
    CHECK(addAll(assembler, second, {}, why));
}

TEST_CASE("Parts of no use are rejected with a reason")
{
    auto good = makeParts(randomRows(3'000, 5), 7, {}).front();
    auto changed = [&](auto change) {
        auto part = good;
        change(part);
        return part;
    };
    struct row {
        const char* name;
        configuration_part part;
        reason_code code;
    };
    const row rows[] = {
        { "no parts", changed([](auto& part) { part.parts = 0; }), reason_code::invalid },
        { "a number beyond the last", changed([](auto& part) { part.part = part.parts; }),
            reason_code::invalid },
        { "a negative number", changed([](auto& part) { part.part = -1; }), reason_code::invalid },
        { "too many parts", changed([](auto& part) { part.parts = 1'000'000; }), reason_code::invalid },
        { "too long a part", changed([](auto& part) { part.bytes.resize(5'000); }), reason_code::invalid },
        { "another base", changed([](auto& part) { part.baseDigest = 5; }), reason_code::conflict },
        { "bytes that cannot be decompressed", changed([](auto& part) { part.parts = 1; }),
            reason_code::invalid },
        { "another text",
            [] {
                auto part = makeParts("{}", 7, {}).front();
                part.textDigest += 1;
                return part;
            }(),
            reason_code::invalid },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        configuration_assembler assembler;
        reason why;
        CHECK_FALSE(assembler.add(each.part, "known", why));
        CHECK(why.code == each.code);
    }
}

TEST_CASE("A text that decompresses beyond the limit is rejected")
{
    auto parts = makeParts(std::string(3 * maxConfigurationBytes, 'x'), 7, {});
    configuration_assembler assembler;
    reason why;
    CHECK_FALSE(addAll(assembler, parts, {}, why));
    CHECK(why.code == reason_code::invalid);
}

TEST_CASE("Parts of old versions are discarded")
{
    auto parts = makeParts(randomRows(3'000, 6), 7, {});
    configuration_assembler assembler;
    reason why;
    auto last = parts.back();
    parts.pop_back();
    CHECK_FALSE(addAll(assembler, parts, {}, why));
    assembler.discardUpTo(7);
    CHECK_FALSE(assembler.add(last, {}, why));
}

}
