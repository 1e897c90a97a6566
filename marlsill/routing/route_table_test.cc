#include "marlsill/routing/route_table.h"

#include <doctest/doctest.h>

namespace marlsill::routing {

TEST_CASE("the longest prefix at a segment boundary wins")
{
    const route routes[] = {
        { "", "/bookings", 1 },
        { "", "/bookings/bays/", 2 },
        { "depot.example", "/", 3 },
        { "depot.example", "/stores", 4 },
    };
    route_table table(routes);
    struct row {
        std::string_view host;
        std::string_view path;
        int expected; // Negative if no route matches.
    };
    constexpr row rows[] = {
        { "a", "/bookings", 1 },
        { "a", "/bookings/", 1 },
        { "a", "/bookings/7", 1 },
        { "a", "/bookings2", -1 },
        { "a", "/bookings/bays", 2 },
        { "a", "/bookings/bays/7/x", 2 },
        { "a", "/", -1 },
        { "depot.example", "/", 3 },
        { "depot.example:8080", "/stores/1", 4 },
        { "depot.example", "/bookings/1", 1 },
        { "depot.example", "/anything", 3 },
    };
    for (const row& each : rows) {
        CAPTURE(each.host);
        CAPTURE(each.path);
        auto found = table.find(each.host, each.path);
        CHECK(found.has_value() == (each.expected >= 0));
        CHECK(static_cast<int>(found.value_or(-1)) == each.expected);
    }
}

TEST_CASE("ambiguous request targets have no canonical path")
{
    struct row {
        std::string_view target;
        std::string_view expected; // Empty if the target is rejected.
    };
    constexpr row rows[] = {
        { "/bookings?x=/../y", "/bookings" },
        { "/book%69ngs", "/bookings" },
        { "/a b", "/a b" },
        { "/a/../b", "" },
        { "/a/%2e%2E/b", "" },
        { "/a/./b", "" },
        { "/a//b", "" },
        { "/a%2Fb", "" },
        { "/a\\b", "" },
        { "/a%00", "" },
        { "/a%4", "" },
        { "a", "" },
        { "http://host/a", "" },
    };
    for (const row& each : rows) {
        CAPTURE(each.target);
        CHECK(canonicalPath(each.target).value_or("") == each.expected);
    }
}

}
