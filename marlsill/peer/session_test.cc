#include "marlsill/peer/session.h"

#include <doctest/doctest.h>

namespace marlsill::peer {

namespace {

    constexpr const char* fleetKey = "test fleet key";

    struct session_pair {
        explicit session_pair(const char* otherKey = fleetKey)
            : connectorSession(session_role::connector, fleetKey, { "aa", "127.0.0.1:1" })
            , acceptorSession(session_role::acceptor, otherKey, { "bb", "127.0.0.1:2" })
        {
        }

        // Runs the handshake and returns whether both ends are open.
        bool completeHandshake()
        {
            reason why;
            auto reply = acceptorSession.receive(connectorSession.start(), why);
            auto confirm = reply ? connectorSession.receive(*reply->reply, why) : std::nullopt;
            auto last = confirm ? acceptorSession.receive(*confirm->reply, why) : std::nullopt;
            return last && connectorSession.isOpen() && acceptorSession.isOpen();
        }

        session connectorSession;
        session acceptorSession;
    };

}

TEST_CASE("a link opens only if both ends hold the same fleet key")
{
    session_pair good;
    REQUIRE(good.completeHandshake());
    CHECK(good.connectorSession.remote().incarnation == "bb");
    CHECK(good.acceptorSession.remote().peerAddress == "127.0.0.1:1");
    session_pair bad("another key here");
    CHECK_FALSE(bad.completeHandshake());
    CHECK_FALSE(bad.acceptorSession.isOpen());
}

TEST_CASE("altered, replayed, reordered, reflected and foreign messages are rejected and leave the link open")
{
    session_pair pair;
    REQUIRE(pair.completeHandshake());
    session_pair other;
    REQUIRE(other.completeHandshake());
    auto first = pair.connectorSession.seal({ 0, false, heartbeat { 1 } });
    auto second = pair.connectorSession.seal({ 0, false, heartbeat { 2 } });
    auto altered = first;
    altered.back() ^= 1;
    reason why;
    struct test_case {
        const char* name;
        std::string payload;
        bool isAccepted;
    };
    const test_case rows[] = {
        { "altered", altered, false },
        { "out of order", second, false },
        { "from another link", other.connectorSession.seal({ 0, false, heartbeat { 1 } }), false },
        { "reflected", pair.acceptorSession.seal({ 0, false, heartbeat { 1 } }), false },
        { "without a tag", "short", false },
        { "genuine", first, true },
        { "replayed", first, false },
        { "genuine after rejected messages", second, true },
    };
    for (const test_case& each : rows) {
        CAPTURE(each.name);
        CHECK(pair.acceptorSession.receive(each.payload, why).has_value() == each.isAccepted);
    }
}

TEST_CASE("a handshake that failed once cannot be completed")
{
    session_pair pair;
    reason why;
    CHECK_FALSE(pair.acceptorSession.receive("garbage", why));
    CHECK_FALSE(pair.acceptorSession.receive(pair.connectorSession.start(), why));
    CHECK_FALSE(pair.acceptorSession.receive(std::string(5000, 'x'), why));
}

}
