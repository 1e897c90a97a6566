#include "marlsill/cluster/text_delta.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace marlsill::cluster {

namespace {

    constexpr std::size_t maxBytes = 100'000;

}

TEST_CASE("A delta leads from its base to its target")
{
    bool holds = rc::check([] {
        auto text = [] {
            std::string joined;
            for (const auto& each :
                *rc::gen::container<std::vector<std::string>>(
                    rc::gen::element<std::string>("[1]", "[2]", "[\"x\",3]", "}", "{", ",", "long piece]"))) {
                joined += each;
            }
            return joined;
        };
        auto base = text();
        auto target = text();
        reason why;
        auto result = applyDelta(base, makeDelta(base, target), maxBytes, why);
        RC_ASSERT(result.has_value());
        RC_ASSERT(*result == target);
    });
    CHECK(holds);
}

TEST_CASE("A delta that is damaged or does not fit its base is rejected")
{
    const std::string base = "[1][2][3]";
    auto delta = makeDelta(base, "[1][2][3][4]");
    struct row {
        const char* name;
        std::string base;
        std::string delta;
        std::size_t maxBytes;
    };
    const row rows[] = {
        { "cut short", base, delta.substr(0, delta.size() - 1), maxBytes },
        { "a number without an end", base, std::string(20, '\xff'), maxBytes },
        { "a copy without an offset", base, "\x03", maxBytes },
        { "a shorter base", "[1]", delta, maxBytes },
        { "too long a result", base, delta, 5 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        reason why;
        CHECK_FALSE(applyDelta(each.base, each.delta, each.maxBytes, why));
        CHECK(why.code == reason_code::invalid);
    }
}

TEST_CASE("Random bytes are applied without a crash")
{
    bool holds = rc::check([] {
        auto bytes = *rc::gen::string<std::string>();
        reason why;
        auto result = applyDelta("[1][2][3]", bytes, maxBytes, why);
        RC_ASSERT(!result || result->size() <= maxBytes);
    });
    CHECK(holds);
}

}
