#include "marlsill/store/crash_object.h"

#include <doctest/doctest.h>

namespace marlsill::store {

namespace {

    using std::chrono::minutes;

    const steady_clock::time_point now { std::chrono::hours(1) };
    const wall_clock::time_point wallNow { std::chrono::hours(400'000) };

    crash_object objectWith(std::map<std::string, crash_counts> upstreams, minutes left = minutes(10))
    {
        return { std::move(upstreams), wallNow + left };
    }

}

TEST_CASE("Crash records survive the store, whatever the steady clock of the VM that reads them")
{
    const std::vector<placement::crash_record> records { { 0xfedc, "i-1", 2, 1, now + minutes(10) },
        { 0xfedc, "i-2", 1, 0, now + minutes(10) } };
    auto object = toCrashObject(records, now, wallNow);
    CHECK(object.crashes() == 2);
    reason why;
    auto decoded = decodeCrashObject(encodeCrashObject(object), why);
    REQUIRE(decoded);
    auto laterNow = steady_clock::time_point(std::chrono::seconds(3));
    auto restored = toCrashRecords(
        *crashObjectFingerprint(crashObjectName(0xfedc)), *decoded, laterNow, wallNow + minutes(4));
    REQUIRE(restored.size() == 2);
    CHECK(restored[0].fingerprint == 0xfedc);
    CHECK(restored[0].upstream == "i-1");
    CHECK(restored[0].crashes == 2);
    CHECK(restored[0].cleared == 1);
    CHECK(restored[0].expiresAt == laterNow + minutes(6));
}

TEST_CASE("Malformed objects and names are told apart")
{
    using nlohmann::json;
    const json contents[] = { json(), json::array(), json::object(), { { "expiresUnixMs", 1 } },
        { { "expiresUnixMs", "soon" }, { "upstreams", json::object() } },
        { { "expiresUnixMs", 1 }, { "upstreams", { { "i-1", { 1 } } } } },
        { { "expiresUnixMs", 1 }, { "upstreams", { { "i-1", "two" } } } } };
    for (const auto& each : contents) {
        CAPTURE(each.dump());
        reason why;
        CHECK_FALSE(decodeCrashObject(each, why));
        CHECK_FALSE(why.text.empty());
    }
    for (const auto* name : { "", "x", "12 ", "123456789abcdef01" }) {
        CAPTURE(std::string(name));
        CHECK_FALSE(crashObjectFingerprint(name));
    }
}

TEST_CASE("The text of an object is read up to a size that no VM writes")
{
    // Guards against an object of another writer that takes the memory of a VM.
    auto text = encodeCrashObject(objectWith({ { "a", { 2, 1 } } })).dump();
    const std::string padding(maxCrashObjectBytes - text.size(), ' ');
    struct row {
        const char* name;
        std::string text;
        bool isRead;
    };
    const row rows[] = { { "usual", text, true }, { "of the limit", text + padding, true },
        { "above the limit", text + padding + " ", false }, { "not ended", text.substr(1), false },
        { "empty", "", false } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        reason why;
        auto parsed = parseCrashObject(each.text, why);
        CHECK(parsed.has_value() == each.isRead);
        CHECK((!parsed || parsed->crashes() == 1));
        CHECK(why.text.empty() == each.isRead);
    }
}

TEST_CASE("Numbers of any size are kept within bounds")
{
    // Guards against an overflow by an object of another writer.
    for (const auto* number :
        { "9223372036854775807", "-9223372036854775808", "18446744073709551615", "1e300" }) {
        CAPTURE(std::string(number));
        auto content = nlohmann::json::parse(std::string(R"({"expiresUnixMs":)") + number
            + R"(,"upstreams":{"i-1":[)" + number + "," + number + R"(],"i-2":[1,0]}})");
        reason why;
        auto decoded = decodeCrashObject(content, why);
        REQUIRE(decoded);
        CHECK(decoded->crashes() == 1);
        toCrashRecords(1, *decoded, now, wallNow);
    }
}

TEST_CASE("An object is written again if the store has less than a VM knows")
{
    struct row {
        const char* name;
        crash_object stored;
        crash_object known;
        bool covers;
    };
    const row rows[] = {
        { "the same", objectWith({ { "a", { 1, 0 } } }), objectWith({ { "a", { 1, 0 } } }), true },
        { "the store has more", objectWith({ { "a", { 2, 1 } }, { "b", { 1, 0 } } }),
            objectWith({ { "a", { 1, 0 } } }), true },
        { "another upstream", objectWith({ { "a", { 1, 0 } } }), objectWith({ { "b", { 1, 0 } } }), false },
        { "another crash", objectWith({ { "a", { 1, 0 } } }), objectWith({ { "a", { 2, 0 } } }), false },
        { "cleared since", objectWith({ { "a", { 1, 0 } } }), objectWith({ { "a", { 1, 1 } } }), false },
        { "renewed a little", objectWith({ { "a", { 1, 0 } } }, minutes(9)),
            objectWith({ { "a", { 1, 0 } } }, minutes(10)), true },
        { "renewed", objectWith({ { "a", { 1, 0 } } }, minutes(7)),
            objectWith({ { "a", { 1, 0 } } }, minutes(10)), false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        CHECK(covers(each.stored, each.known) == each.covers);
        CHECK(covers(merged(each.stored, each.known), each.known));
        CHECK(covers(merged(each.stored, each.known), each.stored));
    }
}

}
