#include "marlsill/cluster/peer_message.h"

#include <doctest/doctest.h>
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
        message.members = { { "10.0.0.2", "a", "10.0.0.2:80", 5, 6, member_state::leaving, 2.5 } };
        message.unreachableHosts = { "10.0.0.3" };
        message.evidence = { { "u1", placement::lastEvidenceKind } };
        message.loads = { { "u1", 2, 340 } };
        message.crashes = { { 99, 2 } };
        message.summary = store_summary { 3, 40, 50, 60 };
        message.isBeacon = true;
        message.wantsConfiguration = true;
        message.wantsUpstreams = true;
        message.configuration = "{\"routes\":[]}";
        message.configurationVersion = 3;
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
    CHECK(decoded->members == fullMessage().members);
    CHECK(decoded->upstreams == fullMessage().upstreams);
    CHECK(decoded->summary->upstreamDigest == 50);
    CHECK(decoded->configuration == fullMessage().configuration);
    CHECK(decoded->digest == 0xfedcba9876543210);
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
