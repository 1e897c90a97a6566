// Tests of the decisions of a lender and of the holders of shares, one at a time.

#include "marlsill/accounts/limit_lender.h"

#include <doctest/doctest.h>

namespace marlsill::accounts {

namespace {

    using std::chrono::milliseconds;
    using time_point = boot_clock::time_point;

    const std::vector<std::string> twoHolders { "l", "h" };
    constexpr account_limit tenPerSecond { 10, 10, 1 };

    time_point at(int ms) { return time_point(milliseconds(ms)); }

    lender_order orderWith(std::string_view lender)
    {
        return { .holders = twoHolders, .lender = lender, .since = at(0) };
    }

    token_request wanting(int tokens, account_limit limit = tenPerSecond)
    {
        return { .account = "a", .number = 1, .wanted = tokens, .limit = limit };
    }

    // Takes tokens until none is left, and returns how many.
    int drain(limit_lender& lender, const lender_order& order, time_point now)
    {
        int total = 0;
        while (int tokens = lender.lend(wanting(64), order, now).tokens) {
            total += tokens;
        }
        return total;
    }

}

TEST_CASE("A bucket keeps whole tokens up to its capacity")
{
    struct row {
        double filled;
        double capacity;
        int wanted;
        int taken;
        double left;
    };
    const row rows[] = {
        { 5, 10, 3, 3, 2 },
        { 5, 10, 8, 5, 0 },
        { 0.75, 10, 1, 0, 0.75 },
        { 50, 10, 64, 10, 0 },
        { -5, 10, 1, 0, 0 },
        { 5, 0, 1, 0, 0 },
        { 5, 10, -1, 0, 5 },
    };
    for (const auto& each : rows) {
        token_bucket bucket;
        bucket.fill(each.filled, each.capacity);
        CHECK(bucket.take(each.wanted) == each.taken);
        CHECK(bucket.level() == doctest::Approx(each.left));
    }
}

TEST_CASE("The settings of the bound decide on shares and on the lifetime of tokens")
{
    struct row {
        limit_bound bound;
        std::size_t shares;
        int lifetimeMs;
    };
    const row rows[] = {
        { {}, 7, 200 },
        { { .slack = 10 }, 3, 200 },
        { { .slack = 0 }, 1, 200 },
        { { .overshoot = 0.05 }, 7, 150 },
        { { .overshoot = 0 }, 7, 50 },
        { { .window = milliseconds(1'000) }, 7, 60 },
    };
    for (const auto& each : rows) {
        CHECK(lenderOptionsFor(each.bound).maxShares == each.shares);
        CHECK(tokenLifetimeFor(each.bound).count() == each.lifetimeMs);
    }
}

TEST_CASE("A VM lends nothing right after its start, unless it is the only one")
{
    limit_lender started("l", {});
    CHECK_FALSE(started.lend(wanting(1), orderWith("l"), at(0)).isLending); // Not started.
    started.start(at(0), false);
    CHECK_FALSE(started.lend(wanting(1), orderWith("l"), at(1'999)).isLending);
    started.lend(wanting(1), orderWith("l"), at(2'000));
    CHECK(drain(started, orderWith("l"), at(2'500)) == 2); // The half of the limit that is its own.

    limit_lender alone("l", {});
    alone.start(at(0), true);
    const std::vector<std::string> self { "l" };
    lender_order order { .holders = self, .lender = "l" };
    alone.lend(wanting(1), order, at(0));
    CHECK(drain(alone, order, at(10'000)) == 10);

    // It knows too little of the fleet.
    CHECK_FALSE(alone.lend(wanting(1), {}, at(20'000)).isLending);
}

TEST_CASE("A share is in use at one VM at a time")
{
    limit_lender lender("l", {});
    limit_lender holder("h", {});
    lender.start(at(0), false);
    holder.start(at(0), false);
    auto order = orderWith("l");
    lender.lend(wanting(1), order, at(10'000));
    auto requests = lender.dueShareRequests("a", order, at(10'000));
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].host == "h");
    CHECK(lender.dueShareRequests("a", order, at(10'100)).empty());

    auto answer = holder.handleShareRequest("l", requests[0].request, order, at(10'050));
    REQUIRE(answer);
    CHECK(answer->isGranted);
    CHECK(answer->tokens == doctest::Approx(5)); // Its part of the burst comes along.
    CHECK(holder.sharesOf("a", at(10'060)).first == 0);
    CHECK_FALSE(holder.lend(wanting(1), order, at(10'060)).isLending);

    lender.applyShareAnswer("h", *answer, at(10'100));
    CHECK(lender.sharesOf("a", at(10'100)).first == 2);
    auto lent = drain(lender, order, at(10'100));
    CHECK(lent >= 8);
    lender.applyShareAnswer("h", *answer, at(10'110)); // A second copy adds nothing.
    CHECK(drain(lender, order, at(10'110)) == 0);

    // The lease ends at the lender before it ends at the holder.
    CHECK(lender.sharesOf("a", at(10'999)).first == 2);
    CHECK(lender.sharesOf("a", at(11'000)).first == 1);
    CHECK(holder.sharesOf("a", at(11'049)).first == 0);
    CHECK(holder.sharesOf("a", at(11'050)).first == 1);
}

TEST_CASE("A holder refuses its share to any VM but the lender that it sees")
{
    struct row {
        const char* name;
        const char* from;
        const char* lenderSeen;
        int askedAtMs;
        bool isGranted;
    };
    const row rows[] = {
        { "the lender", "l", "l", 10'000, true },
        { "another VM", "x", "l", 10'000, false },
        { "not first for the holder", "l", "h", 10'000, false },
        { "right after the start", "l", "l", 1'000, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        limit_lender holder("h", {});
        holder.start(at(0), false);
        auto answer = holder.handleShareRequest(
            each.from, { "a", 1, tenPerSecond }, orderWith(each.lenderSeen), at(each.askedAtMs));
        REQUIRE(answer);
        CHECK(answer->isGranted == each.isGranted);
    }
    SUBCASE("while it is leased to another one")
    {
        const std::vector<std::string> three { "l", "m", "h" };
        limit_lender holder("h", {});
        holder.start(at(0), false);
        lender_order byL { .holders = three, .lender = "l" };
        lender_order byM { .holders = three, .lender = "m" };
        CHECK(holder.handleShareRequest("l", { "a", 1, tenPerSecond }, byL, at(10'000))->isGranted);
        CHECK_FALSE(holder.handleShareRequest("m", { "a", 1, tenPerSecond }, byM, at(10'999))->isGranted);
        auto answer = holder.handleShareRequest("m", { "a", 2, tenPerSecond }, byM, at(11'000));
        CHECK(answer->isGranted);
        CHECK(answer->tokens == doctest::Approx(0));
    }
}

TEST_CASE("A late answer of a holder is no lease, and a VM that paused holds none")
{
    limit_lender lender("l", {});
    lender.start(at(0), false);
    auto order = orderWith("l");
    lender.lend(wanting(1), order, at(10'000));
    auto first = lender.dueShareRequests("a", order, at(10'000));
    REQUIRE(first.size() == 1);
    share_answer late { "a", first[0].request.number, true, 5 };
    lender.applyShareAnswer("h", late, at(11'000));
    CHECK(lender.sharesOf("a", at(11'000)).first == 1);

    lender.lend(wanting(1), order, at(11'000));
    auto second = lender.dueShareRequests("a", order, at(11'000));
    REQUIRE(second.size() == 1);
    lender.applyShareAnswer("h", { "a", first[0].request.number, true, 5 }, at(11'010)); // Of an earlier one.
    CHECK(lender.sharesOf("a", at(11'010)).first == 1);
    lender.applyShareAnswer("h", { "a", second[0].request.number, true, 5 }, at(11'010));
    CHECK(lender.sharesOf("a", at(11'010)).first == 2);
    CHECK(lender.sharesOf("a", at(19'000)).first == 1); // Paused for 8 s.
    // Half of the burst and nothing of what the share brought in meanwhile.
    CHECK(drain(lender, order, at(19'000)) == 5);
}

TEST_CASE("A VM that is not the lender any more gives shares and tokens back")
{
    limit_lender lender("l", {});
    limit_lender holder("h", {});
    lender.start(at(0), false);
    holder.start(at(0), false);
    auto order = orderWith("l");
    lender.lend(wanting(1), order, at(10'000));
    auto request = lender.dueShareRequests("a", order, at(10'000));
    REQUIRE(request.size() == 1);
    lender.applyShareAnswer(
        "h", *holder.handleShareRequest("l", request[0].request, order, at(10'001)), at(10'002));
    auto orderOf = [](const auto&) { return orderWith("h"); };
    auto releases = lender.dueShareRequests(at(10'020), orderOf);
    REQUIRE(releases.size() == 1);
    CHECK(releases[0].request.isRelease);
    CHECK(releases[0].request.tokens > 3);
    CHECK(lender.sharesOf("a", at(10'020)).first == 1);
    CHECK_FALSE(lender.isActive());
    CHECK_FALSE(holder.handleShareRequest("l", releases[0].request, orderWith("h"), at(10'021)));
    CHECK(holder.sharesOf("a", at(10'021)).first == 1);
    auto level = drain(holder, orderWith("h"), at(10'021));
    CHECK(level >= 4);
    // A second copy brings nothing.
    holder.handleShareRequest("l", releases[0].request, orderWith("h"), at(10'022));
    CHECK(drain(holder, orderWith("h"), at(10'022)) == 0);
}

TEST_CASE("A late copy of an earlier request does not let an earlier release end the lease")
{
    limit_lender holder("h", {});
    holder.start(at(0), false);
    auto order = orderWith("l");
    holder.handleShareRequest("l", { "a", 7, tenPerSecond }, order, at(10'000));
    share_request release { "a", 7, tenPerSecond, true, 2 };
    holder.handleShareRequest("l", release, order, at(10'010));
    holder.handleShareRequest("l", { "a", 8, tenPerSecond }, order, at(10'020));
    holder.handleShareRequest("l", { "a", 7, tenPerSecond }, order, at(10'030)); // The copy.
    holder.handleShareRequest("l", release, order, at(10'040));
    CHECK(holder.sharesOf("a", at(10'050)).first == 0);
}

TEST_CASE("The limit of the newest configuration applies at once")
{
    struct row {
        const char* name;
        account_limit next;
        int lent;
    };
    const row rows[] = {
        { "lowered", { 2, 4, 2 }, 4 },
        { "lowered by an older version", { 2, 4, 0 }, 10 },
        { "raised: the level grows with time", { 100, 100, 2 }, 10 },
    };
    const std::vector<std::string> self { "l" };
    lender_order order { .holders = self, .lender = "l" };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        limit_lender lender("l", {});
        lender.start(at(0), true);
        lender.lend(wanting(0), order, at(10'000));
        int total = 0;
        while (int tokens = lender.lend(wanting(64, each.next), order, at(10'000)).tokens) {
            total += tokens;
        }
        CHECK(total == each.lent);
    }
    limit_lender lender("l", {});
    lender.start(at(0), true);
    auto answer = lender.lend(wanting(5, { 0, 0, 3 }), order, at(10'000));
    CHECK(answer.tokens == 5); // No limit any more.
}

TEST_CASE("VMs that are refused together are told different times, within the longest one")
{
    const std::vector<std::string> self { "l" };
    lender_order order { .holders = self, .lender = "l" };
    limit_lender lender("l", {});
    lender.start(at(0), true);
    lender.lend(wanting(1), order, at(1'000));
    drain(lender, order, at(1'000));
    std::vector<milliseconds> delays;
    for (int vm = 0; vm < 132; ++vm) {
        auto answer = lender.lend(wanting(1), order, at(1'000));
        CHECK(answer.isLending);
        CHECK(answer.delay > milliseconds(0));
        CHECK(answer.delay <= milliseconds(500));
        delays.push_back(answer.delay);
    }
    // A token comes each 105.3 ms, and drain() was refused first.
    CHECK(delays[0] >= milliseconds(106));
    CHECK(delays[0] <= milliseconds(211));
    CHECK(delays[1] - delays[0] >= milliseconds(105));
    CHECK(delays[1] - delays[0] <= milliseconds(106));
    CHECK(*std::max_element(delays.begin(), delays.end()) > milliseconds(300));
}

TEST_CASE("Accounts that are not used any more are forgotten, once their buckets are full")
{
    const std::vector<std::string> self { "l" };
    lender_order order { .holders = self, .lender = "l" };
    limit_lender lender("l", {});
    lender.start(at(0), true);
    lender.lend(wanting(1, { 0.01, 10, 1 }), order, at(0));
    lender.forgetIdle(at(1'000'000));
    CHECK(lender.size() == 1);
    lender.forgetIdle(at(1'070'000));
    CHECK(lender.size() == 0);
}

}
