#include "marlsill/peer/messages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace marlsill::peer {

namespace {

    // One message of every type, with a non-default value in every field.
    std::vector<message> oneOfEach()
    {
        member_record member { "aa", "vm-1", "cardiff", "wales", "127.0.0.1:1", "127.0.0.1:2", 5, 6,
            member_state::leaving, "bb" };
        key_lookup_reply reply { 4, 200, "text/plain", std::string("\0\xff", 2) };
        return { hello { 1, "aa", "127.0.0.1:2", "n" }, hello_reply { "aa", "127.0.0.1:2", "n", "p" },
            hello_confirm { "p" }, heartbeat { 7 }, heartbeat_echo { 7 },
            member_update { { member, member } }, member_digest { { 1, ~std::uint64_t(0) }, 9, true },
            config_announcement { 9 }, config_head_request {}, config_head_reply { "{}" },
            config_blob_request { { "h1", "h2" } }, config_blob_reply { { "b1" } }, config_confirmation { 9 },
            config_confirmed { 9 }, key_lookup_request { "k", 3 }, reply,
            key_handover { "aa", { { "k", 3, 4, reply } }, true }, suspicion_report { 5, 2, "s", "aa" },
            acknowledgement {}, evidence_report { "s", "cardiff", { { "u", 1, 2, 3, 4, 5, 0.5, -1.5 } } },
            service_decisions { "s", 8, { { "u", 0.25, 77 } } } };
    }

}

TEST_CASE("every message type survives encoding and decoding")
{
    auto messages = oneOfEach();
    CHECK(messages.size() == std::variant_size_v<message>);
    for (std::size_t index = 0; index < messages.size(); ++index) {
        CAPTURE(index);
        CHECK(messages[index].index() == index);
        auto bytes = encode({ 42, true, messages[index] });
        reason why;
        auto decoded = decode(bytes, why);
        REQUIRE(decoded);
        CHECK(decoded->request == 42);
        CHECK(decoded->isReply);
        CHECK(encode(*decoded) == bytes);
    }
}

TEST_CASE("mutated and truncated messages are rejected or decode to a message that can be encoded")
{
    auto messages = oneOfEach();
    bool holds = rc::check([&] {
        auto bytes = encode({ 1, false, messages[*rc::gen::inRange<std::size_t>(0, messages.size())] });
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        for (int edit = *rc::gen::inRange(0, 4); edit > 0 && !bytes.empty(); --edit) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        reason why;
        auto decoded = decode(bytes, why);
        RC_ASSERT(decoded.has_value() || !why.text.empty());
        if (decoded) {
            encode(*decoded);
        }
    });
    CHECK(holds);
}

}
