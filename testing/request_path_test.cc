#include "marlsill/http/field_names.h"
#include "marlsill/http/message_writer.h"
#include "testing/loopback_fleet.h"

#include <doctest/doctest.h>

namespace marlsill::testing {

namespace {

    deadline soon() { return deadlineAfter(std::chrono::seconds(20)); }

    bool isOwn(const load::call_result& result, const std::string& id)
    {
        return result.isWhole && result.status == 200 && result.outcome == "ran"
            && result.answer.body.find("\"id\":\"" + id + "\"") != std::string::npos;
    }

    http::channel connectTo(loopback_fleet& fleet)
    {
        return std::move(*http::channel::connect(fleet.entry(0).callerAddress(), soon()));
    }

}

TEST_CASE("a spoilt answer is never passed on as a whole one")
{
    struct row {
        const char* name;
        spoilt_answer spoilt;
    };
    constexpr row rows[] = {
        { "short Content-Length body", spoilt_answer::shortLength },
        { "cut in a chunk", spoilt_answer::cutChunk },
        { "no last chunk", spoilt_answer::noLastChunk },
        { "garbage", spoilt_answer::garbage },
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        SUBCASE("the only upstream spoils: unknown")
        {
            loopback_fleet fleet({ .upstreams = 1 });
            fleet.upstream(0).setFaults({ .spoilt = each.spoilt });
            auto result = fleet.call(0, post("a", ""));
            CHECK(result.isWhole);
            CHECK(result.status == 502);
            CHECK(result.outcome == "unknown");
        }
        SUBCASE("another upstream is well: a repeatable request gets its whole answer")
        {
            loopback_fleet fleet({ .upstreams = 2 });
            fleet.upstream(0).setFaults({ .spoilt = each.spoilt });
            for (int request = 0; request < 4; ++request) {
                CHECK(isOwn(fleet.call(0, get("/jobs/" + std::to_string(request), "a")), "a"));
            }
        }
    }
}

TEST_CASE("a server's error is bettered by another upstream where that is safe, and passed on otherwise")
{
    loopback_fleet fleet({ .upstreams = 2 });
    fleet.upstream(0).setFaults({ .spoilt = spoilt_answer::serverError });
    for (int request = 0; request < 4; ++request) {
        CHECK(isOwn(fleet.call(0, get("/jobs/1", "a")), "a"));
    }
    fleet.upstream(1).setFaults({ .spoilt = spoilt_answer::serverError });
    for (const auto& request : { get("/jobs/1", "b"), post("c", "") }) {
        auto result = fleet.call(0, request);
        CHECK(result.status == 500);
        CHECK(result.outcome == "ran");
    }
    CHECK(fleet.runs("c") == 1);
}

TEST_CASE("bytes left on an upstream connection never reach another request")
{
    loopback_fleet fleet({ .upstreams = 1 });
    fleet.upstream(0).setFaults({ .spoilt = spoilt_answer::extraBytes });
    for (int request = 0; request < 20; ++request) {
        auto id = "r" + std::to_string(request);
        CHECK(isOwn(fleet.call(0, get("/jobs/1", id)), id));
    }
}

TEST_CASE("an answer that comes too late is told as unknown and is not given to the next request")
{
    loopback_fleet fleet({ .upstreams = 1, .serviceTime = std::chrono::milliseconds(600) });
    load::caller client;
    auto late = post("late", "");
    late.head.set(http::field::requestTimeoutMs, "300");
    auto first = client.send(fleet.entry(0).callerAddress(), late, soon());
    CHECK(first.outcome == "unknown");
    CHECK(first.status == 504);
    auto second = client.send(fleet.entry(0).callerAddress(), get("/jobs/1", "next"), soon());
    CHECK(isOwn(second, "next"));
}

TEST_CASE("two requests sent at once on one connection get their own answers in order")
{
    loopback_fleet fleet({});
    auto connection = connectTo(fleet);
    auto both = http::serialize(get("/jobs/1", "first")) + http::serialize(get("/jobs/2", "second"));
    REQUIRE(connection.write(both, soon()) == http::io_status::ok);
    for (const char* id : { "first", "second" }) {
        http::response_message answer;
        REQUIRE(http::readResponse(connection, answer, "GET", {}, soon()) == http::read_status::complete);
        CHECK(answer.body.find(std::string("\"id\":\"") + id + "\"") != std::string::npos);
    }
}

TEST_CASE("a caller that vanishes in mid-request starts no work")
{
    loopback_fleet fleet({});
    {
        auto connection = connectTo(fleet);
        connection.write("POST /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf", soon());
    }
    CHECK(isOwn(fleet.call(0, get("/jobs/1", "after")), "after"));
    CHECK(fleet.started() == 1);
}

TEST_CASE("a caller that leaves has its repeatable request cancelled at the upstream")
{
    loopback_fleet fleet({ .upstreams = 1, .serviceTime = std::chrono::seconds(4) });
    {
        auto connection = connectTo(fleet);
        connection.write(http::serialize(get("/jobs/1", "a")), soon());
        REQUIRE(eventually([&] { return fleet.started() == 1; }));
    }
    CHECK(eventually([&] { return fleet.upstream(0).cancellations() == 1; }));
}

TEST_CASE("answers above the bound are streamed, and a break is visible")
{
    loopback_fleet fleet({ .upstreams = 1, .entryFlags = { "--whole-answer-bytes=1024" } });
    auto whole = fleet.call(0, get("/large/300000", "a"));
    CHECK(whole.isWhole);
    CHECK(whole.outcome == "ran");
    CHECK(whole.answer.body.size() > 300'000);
    fleet.upstream(0).setFaults({ .spoilt = spoilt_answer::shortLength });
    auto broken = fleet.call(0, get("/large/300000", "b"));
    CHECK_FALSE(broken.isWhole);
}

TEST_CASE("requests whose end is ambiguous get 400 and a closed connection")
{
    loopback_fleet fleet({});
    const std::string longField(20'000, 'a');
    const std::string rows[] = {
        "POST /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1x\r\n\r\na",
        "GET /jobs/1 HTTP/1.1\nHost: a\n\n",
        "GET /jobs/1 HTTP/1.1\r\nHost: a\r\nX: " + longField + "\r\n\r\n",
        "GET /jobs/../admin HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    };
    for (const auto& each : rows) {
        auto connection = connectTo(fleet);
        connection.write(each, soon());
        http::response_message answer;
        REQUIRE(http::readResponse(connection, answer, "GET", {}, soon()) == http::read_status::complete);
        CHECK(answer.head.getStatus() == 400);
        CHECK(answer.head.get(http::field::outcome) == "not-run");
        CHECK(connection.fill(soon()) != http::io_status::ok);
    }
    CHECK(fleet.started() == 0);
}

TEST_CASE("refusals say truly that a request was not run")
{
    struct row {
        const char* name;
        upstream_faults faults;
        std::string target;
        int status;
    };
    const row rows[] = {
        { "shed by every upstream", { .isShedding = true }, "/jobs/1", 503 },
        { "every upstream drains", { .isDraining = true }, "/jobs/1", 503 },
        { "no route", {}, "/nowhere", 404 },
    };
    loopback_fleet fleet({});
    for (const row& each : rows) {
        CAPTURE(each.name);
        fleet.upstream(0).setFaults(each.faults);
        fleet.upstream(1).setFaults(each.faults);
        auto result = fleet.call(0, get(each.target, "a"));
        CHECK(result.status == each.status);
        CHECK(result.outcome == "not-run");
        CHECK((each.status != 503 || result.answer.head.has(http::field::retryAfter)));
    }
    CHECK(fleet.started() == 0);
}

TEST_CASE("silent pooled connections cost no repeatable request and condemn no upstream")
{
    loopback_fleet fleet({ .upstreams = 1 });
    for (int round = 0; round < 5; ++round) {
        auto id = "warm" + std::to_string(round);
        REQUIRE(isOwn(fleet.call(0, get("/jobs/1", id)), id));
        fleet.upstream(0).silenceOpenConnections();
        id = "silent" + std::to_string(round);
        CHECK(isOwn(fleet.call(0, get("/jobs/1", id)), id));
    }
}

TEST_CASE("a request that crashes its upstreams kills at most two in the whole fleet")
{
    loopback_fleet fleet({ .entries = 3, .upstreams = 5 });
    auto poison = get("/jobs/" + std::string(crashWord), "poison");
    std::string last;
    for (int sending = 0; sending < 12; ++sending) {
        auto result = fleet.call(static_cast<std::size_t>(sending) % 3, poison);
        CHECK(result.outcome != "ran");
        last = result.outcomeReason;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CHECK(fleet.crashes() == 2);
    CHECK(last == "quarantined");
    CHECK(eventually([&] { return isOwn(fleet.call(0, get("/jobs/1", "well")), "well"); }));
}

TEST_CASE("a request that crashes upstreams for one account is served for the others")
{
    loopback_fleet fleet({ .entries = 3, .upstreams = 5 });
    auto poison = get("/jobs/1", "poison");
    poison.head.set(http::field::clientAccount, std::string(crashWord) + "-a");
    std::string last;
    for (int sending = 0; sending < 12; ++sending) {
        last = fleet.call(static_cast<std::size_t>(sending) % 3, poison).outcomeReason;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CHECK(fleet.crashes() == 2);
    CHECK(last == "quarantined");
    for (const auto* account : { "", "b" }) {
        CAPTURE(std::string(account));
        auto sound = get("/jobs/1", "well");
        if (*account != 0) {
            sound.head.set(http::field::clientAccount, account);
        }
        CHECK(eventually([&] { return isOwn(fleet.call(0, sound), "well"); }));
    }
}

TEST_CASE("a path whose answers were lost is served again, by every daemon")
{
    // Guards against sound requests that are quarantined although no upstream has crashed under them.
    struct row {
        const char* name;
        spoilt_answer spoilt;
    };
    constexpr row rows[] = {
        { "answers cut in the body", spoilt_answer::shortLength },
        { "connections closed without an answer", spoilt_answer::closed },
    };
    constexpr std::size_t entries = 3;
    constexpr std::size_t upstreams = 3;
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        loopback_fleet fleet({ .entries = entries, .upstreams = upstreams });
        for (std::size_t upstream = 0; upstream < upstreams; ++upstream) {
            fleet.upstream(upstream).setFaults({ .spoilt = each.spoilt });
        }
        for (int sending = 0; sending < 6; ++sending) {
            fleet.call(static_cast<std::size_t>(sending) % entries, get("/jobs/1", "lost"));
        }
        for (std::size_t upstream = 0; upstream < upstreams; ++upstream) {
            fleet.upstream(upstream).setFaults({});
        }
        for (std::size_t entry = 0; entry < entries; ++entry) {
            auto result = fleet.call(entry, get("/jobs/1", "sound"));
            CHECK(isOwn(result, "sound"));
            CHECK(result.status == 200);
        }
    }
}

TEST_CASE("a leaving upstream gets no new work once that is in force, on any daemon")
{
    loopback_fleet fleet({ .entries = 3, .upstreams = 2 });
    REQUIRE(fleet.applyRules(1, R"("leaving":["u0"])", 2) == "accepted");
    REQUIRE(eventually([&] { return fleet.status(2, "in_force_everywhere") == "3"; }));
    auto before = fleet.upstream(0).started();
    for (int request = 0; request < 60; ++request) {
        CHECK(fleet.call(static_cast<std::size_t>(request) % 3, get("/jobs/1", "a")).outcome == "ran");
    }
    CHECK(fleet.upstream(0).started() == before);
}

TEST_CASE("a planned stop under load cuts off nothing")
{
    loopback_fleet fleet({ .entries = 3, .upstreams = 3, .slots = 8 });
    load::directory_view directory(
        { fleet.entry(0).callerAddress(), fleet.entry(1).callerAddress() }, "work");
    std::atomic<bool> isStopping = false;
    std::atomic<int> answered = 0;
    std::atomic<int> lost = 0;
    std::vector<std::jthread> callers;
    for (int index = 0; index < 4; ++index) {
        callers.emplace_back([&, index] {
            load::caller client;
            for (int request = 0; !isStopping; ++request) {
                auto addresses = directory.addresses();
                auto id = std::to_string(index) + "-" + std::to_string(request);
                auto& address = addresses[static_cast<std::size_t>(request) % addresses.size()].address;
                isOwn(client.send(address, get("/jobs/1", id), soon()), id) ? ++answered : ++lost;
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
            }
        });
    }
    REQUIRE(eventually([&] { return answered > 100; }));
    fleet.stopEntry(2);
    auto after = answered.load();
    REQUIRE(eventually([&] { return answered > after + 100; }));
    isStopping = true;
    callers.clear();
    CHECK(lost == 0);
}

}
