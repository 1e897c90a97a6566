#include "marlsill/entry/handover_store.h"

#include "marlsill/http/message_writer.h"

#include <doctest/doctest.h>

namespace marlsill::entry {

namespace {

    dedup::settled_key settled(const std::string& key, dedup::key_state state)
    {
        auto answer
            = std::make_shared<http::response_message>(http::makeResponse(201, "text/plain", "done " + key));
        return { key, state, 7, state == dedup::key_state::finished ? answer : nullptr };
    }

    std::vector<dedup::settled_key> someKeys()
    {
        return { settled("ran", dedup::key_state::finished),
            settled("cancelled", dedup::key_state::cancelled),
            settled("undetermined", dedup::key_state::undetermined) };
    }

}

TEST_CASE("a complete handover answers questions about every key of its incarnation")
{
    struct row {
        const char* key;
        std::uint64_t requestHash;
        key_answer_status expected;
    };
    constexpr row rows[] = {
        { "ran", 7, key_answer_status::finished },
        { "ran", 8, key_answer_status::otherRequest },
        { "cancelled", 7, key_answer_status::cancelled },
        { "undetermined", 7, key_answer_status::undetermined },
        { "never-seen", 7, key_answer_status::cancelled },
    };
    handover_store store;
    for (const auto& part : toParts("aa", someKeys(), 2)) {
        store.add(part);
    }
    for (const row& each : rows) {
        CAPTURE(each.key);
        auto known = store.answer("aa", { each.key, each.requestHash });
        REQUIRE(known);
        CHECK(known->status == each.expected);
    }
    CHECK(store.answer("aa", { "ran", 7 })->response->body == "done ran");
    CHECK_FALSE(store.answer("bb", { "ran", 7 }));
}

TEST_CASE("an incomplete handover does not report a missing key as not run")
{
    handover_store store;
    auto parts = toParts("aa", someKeys(), 2);
    store.add(parts.front());
    CHECK(store.answer("aa", { "never-seen", 7 })->status == key_answer_status::undetermined);
}

TEST_CASE("handed-over outcomes can be handed over to a third VM")
{
    handover_store first;
    for (const auto& part : toParts("aa", someKeys(), 10)) {
        first.add(part);
    }
    handover_store second;
    for (const auto& part : first.parts(1)) {
        second.add(part);
    }
    CHECK(second.answer("aa", { "ran", 7 })->status == key_answer_status::finished);
    CHECK(second.answer("aa", { "never-seen", 7 })->status == key_answer_status::cancelled);
}

TEST_CASE("the store is bounded and evicts the oldest handover")
{
    handover_store store({ .maxKeys = 4 });
    for (const char* incarnation : { "aa", "bb" }) {
        for (const auto& part : toParts(incarnation, someKeys(), 10)) {
            store.add(part);
        }
    }
    CHECK_FALSE(store.answer("aa", { "ran", 7 }));
    CHECK(store.answer("bb", { "ran", 7 }));
}

}
