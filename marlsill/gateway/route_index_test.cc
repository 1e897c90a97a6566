#include "marlsill/gateway/route_index.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace marlsill::gateway {

namespace {

    route makeRoute(const std::string& name, const std::string& host, const std::string& prefix,
        const std::vector<std::string>& services = { "s" }, bool isAtMostOnce = false)
    {
        route made { .name = name, .host = host, .pathPrefix = prefix, .isAtMostOnce = isAtMostOnce };
        for (const auto& each : services) {
            made.weightedServices.push_back({ each });
        }
        return made;
    }

    // Searches all routes in turn.
    const route* findInTurn(const std::vector<route>& routes, std::string_view host, std::string_view path)
    {
        const route* longest = nullptr;
        for (const auto& each : routes) {
            bool isLonger = !longest || each.pathPrefix.size() > longest->pathPrefix.size();
            if (isLonger && each.host == host && path.starts_with(each.pathPrefix)) {
                longest = &each;
            }
        }
        return longest;
    }

}

TEST_CASE("The route with the longest matching prefix is found")
{
    const std::vector<route> routes { makeRoute("root", "H.example", "/"),
        makeRoute("a", "h.example:80", "/a/"), makeRoute("a again", "h.example", "/a/"),
        makeRoute("deep", "h.example", "/a/b/c/"), makeRoute("z", "h.example", "/z/"),
        makeRoute("other", "other.example", "/a/"),
        makeRoute("long", "long.example", std::string(8192, 'x')) };
    const route_index index(routes);
    struct lookup {
        const char* host;
        std::string path;
        const char* name; // nullptr: no route.
    };
    const lookup lookups[] = {
        { "h.example", "/a/b/c/d", "deep" },
        { "h.example", "/a/b/x", "a" },
        { "h.example", "/a/b/c", "a" },
        { "h.example", "/a", "root" },
        { "h.example", "/b/?x=/z/", "root" },
        { "h.example", "/zz/", "root" },
        { "H.EXAMPLE:8080", "/z/1", "z" },
        { "other.example", "/", nullptr },
        { "other.example", "", nullptr },
        { "unknown.example", "/a/", nullptr },
        { "long.example", std::string(8192, 'x') + "/1", "long" },
        { "long.example", std::string(8191, 'x'), nullptr },
    };
    for (const auto& each : lookups) {
        CAPTURE(each.host);
        CAPTURE(each.path);
        const auto* found = index.find(each.host, each.path);
        CHECK(std::string(found ? found->name : "") == (each.name ? each.name : ""));
    }
}

TEST_CASE("A lookup finds the same route as a search of all routes")
{
    bool holds = rc::check([] {
        auto segment = [] { return std::string(*rc::gen::element("/a", "/b", "/ab")); };
        std::vector<route> routes;
        int count = *rc::gen::inRange(0, 40);
        for (int number = 0; number < count; ++number) {
            std::string prefix;
            for (int depth = *rc::gen::inRange(0, 4); depth > 0; --depth) {
                prefix += segment();
            }
            routes.push_back(makeRoute(std::to_string(number), *rc::gen::element("h", "i"), prefix + "/"));
        }
        const route_index index(routes);
        std::string path;
        for (int depth = *rc::gen::inRange(0, 6); depth > 0; --depth) {
            path += segment();
        }
        path += "/";
        RC_ASSERT(index.find("h", path) == findInTurn(routes, "h", path));
    });
    CHECK(holds);
}

TEST_CASE("Hosts, services and at-most-once rules are listed once each")
{
    const std::vector<route> routes { makeRoute("1", "h", "/a/", { "s", "t" }),
        makeRoute("2", "H", "/b/", { "s" }, true), makeRoute("3", "i", "/a/", { "t" }) };
    const route_index index(routes);
    CHECK(index.hosts() == std::vector<std::string> { "h", "i" });
    CHECK(index.services() == std::vector<std::string> { "s", "t" });
    CHECK(index.servicesOf("H:80") == std::vector<std::string> { "s", "t" });
    CHECK(index.servicesOf("j").empty());
    CHECK(index.hostsRoutedTo("t") == std::vector<std::string> { "h", "i" });
    CHECK(index.hostsRoutedTo("u").empty());
    CHECK(index.isAtMostOnce("s"));
    CHECK_FALSE(index.isAtMostOnce("t"));
    CHECK_FALSE(index.isAtMostOnce("u"));
}

}
