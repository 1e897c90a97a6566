#include "marlsill/peer/peer_network.h"

#include <doctest/doctest.h>
#include <thread>

namespace marlsill::peer {

namespace {

    // A network on its own thread that replies to config_head_request with its name.
    class test_peer {
    public:
        explicit test_peer(const std::string& name, const char* key = "test fleet key")
            : m_network(
                { .listen = { "127.0.0.1", 0 },
                    .fleetKey = key,
                    .incarnation = name,
                    .heartbeat = std::chrono::milliseconds(50) },
                [this, name](const session_identity&, const message& received) -> std::optional<message> {
                    ++m_messages;
                    if (std::holds_alternative<config_head_request>(received)) {
                        return config_head_reply { name };
                    }
                    return std::nullopt;
                },
                [this](const session_identity&, bool isUp) { isUp ? ++m_linksUp : ++m_linksDown; })
            , m_thread([this](const std::stop_token& stop) { m_network.run(stop); })
        {
        }

        peer_network& network() { return m_network; }
        int messages() const { return m_messages; }
        int linksUp() const { return m_linksUp; }
        int linksDown() const { return m_linksDown; }

    private:
        std::atomic<int> m_messages = 0;
        std::atomic<int> m_linksUp = 0;
        std::atomic<int> m_linksDown = 0;
        peer_network m_network;
        std::jthread m_thread;
    };

    template <typename Condition> bool eventually(Condition condition)
    {
        auto limit = deadlineAfter(std::chrono::seconds(20));
        while (!condition()) {
            if (hasPassed(limit, steady_clock::now())) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return true;
    }

    std::string askName(test_peer& from, test_peer& to)
    {
        auto reply = from.network().ask(
            to.network().address(), config_head_request {}, deadlineAfter(std::chrono::seconds(10)));
        return reply ? std::get<config_head_reply>(*reply).head : "";
    }

}

TEST_CASE("requests are answered over links that are opened on demand")
{
    test_peer one("one");
    test_peer two("two");
    CHECK(askName(one, two) == "two");
    CHECK(askName(two, one) == "one");
    CHECK(askName(one, two) == "two");
}

TEST_CASE("a peer with another fleet key gets no link")
{
    test_peer good("good");
    test_peer bad("bad", "another key here");
    auto limit = deadlineAfter(std::chrono::milliseconds(500));
    CHECK_FALSE(bad.network().ask(good.network().address(), config_head_request {}, limit));
    CHECK(good.messages() == 0);
    CHECK(good.linksUp() == 0);
}

TEST_CASE("a link that delivers in one direction only is closed on both sides")
{
    test_peer one("one");
    test_peer two("two");
    one.network().keepLinks({ two.network().address() });
    REQUIRE(eventually([&] { return one.linksUp() == 1 && two.linksUp() == 1; }));
    one.network().setDropFilter([](const std::string&) { return true; });
    CHECK(eventually([&] { return one.linksDown() >= 1 && two.linksDown() >= 1; }));
    one.network().setDropFilter({});
    CHECK(eventually([&] { return askName(one, two) == "two"; }));
}

TEST_CASE("a kept link to an unreachable peer reports that it is down and fails requests")
{
    test_peer one("one");
    std::string address;
    {
        test_peer gone("gone");
        address = gone.network().address();
    }
    one.network().keepLinks({ address });
    CHECK(eventually([&] { return one.linksDown() >= 1; }));
    CHECK_FALSE(
        one.network().ask(address, config_head_request {}, deadlineAfter(std::chrono::milliseconds(300))));
}

}
