#include "marlsill/store/json_text.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <string>

namespace marlsill::store {

namespace {

    std::string repeated(std::string_view text, int count)
    {
        std::string all;
        for (int number = 0; number < count; ++number) {
            all += text;
        }
        return all;
    }

    // What other writers may leave in a store, each of which nlohmann::json refuses or cannot copy.
    const std::string& unreadablePart(std::size_t index)
    {
        static const std::string parts[] = { repeated("[", 400'000) + repeated("]", 400'000),
            repeated("{\"a\":", 400'000) + "1" + repeated("}", 400'000), "{\"zone\":\"a\\ud83c\"}",
            "{\"slots\":1e400}", "{\"zone\":\"\xff\xfe\"}", "{\"zone\":\"a\x01z\"}", "{\"zone\":\"a\\qz\"}",
            "nonsense", "{\"a\" 1}", "{\"a\":}", "01", "" };
        return parts[index];
    }
    constexpr std::size_t unreadablePartCount = 12;

}

TEST_CASE("An unreadable element of an array does not affect the others")
{
    // Guards against one entry of another writer that ends a process, or hides all others.
    for (std::size_t index = 0; index < unreadablePartCount; ++index) {
        CAPTURE(index);
        reason why;
        auto text = " {\"items\" : [ {\"n\":\"a,]}\"} ," + unreadablePart(index)
            + ",{\"n\":\"b\\\"\"}], \"at\":7 }\n";
        auto members = splitJsonObject(text, why);
        REQUIRE(members);
        CHECK(members->size() == 2);
        CHECK(parseJson(members->at("at"), why) == nlohmann::json(7));
        auto items = splitJsonArray(members->at("items"), why);
        REQUIRE(items);
        REQUIRE(items->size() == 3);
        CHECK((*parseJson(items->at(0), why))["n"] == "a,]}");
        CHECK_FALSE(parseJson(items->at(1), why));
        CHECK((*parseJson(items->at(2), why))["n"] == "b\"");
    }
}

TEST_CASE("Only whole objects and arrays are split")
{
    struct row {
        const char* text;
        bool isObject;
        bool isArray;
        std::size_t parts;
    };
    const row rows[] = { { "{}", true, false, 0 }, { "[]", false, true, 0 }, { " [ ] ", false, true, 0 },
        { "{\"a\":1,\"b\":[1,2]}", true, false, 2 }, { "{\"a\":1,\"a\":2}", true, false, 1 },
        { "[1,[2,3],{\"a\":4}]", false, true, 3 }, { "", false, false, 0 }, { "5", false, false, 0 },
        { "null", false, false, 0 }, { "\"{}\"", false, false, 0 }, { "{", false, false, 0 },
        { "{}}", false, false, 0 }, { "{}{}", false, false, 0 }, { "[1][2]", false, false, 0 },
        { "[\"a]", false, false, 0 }, { "[\"a\\\"]", false, false, 0 }, { "{\"a\"}", false, false, 0 },
        { "{a:1}", false, false, 0 } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.text));
        reason why;
        auto members = splitJsonObject(each.text, why);
        auto items = splitJsonArray(each.text, why);
        CHECK(members.has_value() == each.isObject);
        CHECK(items.has_value() == each.isArray);
        CHECK((members ? members->size() : 0) + (items ? items->size() : 0) == each.parts);
    }
}

TEST_CASE("The depth of a parsed value is limited")
{
    reason why;
    CHECK(parseJson(repeated("[", maxJsonDepth) + repeated("]", maxJsonDepth), why));
    CHECK_FALSE(parseJson(repeated("[", maxJsonDepth + 1) + repeated("]", maxJsonDepth + 1), why));
    CHECK(parseJson("\"" + repeated("[", 1'000) + "\"", why));
}

TEST_CASE("Only the fields that are asked for are kept")
{
    // Guards against objects of another writer that take many times the memory of their text.
    struct row {
        const char* name;
        std::string text;
        const char* expected; // JSON; null: it cannot be read.
    };
    const std::string_view names[] = { "a", "b" };
    constexpr std::size_t maxStringBytes = 8;
    const row rows[] = {
        { "scalars", R"({"a":1,"b":"two"})", R"({"a":1,"b":"two"})" },
        { "of every kind", R"({"a":-1,"b":2.5})", R"({"a":-1,"b":2.5})" },
        { "null and boolean", R"({"a":null,"b":true})", R"({"a":null,"b":true})" },
        { "others", R"({"c":1,"a":2,"d":[3],"e":{"a":4}})", R"({"a":2})" },
        { "none", R"({"c":{"a":1,"b":[{"b":2}]}})", "{}" },
        { "nested values", R"({"a":{"a":1},"b":[2,"b"]})", R"({"a":[],"b":[]})" },
        { "after a nested value", R"({"a":[{"x":1}],"x":5,"b":6})", R"({"a":[],"b":6})" },
        { "the last of a name counts", R"({"a":1,"a":2})", R"({"a":2})" },
        { "an escaped name", R"({"\u0061":1})", R"({"a":1})" },
        { "an empty name", R"({"":1,"b":2})", R"({"b":2})" },
        { "a text of the limit", R"({"a":"12345678"})", R"({"a":"12345678"})" },
        { "a text above the limit", R"({"a":"123456789"})", R"({"a":[]})" },
        { "deep", R"({"c":)" + repeated("[", maxJsonDepth - 1) + repeated("]", maxJsonDepth - 1) + "}",
            "{}" },
        { "too deep", R"({"c":)" + repeated("[", maxJsonDepth) + repeated("]", maxJsonDepth) + "}", "null" },
        { "far too deep", R"({"c":)" + repeated("[", 400'000) + repeated("]", 400'000) + "}", "null" },
        { "malformed elsewhere", R"({"a":1,"c":[1e400]})", "null" },
        { "a malformed text", "{\"a\":1,\"c\":\"\xff\"}", "null" },
        { "not ended", R"({"a":1)", "null" },
        { "more after it", R"({"a":1}{})", "null" },
        { "an array", R"([{"a":1}])", "null" },
        { "a text", R"("a")", "null" },
        { "a number", "5", "null" },
        { "nothing", "", "null" },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        reason why;
        auto fields = parseJsonFields(each.text, names, maxStringBytes, why);
        CHECK(fields.value_or(nullptr) == nlohmann::json::parse(each.expected));
        CHECK(fields.has_value() == why.text.empty());
    }
}

TEST_CASE("Splitting arbitrary text does not crash and reads no byte outside of it")
{
    CHECK(rc::check("text of JSON's characters", [] {
        auto text = *rc::gen::container<std::string>(
            rc::gen::element('{', '}', '[', ']', '"', '\\', ',', ':', ' ', 'a', '1', '\xff'));
        reason why;
        splitJsonObject(text, why);
        splitJsonArray(text, why);
        parseJson(text, why);
        const std::string_view names[] = { "a" };
        parseJsonFields(text, names, 10, why);
    }));
}

}
