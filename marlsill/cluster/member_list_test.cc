#include "marlsill/cluster/member_list.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace marlsill::cluster {

namespace {

    using std::chrono::milliseconds;

    const steady_clock::time_point start { std::chrono::hours(1) };

    member record(const std::string& host, const std::string& domain = "a", std::uint64_t incarnation = 1)
    {
        return { .host = host,
            .failureDomain = domain,
            .callerAddress = host + ":80",
            .incarnation = incarnation,
            .version = 1,
            .state = member_state::ready };
    }

    member_list listOf(int others)
    {
        auto self = record("10.0.0.1");
        member_list members(self, {});
        for (int index = 0; index < others; ++index) {
            members.learn(record("10.0.1." + std::to_string(index), index % 2 ? "a" : "b"), start);
        }
        return members;
    }

    bool contains(const std::vector<std::string>& hosts, const std::string& host)
    {
        return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
    }

}

TEST_CASE("Of two records of a host the newer life, then the newer version counts")
{
    struct record_case {
        std::uint64_t incarnation;
        std::uint64_t version;
        bool isNews;
    };
    const record_case cases[]
        = { { 5, 3, false }, { 5, 2, false }, { 4, 9, false }, { 5, 4, true }, { 6, 1, true } };
    for (const auto& each : cases) {
        auto members = listOf(0);
        auto known = record("10.0.0.2", "a", 5);
        known.version = 3;
        CHECK(members.learn(known, start));
        auto next = known;
        next.incarnation = each.incarnation;
        next.version = each.version;
        CAPTURE(each.incarnation);
        CAPTURE(each.version);
        CHECK(members.learn(next, start) == each.isNews);
    }
}

TEST_CASE("A VM whose clock went back outlives the memory of its earlier life")
{
    auto members = listOf(0);
    auto earlier = record("10.0.0.1", "a", 900);
    CHECK_FALSE(members.learn(earlier, start));
    CHECK(members.self().incarnation > 900);
}

TEST_CASE("A host that misses two answers is lost, and is found again when heard")
{
    auto members = listOf(1);
    auto now = start;
    for (int turn = 0; turn < 2; ++turn) {
        CHECK(contains(members.duePings(now), "10.0.1.0"));
        CHECK(members.takeLost().empty());
        now += milliseconds(250);
    }
    members.duePings(now);
    CHECK(contains(members.takeLost(), "10.0.1.0"));
    CHECK(members.takeLost().empty());
    CHECK(members.reachableHosts().empty());
    members.noteHeard("10.0.1.0", now);
    CHECK(contains(members.reachableHosts(), "10.0.1.0"));
}

TEST_CASE("A reported host is pinged at once, unless it was just heard")
{
    auto members = listOf(10);
    auto now = start + milliseconds(1'000);
    members.noteReported("10.0.1.7", now);
    CHECK(contains(members.duePings(now), "10.0.1.7"));
    members.noteHeard("10.0.1.8", now);
    members.noteReported("10.0.1.8", now);
    auto due = members.duePings(now + milliseconds(1));
    CHECK(due.size() <= 1);
}

TEST_CASE("Every host is pinged in turn")
{
    auto members = listOf(8);
    std::vector<std::string> pinged;
    for (int turn = 0; turn < 8; ++turn) {
        for (const auto& host : members.duePings(start)) {
            pinged.push_back(host);
            members.noteHeard(host, start);
        }
    }
    std::sort(pinged.begin(), pinged.end());
    CHECK(std::unique(pinged.begin(), pinged.end()) == pinged.end());
    CHECK(pinged.size() == 8);
}

TEST_CASE("Serving sets agree, spread over failure domains, and leave out those that leave or are lost")
{
    auto members = listOf(20);
    auto serving = members.servingSet("host", 32);
    CHECK(serving.size() == 4);
    auto inDomain = std::count_if(
        serving.begin(), serving.end(), [](const member* each) { return each->failureDomain == "a"; });
    CHECK(inDomain == 2);

    auto leaving = *serving.front();
    leaving.state = member_state::leaving;
    ++leaving.version;
    if (leaving.host != members.self().host) {
        members.learn(leaving, start);
        for (const auto* each : members.servingSet("host", 32)) {
            CHECK(each->host != leaving.host);
        }
    }
}

TEST_CASE("Equal lists have equal digests, and only they")
{
    auto left = listOf(5);
    auto right = listOf(5);
    CHECK(left.digest() == right.digest());
    right.learn(record("10.0.9.9"), start);
    CHECK(left.digest() != right.digest());
}

TEST_CASE("A host out of reach for long is forgotten")
{
    auto members = listOf(1);
    auto now = start;
    for (int turn = 0; turn < 3; ++turn) {
        members.duePings(now);
        now += milliseconds(250);
    }
    CHECK(members.size() == 2);
    members.duePings(now + milliseconds(61'000));
    CHECK(members.size() == 1);
}

}
