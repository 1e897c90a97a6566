#include "marlsill/cluster/cbor_document.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace marlsill::cluster {

using nlohmann::json;

TEST_CASE("Fields and elements are read as what they are, and mismatches are noted")
{
    struct row {
        const char* name;
        json value; // Of the field "f".
        std::int64_t integer; // As a 16-bit integer; 0 if it is none.
        double number;
        const char* text;
        bool boolean;
        int mismatches; // Of these four ways to read it.
    };
    const row rows[] = {
        { "a small integer", 7, 7, 7, "", false, 2 },
        { "a negative integer", -300, -300, -300, "", false, 2 },
        { "an integer that does not fit", 70'000, 0, 70'000, "", false, 3 },
        { "a real number", 2.5, 0, 2.5, "", false, 3 },
        { "a text", "ab", 0, 0, "ab", false, 3 },
        { "a boolean", true, 0, 0, "", true, 3 },
        { "null", nullptr, 0, 0, "", false, 4 },
        { "an array", json::array({ 1 }), 0, 0, "", false, 4 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto bytes = json::to_cbor(
            json { { "a", json::array({ 1, "x" }) }, { "f", json::array({ each.value }) }, { "g", 9 } });
        int mismatches = 0;
        auto read = [&](auto handle) {
            reason why;
            auto document = cbor_document::parse(bytes, why);
            REQUIRE(document);
            auto items = document->fields().items("f");
            REQUIRE(items);
            handle(*items);
            CHECK(document->fields().integer<int>("g") == 9);
            mismatches += document->isMismatched() ? 1 : 0;
        };
        read([&](cbor_items items) { CHECK(items.integer<std::int16_t>() == each.integer); });
        read([&](cbor_items items) { CHECK(items.number() == each.number); });
        read([&](cbor_items items) { CHECK(items.text() == each.text); });
        read([&](cbor_items items) { CHECK(items.boolean() == each.boolean); });
        CHECK(mismatches == each.mismatches);
    }
}

TEST_CASE("Arrays in arrays are handed out one by one, whatever of them is read")
{
    auto bytes = json::to_cbor(json { { "l",
        json::array(
            { json::array({ "a", json::array({ 1, 2 }), 3 }), json::array({ "b" }), json::array() }) } });
    reason why;
    auto document = cbor_document::parse(bytes, why);
    REQUIRE(document);
    std::string names;
    document->fields().forEachItem(
        "l", [&](cbor_items item) { names += item.hasNext() ? item.text() : "-"; });
    CHECK(names == "ab-");
    CHECK_FALSE(document->isMismatched());
    document->fields().forEachItem("missing", [&](cbor_items) { names += "?"; });
    CHECK(names == "ab-");
    document->fields().forEachItem("l", [&](cbor_items item) {
        item.text();
        item.text();
    });
    CHECK(document->isMismatched());
}

TEST_CASE("What is no map, is cut short, or is nested without end is refused")
{
    // Guards against a datagram that a parser follows into depths that its stack does not have.
    constexpr std::size_t largestDatagram = 65'000;
    auto whole = json::to_cbor(json { { "a", "text" } });
    auto nested = [](std::size_t depth) {
        std::vector<std::uint8_t> bytes { 0xa1, 0x61, 'a' };
        bytes.resize(bytes.size() + depth, 0x81);
        bytes.push_back(0x01);
        return bytes;
    };
    struct row {
        const char* name;
        std::vector<std::uint8_t> bytes;
        bool isAccepted;
    };
    const row rows[] = {
        { "whole", whole, true },
        { "cut short", { whole.begin(), whole.end() - 1 }, false },
        { "nothing", {}, false },
        { "an array", { 0x81, 0x01 }, false },
        { "nested a little", nested(cbor_document::maxDepth - 1), true },
        { "nested deeper", nested(cbor_document::maxDepth), false },
        { "nested as deeply as a datagram can be", nested(largestDatagram), false },
        { "a map of more fields than follow", { 0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff },
            false },
        { "bytes after it", { 0xa0, 0x01 }, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        reason why;
        CHECK(cbor_document::parse(each.bytes, why).has_value() == each.isAccepted);
        CHECK((why.code == reason_code::invalid) == !each.isAccepted);
    }
}

}
