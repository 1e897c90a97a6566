// Tests of how requests wait for tokens. Guards against requests that wait without end, tokens that are lost
// or used twice when a caller leaves, and one query for each request.

#include "marlsill/gateway/account_limiter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <thread>

namespace marlsill::gateway {

namespace {

    using std::chrono::milliseconds;

    constexpr accounts::account_limit hundredPerSecond { 100, 100, 1 };
    const std::vector<std::string> otherLenders { "l1", "l2" };

    struct taking_request {
        std::shared_ptr<active_request> request;
        std::optional<limit_decision> decision;
        milliseconds waited {};
    };

    // A limiter whose peers answer as the test says.
    class limiter_fixture {
    public:
        explicit limiter_fixture(bool hasPeers = true)
            : m_limiter(m_io, {}, m_counters)
        {
            if (hasPeers) {
                m_limiter.setPeers({ .self = "self",
                    .orderOf =
                        [](const auto&) {
                            return accounts::lender_order { .holders = otherLenders, .lender = "l1" };
                        },
                    .lendersOf = [](const auto&) { return std::span<const std::string>(otherLenders); },
                    .send =
                        [this](const auto& host, auto message) {
                            for (const auto& each : message.tokenRequests) {
                                m_queries.push_back(each);
                                m_hosts.push_back(host);
                            }
                        } });
            }
            m_limiter.start(!hasPeers);
        }

        std::shared_ptr<taking_request> take(milliseconds timeout = milliseconds(2'000))
        {
            auto taking = std::make_shared<taking_request>();
            taking->request = std::make_shared<active_request>(m_io, http::request_message());
            taking->request->arrivedAt = steady_clock::now();
            taking->request->callerDeadline = deadlineAfter(timeout);
            taking->request->matchedRoute = &m_route;
            asio::co_spawn(
                m_io,
                [this, taking]() -> asio::awaitable<void> {
                    auto decision = co_await m_limiter.take("a", hundredPerSecond, taking->request);
                    taking->waited = std::chrono::duration_cast<milliseconds>(
                        steady_clock::now() - taking->request->arrivedAt);
                    taking->decision = decision;
                },
                asio::detached);
            run(milliseconds(0));
            return taking;
        }

        void run(milliseconds length)
        {
            m_io.restart();
            m_io.run_for(length + milliseconds(1));
        }

        void answer(std::size_t query, int tokens, milliseconds delay = {}, bool isLending = true)
        {
            accounts::limit_message message;
            message.tokenAnswers.push_back({ "a", m_queries.at(query).number, tokens, delay, isLending });
            m_limiter.handleMessage(m_hosts.at(query), message);
            run(milliseconds(0));
        }

        account_limiter& limiter() { return m_limiter; }
        const std::vector<accounts::token_request>& queries() const { return m_queries; }
        const std::vector<std::string>& hosts() const { return m_hosts; }

    private:
        asio::io_context m_io;
        traffic_counters m_counters;
        account_limiter m_limiter;
        std::vector<accounts::token_request> m_queries;
        std::vector<std::string> m_hosts;
        route m_route;
    };

    bool hasStatus(const taking_request& taking, limit_status status)
    {
        return taking.decision && taking.decision->status == status;
    }

}

TEST_CASE("Requests share a query, are served in their order, and the rest is asked for at once")
{
    limiter_fixture fixture;
    auto first = fixture.take();
    auto second = fixture.take();
    auto third = fixture.take();
    REQUIRE(fixture.queries().size() == 1);
    fixture.answer(0, 2);
    CHECK(hasStatus(*first, limit_status::allowed));
    CHECK(hasStatus(*second, limit_status::allowed));
    CHECK_FALSE(third->decision);
    REQUIRE(fixture.queries().size() == 2);
    CHECK(fixture.queries()[1].limit == hundredPerSecond);
    fixture.answer(1, 0, milliseconds(80));
    REQUIRE(hasStatus(*third, limit_status::overLimit));
    CHECK(third->decision->retryAfter > milliseconds(40));
    CHECK(third->decision->retryAfter <= milliseconds(80));
    auto fourth = fixture.take(); // Refused without a query.
    CHECK(hasStatus(*fourth, limit_status::overLimit));
    CHECK(fixture.queries().size() == 2);
}

TEST_CASE("Without an answer a request is refused after 400 ms, and two VMs were asked")
{
    limiter_fixture fixture;
    auto taking = fixture.take();
    fixture.run(milliseconds(450));
    REQUIRE(hasStatus(*taking, limit_status::noLender));
    CHECK(taking->waited >= milliseconds(400));
    CHECK(taking->decision->retryAfter > milliseconds(0));
    REQUIRE(fixture.hosts().size() >= 4);
    CHECK(fixture.hosts()[0] == "l1");
    CHECK(fixture.hosts()[1] == "l1");
    CHECK(fixture.hosts()[2] == "l2");
}

TEST_CASE("A request stops waiting when its caller leaves, at its deadline, and when a stop begins")
{
    SUBCASE("the caller leaves, and the next one gets its token")
    {
        limiter_fixture fixture;
        auto left = fixture.take();
        auto next = fixture.take();
        left->request->cancel();
        fixture.run(milliseconds(0));
        CHECK(hasStatus(*left, limit_status::cancelled));
        fixture.answer(0, 1);
        CHECK(hasStatus(*next, limit_status::allowed));
    }
    SUBCASE("the caller leaves as the token arrives")
    {
        limiter_fixture fixture;
        auto left = fixture.take();
        left->request->isCancelled = true;
        fixture.answer(0, 1);
        CHECK(hasStatus(*left, limit_status::cancelled));
        auto next = fixture.take();
        CHECK(hasStatus(*next, limit_status::allowed));
        CHECK(fixture.queries().size() == 1);
    }
    SUBCASE("its deadline")
    {
        limiter_fixture fixture;
        auto taking = fixture.take(milliseconds(60));
        fixture.run(milliseconds(120));
        CHECK(hasStatus(*taking, limit_status::noLender));
        CHECK(taking->waited < milliseconds(300));
    }
    SUBCASE("a planned stop")
    {
        limiter_fixture fixture;
        auto taking = fixture.take();
        fixture.limiter().beginStop();
        fixture.run(milliseconds(0));
        CHECK(hasStatus(*taking, limit_status::stopping));
        fixture.answer(0, 1); // Comes too late for it and serves a later one.
        CHECK(hasStatus(*fixture.take(), limit_status::allowed));
    }
}

TEST_CASE("The token of a request that was refused unrun serves another one")
{
    limiter_fixture fixture;
    auto first = fixture.take();
    fixture.answer(0, 1);
    REQUIRE(hasStatus(*first, limit_status::allowed));
    CHECK(account_limiter::isValid(*first->decision));
    auto waiting = fixture.take();
    CHECK_FALSE(waiting->decision);
    fixture.limiter().giveBack("a", *first->decision);
    fixture.run(milliseconds(0));
    CHECK(hasStatus(*waiting, limit_status::allowed));
}

TEST_CASE("A VM without peers lends to itself")
{
    limiter_fixture fixture(false);
    std::this_thread::sleep_for(milliseconds(30)); // Three tokens come in.
    int allowed = 0;
    int limited = 0;
    for (int index = 0; index < 20; ++index) {
        auto taking = fixture.take();
        allowed += hasStatus(*taking, limit_status::allowed) ? 1 : 0;
        limited += hasStatus(*taking, limit_status::overLimit) ? 1 : 0;
    }
    CHECK(allowed >= 2); // The bucket is empty at the start.
    CHECK(allowed + limited == 20);
}

}
