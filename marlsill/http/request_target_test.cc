#include "marlsill/http/request_target.h"

#include <doctest/doctest.h>

namespace marlsill::http {

TEST_CASE("A malformed request target is refused")
{
    // Guards against an exception of POCO's parser, which left the request without an answer.
    struct row {
        const char* uri;
        std::optional<std::string> name;
    };
    const row rows[] = {
        { "/resolve?name=a.example&zone=z", "a.example" },
        { "/resolve?name=a%20b", "a b" },
        { "/resolve", "" },
        { "/resolve?name", "" },
        { "/resolve?name=%zz", std::nullopt },
        { "/resolve?name=%2", std::nullopt },
        { "/resolve%", std::nullopt },
        { "http://[::1/resolve", std::nullopt },
        { "http://h:99999/resolve", std::nullopt },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.uri));
        auto target = parseTarget(each.uri);
        CHECK(target.has_value() == each.name.has_value());
        CHECK((target ? target->parameter("name") : "") == each.name.value_or(""));
    }
}

TEST_CASE("A percent-encoded name is decoded to itself")
{
    // Guards against a name of an object that would end a request line or add a parameter.
    for (const std::string name :
        { "i-7f3a", "a b", "a&after=b", "a\r\nHost: x", "\xc3\xb1%2", "a/b?c#d+e" }) {
        auto encoded = percentEncode(name);
        CHECK(encoded.find_first_of(" \r\n&?#/+") == std::string::npos);
        auto target = parseTarget("/objects/servers?after=" + encoded);
        REQUIRE(target);
        CHECK(target->parameter("after") == name);
    }
}

}
