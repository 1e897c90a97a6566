#include "marlsill/cluster/peer_message.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace marlsill::cluster {

namespace {

    peer_message fullMessage()
    {
        peer_message message;
        message.sender = "10.0.0.1";
        message.ping = 7;
        message.pong = 8;
        message.digest = 0xfedcba9876543210;
        message.wantsMembers = true;
        message.memberDigests = { 1, 0xfedcba98 };
        message.wantedBuckets = { 0, 255 };
        message.members = { { "10.0.0.2", "a", "10.0.0.2:80", 5, 6, member_state::leaving, 2.5 },
            { "10.0.0.3", "a", "10.0.0.3:80", 5, 6, member_state::ready, 1, true } };
        message.unreachableHosts = { "10.0.0.3" };
        message.evidence = { { "u1", placement::lastEvidenceKind } };
        message.loads = { { "u1", 2, 340 } };
        message.wantsEvidence = true;
        message.crashDigest = 12;
        message.crashes = { { 99, "u1", 2, 1, {} } };
        message.leaving = { { "u3", 77, {} } };
        message.summary = store_summary { 3, 40, 50, 60 };
        message.isBeacon = true;
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
    CHECK(decoded->summary->upstreamDigest == 50);
    CHECK(decoded->configuration == fullMessage().configuration);
    CHECK(decoded->digest == 0xfedcba9876543210);
    CHECK(decoded->memberDigests == fullMessage().memberDigests);
    CHECK(decoded->wantedBuckets == fullMessage().wantedBuckets);
    CHECK(decoded->evidence == fullMessage().evidence);
    CHECK(decoded->loads == fullMessage().loads);
    CHECK(decoded->wantsEvidence);
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

TEST_CASE("An empty message is small")
{
    peer_message message;
    message.sender = "10.0.0.1";
    message.ping = 1;
    CHECK(encode(message).size() < 32);
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
