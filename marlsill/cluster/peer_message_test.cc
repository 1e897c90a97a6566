#include "marlsill/cluster/peer_message.h"

#include <doctest/doctest.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace marlsill::cluster {

namespace {

    std::vector<std::uint8_t> fromHex(std::string_view digits)
    {
        std::vector<std::uint8_t> bytes;
        for (std::size_t position = 0; position + 1 < digits.size(); position += 2) {
            bytes.push_back(
                static_cast<std::uint8_t>(std::stoi(std::string(digits.substr(position, 2)), nullptr, 16)));
        }
        return bytes;
    }

    peer_message fullMessage()
    {
        peer_message message;
        message.sender = "10.0.0.1";
        message.ping = 7;
        message.pong = 8;
        message.build = "0.2.0";
        message.digest = 0xfedcba9876543210;
        message.wantsMembers = true;
        message.memberDigests = { 1, 0xfedcba98 };
        message.wantedBuckets = { 0, 255 };
        message.members = { { "10.0.0.2", "a", "10.0.0.2:80", 5, 6, member_state::leaving, 2.5 },
            { "10.0.0.3", "a", "10.0.0.3:80", 5, 6, member_state::ready, 1, true },
            { "10.0.0.4", "a", "10.0.0.4:80", 5, 6, member_state::ready, 1, false, true },
            { "10.0.0.5", "a", "10.0.0.5:80", 5, 6, member_state::ready, 1, true, true } };
        message.unreachableHosts = { "10.0.0.3" };
        message.evidence = { { "u1", placement::lastEvidenceKind } };
        message.loads = { { "u1", 2, 340 } };
        message.wantsEvidence = true;
        message.crashDigest = 12;
        message.crashes = { { 99, "u1", 2, 1, {} } };
        message.leaving = { { "u3", 77, {} } };
        message.accountLimits = { .tokenRequests = { { "acme", 17, 3, { 12.5, 40, 9 } } },
            .tokenAnswers = { { "acme", 17, 2, std::chrono::milliseconds(0), true },
                { "acme", 18, 0, std::chrono::milliseconds(250), false } },
            .shareRequests = { { "acme", 5, { 12.5, 40, 9 } }, { "acme", 6, { 0, 0, 9 }, true, 1.25 } },
            .shareAnswers = { { "acme", 5, true, 2.5 } } };
        message.freshnessQuery = 0xfedcba9876543211;
        message.freshnessAnswer = freshness_answer { 0xfedcba9876543212, 9, 750 };
        message.summary = store_summary { 3, { 7, 40 }, 50, 60 };
        message.isBeacon = true;
        message.availability = availability_report { 40, 5'000 };
        message.reading = store_reading { 300, "10.0.0.8" };
        message.wantsConfiguration = true;
        message.wantsUpstreams = true;
        message.configuration = configuration_part { 3, 77, 78, 1, 2, std::string("\0\xff{", 3) };
        message.upstreams = { { .id = "u1",
            .service = "s",
            .address = "10.9.0.1:80",
            .failureDomain = "a",
            .slots = 3,
            .isLeaving = true,
            .startedUnixMs = 11,
            .version = 12 } };
        return message;
    }

}

TEST_CASE("Decoding an encoded message returns the same message")
{
    reason why;
    auto decoded = decodePeerMessage(encode(fullMessage()), why);
    REQUIRE(decoded);
    CHECK(encode(*decoded) == encode(fullMessage()));
    REQUIRE(decoded->leaving.size() == 1);
    CHECK(decoded->leaving.front().upstream == "u3");
    CHECK(decoded->leaving.front().startedUnixMs == 77);
    CHECK(decoded->members == fullMessage().members);
    CHECK(decoded->upstreams == fullMessage().upstreams);
    CHECK(decoded->summary->storePosition == placement::store_position { 7, 40 });
    CHECK(decoded->summary->upstreamDigest == 50);
    CHECK(decoded->configuration == fullMessage().configuration);
    CHECK((decoded->reading && decoded->reading->ageMs == 300 && decoded->reading->reader == "10.0.0.8"));
    CHECK(decoded->build == "0.2.0");
    CHECK(decoded->digest == 0xfedcba9876543210);
    CHECK(decoded->memberDigests == fullMessage().memberDigests);
    CHECK(decoded->wantedBuckets == fullMessage().wantedBuckets);
    CHECK(decoded->evidence == fullMessage().evidence);
    CHECK(decoded->loads == fullMessage().loads);
    CHECK(decoded->wantsEvidence);
    CHECK(decoded->accountLimits == fullMessage().accountLimits);
}

TEST_CASE("Numbers about limits of accounts are bounded, and later builds may add elements")
{
    using nlohmann::json;
    struct row {
        const char* name;
        json field;
        std::function<bool(const accounts::limit_message&)> isExpected;
    };
    const row rows[] = {
        { "a negative number of tokens", { { "as", { { "a", 1, -5, -7, true } } } },
            [](const auto& found) {
                const auto& answer = found.tokenAnswers.at(0);
                return answer.tokens == 0 && answer.delay.count() == 0;
            } },
        { "more tokens than any burst", { { "as", { { "a", 1, 2'000'000'000, 1, true } } } },
            [](const auto& found) { return found.tokenAnswers.at(0).tokens == 1'000'000; } },
        { "a negative limit", { { "ar", { { "a", 1, 2, -3.5, -1, 4 } } } },
            [](const auto& found) {
                const auto& limit = found.tokenRequests.at(0).limit;
                return limit.requestsPerSecond == 0 && limit.burst == 0 && limit.version == 2;
            } },
        { "an infinite number of tokens", { { "ag", { { "a", 1, true, 1e300 * 1e300 } } } },
            [](const auto& found) { return found.shareAnswers.at(0).tokens == 0; } },
        { "a further element", { { "as", { { "a", 1, 5, 0, true, "later" } } } },
            [](const auto& found) { return found.tokenAnswers.at(0).tokens == 5; } },
        { "a release", { { "aq", { { "a", 1, 2, 3, 4, 0.5 } } } },
            [](const auto& found) {
                return found.shareRequests.at(0).isRelease && found.shareRequests.at(0).tokens == 0.5;
            } },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        json message { { "v", 1 }, { "s", "10.0.0.1" } };
        message.update(each.field);
        reason why;
        auto decoded = decodePeerMessage(json::to_cbor(message), why);
        REQUIRE(decoded);
        CHECK(each.isExpected(decoded->accountLimits));
    }
    reason why;
    json wrong { { "v", 1 }, { "s", "10.0.0.1" }, { "ar", { { 1, 2, 3, 4, 5, 6 } } } };
    CHECK_FALSE(decodePeerMessage(json::to_cbor(wrong), why));
}

TEST_CASE("Crash records keep their time left, within the retention")
{
    struct row {
        const char* name;
        std::chrono::milliseconds sent;
        std::chrono::milliseconds received;
    };
    using std::chrono::milliseconds;
    constexpr auto retention = placement::crash_quarantine_options().retention;
    constexpr milliseconds tolerance { 5'000 };
    const row rows[] = { { "half of it", retention / 2, retention / 2 }, { "none", {}, {} },
        { "more than the retention", 1'000 * retention, retention } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        peer_message message;
        message.crashes = { { 99, "u1", 2, 1, deadlineAfter(each.sent) } };
        reason why;
        auto decoded = decodePeerMessage(encode(message), why);
        REQUIRE(decoded);
        CHECK(decoded->crashes.front().upstream == "u1");
        CHECK(decoded->crashes.front().crashes == 2);
        CHECK(decoded->crashes.front().cleared == 1);
        auto left = decoded->crashes.front().expiresAt - steady_clock::now();
        CHECK(left <= each.received);
        CHECK(left > each.received - tolerance);
    }
}

TEST_CASE("The crash total of an earlier version is a record that names no upstream")
{
    auto value = nlohmann::json { { "v", 1 }, { "s", "10.0.0.1" } };
    value["c"] = nlohmann::json::array({ nlohmann::json::array({ 99, 2 }) });
    reason why;
    auto decoded = decodePeerMessage(nlohmann::json::to_cbor(value), why);
    REQUIRE(decoded);
    CHECK(decoded->crashes.front().upstream.empty());
    CHECK(decoded->crashes.front().crashes == 2);
}

TEST_CASE("Datagrams that earlier builds sent are understood, and what they know is sent to them as before")
{
    struct row {
        const char* name; // With the commit that the bytes were recorded from.
        std::string_view recorded;
        std::function<bool(const peer_message&)> isUnderstood;
    };
    const row rows[] = {
        { "ping, e523fb3 and bd4cff1", "a561641bfedcba987654321061690c61700761736831302e302e302e31617601",
            [](const auto& message) {
                return message.ping == 7 && message.digest == 0xfedcba9876543210 && message.crashDigest == 12
                    && message.build.empty();
            } },
        { "pong, e523fb3 and bd4cff1", "a561640561690c61710761736831302e302e302e31617601",
            [](const auto& message) { return message.pong == 7 && message.digest == 5; } },
        { "members, e523fb3",
            "a4616d81876831302e302e302e3161616b31302e302e302e313a3830050601fa3e80000061736831302e302e302e3161"
            "76016177f5",
            [](const auto& message) {
                return message.wantsMembers && message.members.size() == 1
                    && message.members[0].capacity == 0.25 && !message.members[0].isCutOff
                    && !message.members[0].hasStaleKeys && !message.freshnessQuery
                    && !message.freshnessAnswer;
            } },
        { "members, one of them cut off, bd4cff1",
            "a4616d82876831302e302e302e3161616b31302e302e302e313a3830050601fa3e800000886831302e302e302e326162"
            "6b31302e302e302e323a3830070802fa3f800000f561736831302e302e302e316176016177f5",
            [](const auto& message) {
                return message.members.size() == 2 && message.members[1].isCutOff
                    && !message.members[1].hasStaleKeys && message.members[1].state == member_state::leaving;
            } },
        { "evidence, loads, crashes, limits and permits, e523fb3",
            "a861638185186302627531010061658182627531056168f5616f8183627532fa40900000006173"
            "6831302e302e302e3161748182627532146175818362753102190154617601",
            [](const auto& message) {
                return message.evidence.size() == 1 && message.loads.size() == 1
                    && message.crashes.size() == 1 && message.limits.size() == 1
                    && message.permitRequests.size() == 1 && message.leaving.empty();
            } },
        { "the same with a notice of leaving, bd4cff1",
            "a961638185186302627531010061658182627531056168f5626c768183627533184d00616f8183627532fa4090000000"
            "61736831302e302e302e3161748182627532146175818362753102190154617601",
            [](const auto& message) {
                return message.leaving.size() == 1 && message.leaving[0].startedUnixMs == 77
                    && message.crashes[0].fingerprint == 99 && message.crashes[0].cleared == 1;
            } },
        { "changed upstreams, e523fb3 and bd4cff1",
            "a76161096162f5616b840318281832183c616e818a62753161736b31302e392e302e313a3830616103f5000b0cf46172"
            "8162753961736831302e302e302e31617601",
            [](const auto& message) {
                return message.isDelta && message.baseDigest == 9 && message.removed.size() == 1
                    && message.upstreams.size() == 1 && message.upstreams[0].isLeaving
                    && message.summary->upstreamDigest == 50;
            } },
        { "part of a configuration, e523fb3 and bd4cff1",
            "a36267708603184d184e0102427b7d61736831302e302e302e31617601",
            [](const auto& message) {
                return message.configuration && message.configuration->version == 3
                    && message.configuration->bytes == "{}";
            } },
        { "a query on freshness, the build that adds it",
            "a36266711bfedcba987654321061736831302e302e302e31617601",
            [](const auto& message) {
                return message.freshnessQuery == 0xfedcba9876543210 && !message.freshnessAnswer;
            } },
        { "an answer on freshness, the build that adds it",
            "a3626661831bfedcba9876543210091902ee61736831302e302e302e31617601",
            [](const auto& message) {
                return message.freshnessAnswer && message.freshnessAnswer->query == 0xfedcba9876543210
                    && message.freshnessAnswer->configurationVersion == 9
                    && message.freshnessAnswer->ageMs == 750;
            } },
        { "a beacon with the store's availability, the build that adds it",
            "a56162f5616b840318281832183c61736831302e302e302e31627361821828191388617601",
            [](const auto& message) {
                return message.isBeacon && message.availability && message.availability->ageMs == 40
                    && message.availability->spanMs == 5'000;
            } },
        { "a beacon that states who has read the store, the build that adds it",
            "a56162f5616b840318281832183c61736831302e302e302e316273728219012c6831302e302e302e38617601",
            [](const auto& message) {
                return message.isBeacon && message.reading && message.reading->ageMs == 300
                    && message.reading->reader == "10.0.0.8";
            } },
        { "a member that cannot check keys, the build that adds it",
            "a3616d81896831302e302e302e3161616b31302e302e302e313a3830050601fa3e800000f4f561736831302e302e302e"
            "31617601",
            [](const auto& message) {
                return message.members.size() == 1 && message.members[0].hasStaleKeys
                    && !message.members[0].isCutOff;
            } },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto bytes = fromHex(each.recorded);
        reason why;
        auto decoded = decodePeerMessage(bytes, why);
        REQUIRE(decoded);
        CHECK(each.isUnderstood(*decoded));
        CHECK(encode(*decoded) == bytes);
        // What this build adds leaves the other fields as they were.
        decoded->build = "0.2.0";
        auto added = nlohmann::json::from_cbor(encode(*decoded));
        CHECK(added.erase("bd") == 1);
        CHECK(added == nlohmann::json::from_cbor(bytes));
    }
}

TEST_CASE("A datagram of a later build is understood but for what is new")
{
    using nlohmann::json;
    const auto known = json::array({ "10.0.0.2", "a", "10.0.0.2:80", 5, 6, 1, 2.5 });
    struct row {
        const char* name;
        json change; // Fields that are added or replaced.
        std::size_t members;
        std::size_t evidence;
    };
    const row rows[] = {
        { "an unknown field", { { "zz", json::array({ 1, "x", json::object({ { "y", 2 } }) }) } }, 1, 1 },
        { "a member with more elements",
            { { "m",
                json::array({ { "10.0.0.2", "a", "10.0.0.2:80", 5, 6, 1, 2.5, true, true, "more", 7 } }) } },
            1, 1 },
        { "a member in an unknown state beside a known one",
            { { "m", json::array({ known, { "10.0.0.3", "a", "10.0.0.3:80", 5, 6, 9, 1 } }) } }, 1, 1 },
        { "an unknown kind of evidence beside a known one",
            { { "e", json::array({ { "u1", 1 }, { "u2", 99 } }) } }, 1, 1 },
        { "a summary with more elements", { { "k", json::array({ 3, 40, 50, 60, 7, "more" }) } }, 1, 1 },
        { "a report of the store's availability with more elements",
            { { "sa", json::array({ 3, 40, "more" }) } }, 1, 1 },
        { "a reading of the store with more elements", { { "sr", json::array({ 300, "10.0.0.8", "more" }) } },
            1, 1 },
        { "an answer on freshness with more elements", { { "fa", json::array({ 3, 40, 50, "more" }) } }, 1,
            1 },
        { "a later version of the build", { { "bd", "7.0.0" } }, 1, 1 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        json value { { "v", 1 }, { "s", "10.0.0.1" }, { "p", 7 }, { "m", json::array({ known }) },
            { "e", json::array({ { "u1", 1 } }) } };
        value.update(each.change);
        reason why;
        auto decoded = decodePeerMessage(json::to_cbor(value), why);
        REQUIRE(decoded);
        CHECK(decoded->ping == 7);
        CHECK(decoded->members.size() == each.members);
        CHECK(decoded->evidence.size() == each.evidence);
    }
}

TEST_CASE("An answer on freshness without its age does not count")
{
    using nlohmann::json;
    struct row {
        const char* name;
        json answer;
        bool isTaken;
    };
    // Guards against an age of 0 in place of a missing one, which would make an old configuration a fresh
    // one.
    const row rows[] = {
        { "whole", json::array({ 3, 40, 50 }), true },
        { "no age", json::array({ 3, 40 }), false },
        { "the number alone", json::array({ 3 }), false },
        { "empty", json::array(), false },
        { "an age that is no number", json::array({ 3, 40, "50" }), false },
        { "a negative age", json::array({ 3, 40, -50 }), false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        json value { { "v", 1 }, { "s", "10.0.0.1" }, { "fa", each.answer } };
        reason why;
        auto decoded = decodePeerMessage(json::to_cbor(value), why);
        CHECK((decoded && decoded->freshnessAnswer) == each.isTaken);
    }
}

TEST_CASE("A report of the store's availability without its span does not count")
{
    using nlohmann::json;
    struct row {
        const char* name;
        json report;
        bool isTaken;
    };
    const row rows[] = {
        { "whole", json::array({ 40, 5'000 }), true },
        { "the age alone", json::array({ 40 }), false },
        { "empty", json::array(), false },
        { "an age that is no number", json::array({ "40", 5'000 }), false },
        { "a negative age", json::array({ -40, 5'000 }), false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        json value { { "v", 1 }, { "s", "10.0.0.1" }, { "sa", each.report } };
        reason why;
        auto decoded = decodePeerMessage(json::to_cbor(value), why);
        CHECK((decoded && decoded->availability) == each.isTaken);
    }
}

TEST_CASE("A reading of the store without its reader does not count")
{
    using nlohmann::json;
    struct row {
        const char* name;
        json reading;
        bool isTaken;
    };
    const row rows[] = {
        { "whole", json::array({ 300, "10.0.0.8" }), true },
        { "the age alone", json::array({ 300 }), false },
        { "empty", json::array(), false },
        { "an age that is no number", json::array({ "300", "10.0.0.8" }), false },
        { "a negative age", json::array({ -300, "10.0.0.8" }), false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        json value { { "v", 1 }, { "s", "10.0.0.1" }, { "sr", each.reading } };
        reason why;
        auto decoded = decodePeerMessage(json::to_cbor(value), why);
        CHECK((decoded && decoded->reading) == each.isTaken);
    }
}

TEST_CASE("A datagram with a field of another type is dropped, and the reason names the sender's build")
{
    auto value = nlohmann::json { { "v", 1 }, { "s", "10.0.0.1" }, { "bd", "7.0.0" }, { "p", "seven" } };
    reason why;
    CHECK_FALSE(decodePeerMessage(nlohmann::json::to_cbor(value), why));
    CHECK(why.text.find("7.0.0") != std::string::npos);
    value["bd"] = std::string(60'000, 'x');
    CHECK_FALSE(decodePeerMessage(nlohmann::json::to_cbor(value), why));
    CHECK(why.text.size() < 200);
}

TEST_CASE("An empty message is small")
{
    peer_message message;
    message.sender = "10.0.0.1";
    message.ping = 1;
    CHECK(encode(message).size() < 32);
    // Guards against an exchange that costs more than docs/design/key-freshness.md says.
    peer_message query;
    query.sender = "100.100.100.100";
    query.freshnessQuery = ~std::uint64_t { 0 };
    CHECK(encode(query).size() <= 35);
    peer_message answer;
    answer.sender = "100.100.100.100";
    answer.freshnessAnswer = freshness_answer { ~std::uint64_t { 0 }, 60'000, 1'250 };
    CHECK(encode(answer).size() <= 42);
}

TEST_CASE("Malformed datagrams are rejected")
{
    const std::vector<std::uint8_t> cases[] = { {}, { 0xff }, { 0xa0 }, { 0x80 }, { 0xa1, 0x61, 'v', 0x02 } };
    for (const auto& bytes : cases) {
        reason why;
        CHECK_FALSE(decodePeerMessage(bytes, why));
        CHECK(why.code == reason_code::invalid);
    }
    CHECK(rc::check("random bytes and corrupted messages are decoded without a crash", [] {
        auto bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
        reason why;
        decodePeerMessage(bytes, why);
        auto damaged = encode(fullMessage());
        auto position = *rc::gen::inRange<std::size_t>(0, damaged.size());
        damaged[position] = *rc::gen::arbitrary<std::uint8_t>();
        decodePeerMessage(damaged, why);
    }));
}

}
