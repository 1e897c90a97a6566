// Tests that a response is told apart from second copies of earlier ones.

#include "marlsill/gateway/response_match.h"

#include "marlsill/gateway/connection_pool.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace marlsill::gateway {

namespace {

    http::response_message responseWith(int status, const std::string& field, const std::string& value)
    {
        http::response_message response;
        response.head.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
        if (!field.empty()) {
            response.head.set(field, value);
        }
        return response;
    }

}

TEST_CASE("A response that names no request is accepted only where no other can have been")
{
    // Guards against the second copy of an earlier response being delivered to the next caller.
    const wire_fields wire;
    struct row {
        const char* name;
        http::response_message response;
        const char* requestId;
        bool wasReused;
        bool isAccepted;
    };
    const row rows[] = {
        { "its id", responseWith(200, wire.requestId, "r1"), "r1", true, true },
        { "another id", responseWith(200, wire.requestId, "r0"), "r1", true, false },
        { "another id on a new connection", responseWith(200, wire.requestId, "r0"), "r1", false, false },
        { "no id", responseWith(200, "", ""), "r1", false, false },
        { "a refusal without an id", responseWith(503, wire.notRun, "1"), "r1", false, true },
        { "the same on a kept connection", responseWith(503, wire.notRun, "1"), "r1", true, false },
        { "another upstream without an id", responseWith(421, "", ""), "r1", false, true },
        { "the same on a kept connection", responseWith(421, "", ""), "r1", true, false },
        { "no id to a request without one", responseWith(200, "", ""), "", false, true },
        { "an id to a request without one", responseWith(200, wire.requestId, "r0"), "", false, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        CHECK(isResponseTo(each.response, wire, each.requestId, each.wasReused) == each.isAccepted);
    }
}

TEST_CASE("A response that names two requests belongs to neither")
{
    const wire_fields wire;
    struct row {
        const char* name;
        std::vector<std::string> ids;
        bool isAccepted;
    };
    const row rows[] = {
        { "its id twice", { "r1", "r1" }, true },
        { "its id, then another", { "r1", "r0" }, false },
        { "another id, then its own", { "r0", "r1" }, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto response = responseWith(200, relaySendingField, "7");
        for (const auto& id : each.ids) {
            response.head.add(wire.requestId, id);
        }
        CHECK(isResponseTo(response, wire, "r1", false) == each.isAccepted);
        CHECK(isRelayedResponseTo(response, wire, "r1", "7", true) == each.isAccepted);
    }
}

TEST_CASE("A relayed response names its sending, or comes on a new connection from an earlier build")
{
    // Guards against a repeated refusal of a peer, after which a request that runs is sent to another peer.
    const wire_fields wire;
    struct row {
        const char* name;
        const char* sending; // That the response names; empty: none.
        const char* requestId; // That the response names; empty: none.
        bool wasReused;
        bool isAccepted;
    };
    const row rows[] = {
        { "its sending and request", "7", "r1", true, true },
        { "its sending", "7", "", true, true },
        { "its sending and another request", "7", "r0", true, false },
        { "an earlier sending of the same request", "6", "r1", true, false },
        { "the same on a new connection", "6", "r1", false, false },
        { "an earlier build", "", "r1", false, true },
        { "an earlier build that declines", "", "", false, true },
        { "an earlier build and another request", "", "r0", false, false },
        { "no sending on a kept connection", "", "r1", true, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto response = responseWith(421, *each.sending ? relaySendingField : "", each.sending);
        if (*each.requestId) {
            response.head.set(wire.requestId, each.requestId);
        }
        CHECK(isRelayedResponseTo(response, wire, "r1", "7", each.wasReused) == each.isAccepted);
    }
}

}
