#include "marlsill/peer/peer_network.h"

#include <doctest/doctest.h>
#include <thread>

namespace marlsill::peer {

namespace {

    // A network on its own thread that answers questions with its own name.
    class test_peer {
    public:
        explicit test_peer(const std::string& name, const char* key = "key of the fleet")
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
                [this](const session_identity&, bool isUp) { isUp ? ++m_ups : ++m_downs; })
            , m_thread([this](const std::stop_token& stop) { m_network.run(stop); })
        {
        }

        peer_network& network() { return m_network; }
        int messages() const { return m_messages; }
        int ups() const { return m_ups; }
        int downs() const { return m_downs; }

    private:
        std::atomic<int> m_messages = 0;
        std::atomic<int> m_ups = 0;
        std::atomic<int> m_downs = 0;
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

TEST_CASE("questions are answered over links that open when needed")
{
    test_peer one("one");
    test_peer two("two");
    CHECK(askName(one, two) == "two");
    CHECK(askName(two, one) == "one");
    CHECK(askName(one, two) == "two");
}

TEST_CASE("a peer with another key gets no link")
{
    test_peer good("good");
    test_peer bad("bad", "another key here");
    auto limit = deadlineAfter(std::chrono::milliseconds(500));
    CHECK_FALSE(bad.network().ask(good.network().address(), config_head_request {}, limit));
    CHECK(good.messages() == 0);
    CHECK(good.ups() == 0);
}

TEST_CASE("a link that carries nothing in one direction counts as down on both sides")
{
    test_peer one("one");
    test_peer two("two");
    one.network().keepLinks({ two.network().address() });
    REQUIRE(eventually([&] { return one.ups() == 1 && two.ups() == 1; }));
    one.network().setDropFilter([](const std::string&) { return true; });
    CHECK(eventually([&] { return one.downs() >= 1 && two.downs() >= 1; }));
    one.network().setDropFilter({});
    CHECK(eventually([&] { return askName(one, two) == "two"; }));
}

TEST_CASE("a kept link to a peer that is away is opened when it comes")
{
    test_peer one("one");
    std::string address;
    {
        test_peer gone("gone");
        address = gone.network().address();
    }
    one.network().keepLinks({ address });
    CHECK(eventually([&] { return one.downs() >= 1; }));
    CHECK_FALSE(
        one.network().ask(address, config_head_request {}, deadlineAfter(std::chrono::milliseconds(300))));
}

}
