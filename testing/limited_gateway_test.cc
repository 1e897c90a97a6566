// Tests of a gateway whose accounts are limited, over sockets, with a lender that the test plays. Guards
// against requests that take a token although they should not, tokens that are lost with requests that were
// refused unrun, and refusals without a time.

#include "marlsill/gateway/gateway.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"

#include <Poco/Net/ServerSocket.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <future>
#include <thread>

namespace marlsill::testing {

namespace {

    namespace asio = boost::asio;
    using std::chrono::milliseconds;

    const std::vector<std::string> lenders { "lender" };

    std::string keyOf(const std::string& account) { return "key-of-" + account; }

    unsigned short freePort()
    {
        Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
        return probe.address().port();
    }

    gateway::route routeTo(const std::string& path, const std::string& service, bool isPublic = false)
    {
        gateway::route made { .name = service,
            .host = "h.example",
            .pathPrefix = path,
            .timeout = milliseconds(3'000),
            .weightedServices = { { service } } };
        made.isPublic = isPublic;
        return made;
    }

    std::shared_ptr<const gateway::configuration> makeConfiguration()
    {
        std::vector<gateway::route> routes { routeTo("/once/", "s"), routeTo("/public/", "s", true),
            routeTo("/empty/", "none") };
        auto directory = std::make_shared<const accounts::account_directory>(
            std::vector<accounts::client_account> {
                { .name = "limited", .requestsPerSecond = 10, .burst = 3 }, { .name = "free" } },
            std::vector<accounts::account_key> {
                { accounts::digestOf(keyOf("limited")), 0 }, { accounts::digestOf(keyOf("free")), 1 } });
        return std::make_shared<const gateway::configuration>(
            5, std::move(routes), gateway::caller_limits(), std::move(directory));
    }

    // What the lender answers.
    struct lender_script {
        int tokens = 1;
        milliseconds delay {};
        bool isSilent = false;
    };

    class limited_gateway {
    public:
        explicit limited_gateway(lender_script script)
            : m_upstream("u0", gateway::wire_fields())
            , m_port(freePort())
            , m_gateway(m_io, { .callerEndpoint = { asio::ip::make_address_v4("127.0.0.1"), m_port } }, {})
            , m_limiter(m_io, {}, m_gateway.requestForwarder().counters())
            , m_thread([this] { m_io.run(); })
        {
            run([&] {
                m_limiter.setPeers({ .self = "self",
                    .orderOf =
                        [](const auto&) {
                            return accounts::lender_order { .holders = lenders, .lender = "lender" };
                        },
                    .lendersOf = [](const auto&) { return std::span<const std::string>(lenders); },
                    .send =
                        [this, script](const auto& host, const auto& message) {
                            m_queries += static_cast<int>(message.tokenRequests.size());
                            for (const auto& each : message.tokenRequests) {
                                answer(host, each, script);
                            }
                        } });
                m_limiter.start(false);
                m_gateway.setAccountLimiter(m_limiter);
                m_gateway.requestForwarder().setConfiguration(makeConfiguration());
                std::vector<placement::upstream_entry> upstreams {
                    { .id = "u0", .service = "s", .address = m_upstream.address(), .slots = 3 }
                };
                m_gateway.requestForwarder().changeUpstreams(upstreams, {});
                m_gateway.setUpstreamsKnown();
                REQUIRE_FALSE(m_gateway.start());
            });
        }

        ~limited_gateway()
        {
            m_io.stop();
            m_thread.join();
        }

        raw_answer call(const std::string& path, const std::string& account)
        {
            raw_caller caller("127.0.0.1:" + std::to_string(m_port));
            caller.sendRequest("POST", path + "x", "r" + std::to_string(++m_requests), 2'000, "body",
                "Authorization: Bearer " + keyOf(account) + "\r\n");
            return caller.receive();
        }

        // Serves a request of an account that a peer relays, and returns the status.
        int callRelayed(const std::string& account)
        {
            std::promise<int> status;
            run([&] {
                auto request = std::make_shared<gateway::served_request>();
                auto& head = request->message.head;
                head.setMethod("POST");
                head.setURI("/once/x");
                head.setHost("h.example");
                head.set(gateway::wire_fields().requestId, "relayed");
                head.set("Marlsill-Relay", "10.0.0.9 5 0 1");
                head.set("Authorization", "Bearer " + keyOf(account)); // As an earlier build relays it.
                request->arrivedAt = steady_clock::now();
                asio::co_spawn(
                    m_io,
                    [this, request, &status]() -> asio::awaitable<void> {
                        auto response = co_await m_gateway.serveRelayed(request);
                        status.set_value(response ? response->head.getStatus() : 0);
                    },
                    asio::detached);
            });
            return status.get_future().get();
        }

        template <typename Work> void run(Work work)
        {
            std::promise<void> done;
            asio::post(m_io, [&] {
                work();
                done.set_value();
            });
            done.get_future().wait();
        }

        void beginStop()
        {
            run([&] { m_gateway.beginStop(deadlineAfter(milliseconds(2'000)), [] {}); });
        }

        int queries()
        {
            int count = 0;
            run([&] { count = m_queries; });
            return count;
        }

        scripted_upstream& upstream() { return m_upstream; }

    private:
        void answer(
            const std::string& host, const accounts::token_request& request, const lender_script& script)
        {
            if (script.isSilent) {
                return;
            }
            accounts::limit_message message;
            message.tokenAnswers.push_back(
                { request.account, request.number, script.tokens, script.delay, true });
            asio::post(m_io, [this, host, message] { m_limiter.handleMessage(host, message); });
        }

        scripted_upstream m_upstream;
        const unsigned short m_port;
        asio::io_context m_io { 1 };
        asio::executor_work_guard<asio::io_context::executor_type> m_workGuard = asio::make_work_guard(m_io);
        gateway::gateway m_gateway;
        gateway::account_limiter m_limiter;
        int m_queries = 0;
        int m_requests = 0;
        std::thread m_thread;
    };

}

TEST_CASE("Which requests take a token, and what becomes of those without one")
{
    struct row {
        const char* name;
        lender_script lender;
        std::string path;
        std::string account;
        int status;
        int queries; // At least 2 if the lender is silent.
    };
    const row rows[] = {
        { "with a token", { 1 }, "/once/", "limited", 200, 1 },
        { "no limit", { 1 }, "/once/", "free", 200, 0 },
        { "a public route", { 1 }, "/public/", "limited", 200, 0 },
        { "an unknown key", { 1 }, "/once/", "nobody", 401, 0 },
        { "beyond the limit", { 0, milliseconds(250) }, "/once/", "limited", 429, 1 },
        { "no lender", { .isSilent = true }, "/once/", "limited", 503, 2 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        limited_gateway fleet(each.lender);
        auto answer = fleet.call(each.path, each.account);
        CHECK(answer.status == each.status);
        CHECK((each.lender.isSilent ? fleet.queries() >= each.queries : fleet.queries() == each.queries));
        bool isRefused = each.status == 429 || each.status == 503;
        CHECK((answer.field("Retry-After").find('.') != std::string::npos) == isRefused);
        CHECK(fleet.upstream().arrivals() == (each.status == 200 ? 1 : 0));
        if (each.status == 429) {
            auto seconds = std::stod(answer.field("Retry-After"));
            CHECK(seconds > 0.2);
            CHECK(seconds <= 0.25);
        }
    }
}

TEST_CASE("A request that a peer relays takes no second token")
{
    limited_gateway fleet({ 0, milliseconds(250) });
    CHECK(fleet.callRelayed("limited") == 200);
    CHECK(fleet.queries() == 0);
}

TEST_CASE("The token of a request that is refused unrun serves the next one")
{
    limited_gateway fleet({ 1 });
    auto refused = fleet.call("/empty/", "limited");
    CHECK(refused.status == 503);
    CHECK(fleet.call("/once/", "limited").status == 200);
    CHECK(fleet.queries() == 1);
    CHECK(fleet.call("/once/", "limited").status == 200); // A token that has been used does not come back.
    CHECK(fleet.queries() == 2);
}

TEST_CASE("A planned stop ends the wait for a token at once")
{
    limited_gateway fleet({ .isSilent = true });
    auto sentAt = steady_clock::now();
    auto waiting = std::async(std::launch::async, [&] { return fleet.call("/once/", "limited"); });
    std::this_thread::sleep_for(milliseconds(100));
    fleet.beginStop();
    auto answer = waiting.get();
    CHECK(answer.status == 503);
    CHECK_FALSE(answer.field("Retry-After").empty());
    CHECK(steady_clock::now() - sentAt < milliseconds(300));
}

}
