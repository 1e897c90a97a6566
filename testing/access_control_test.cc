// Tests of keys and accounts over loopback: who gets which response, and what reaches upstreams.

#include "testing/gateway_thread.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>
#include <atomic>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;
    using configuration_pointer = std::shared_ptr<const gateway::configuration>;

    constexpr milliseconds retryWindow { 50 };
    constexpr milliseconds objective { 200 }; // Also when a first request is hedged.
    constexpr const char* accountField = "X-Client-Account";
    constexpr const char* northKey = "key-of-north";
    constexpr const char* southKey = "key-of-south";

    struct account_row {
        std::string name;
        std::vector<std::string> keys;
        std::optional<int> priority;
    };
    using account_rows = std::vector<account_row>;

    const account_rows northAndSouth { { "north", { northKey, "second-key-of-north" } },
        { "south", { southKey } } };

    std::shared_ptr<const accounts::account_directory> makeDirectory(const account_rows& rows)
    {
        std::vector<accounts::client_account> list;
        std::vector<accounts::account_key> keys;
        for (const auto& each : rows) {
            for (const auto& key : each.keys) {
                keys.push_back({ accounts::digestOf(key), static_cast<std::uint32_t>(list.size()) });
            }
            list.push_back({ .name = each.name, .priority = each.priority });
        }
        return std::make_shared<const accounts::account_directory>(std::move(list), std::move(keys));
    }

    // Returns a configuration with accounts, or without if there is no list. `openPrefix` needs no key.
    configuration_pointer makeConfiguration(std::uint64_t version, const std::optional<account_rows>& rows,
        const std::string& openPrefix = "/open/")
    {
        std::vector<gateway::route> routes;
        for (const std::string prefix : { "/once/", "/repeat/", "/open/" }) {
            routes.push_back({ .name = prefix,
                .host = "h.example",
                .pathPrefix = prefix,
                .isAtMostOnce = prefix != "/repeat/",
                .timeout = milliseconds(2'500),
                .latencyObjective = objective,
                .maxUpstreams = 2,
                .isPublic = prefix == openPrefix,
                .weightedServices = { { "s" } } });
        }
        return std::make_shared<const gateway::configuration>(
            version, std::move(routes), gateway::caller_limits(), rows ? makeDirectory(*rows) : nullptr);
    }

    // A gateway in front of scripted upstreams of one service.
    class access_fixture {
    public:
        explicit access_fixture(
            const configuration_pointer& config, int upstreams = 1, int slots = 3, milliseconds connect = {})
        {
            gateway::gateway_options options;
            options.forwarding.retryWindow = retryWindow;
            if (connect.count() > 0) {
                options.forwarding.connectTimeout = connect;
            }
            m_vm = std::make_unique<gateway_thread>(options);
            std::vector<placement::upstream_entry> entries;
            for (int index = 0; index < upstreams; ++index) {
                auto id = "u" + std::to_string(index);
                m_upstreams.push_back(std::make_unique<scripted_upstream>(id, gateway::wire_fields()));
                entries.push_back(
                    { .id = id, .service = "s", .address = m_upstreams.back()->address(), .slots = slots });
            }
            start(config, entries);
        }

        // In front of one upstream that is not scripted.
        access_fixture(
            const configuration_pointer& config, const std::string& upstreamAddress, milliseconds connect)
        {
            gateway::gateway_options options;
            options.forwarding.connectTimeout = connect;
            m_vm = std::make_unique<gateway_thread>(options);
            start(config, { { .id = "u0", .service = "s", .address = upstreamAddress, .slots = 3 } });
        }

        void apply(const configuration_pointer& config)
        {
            m_vm->run([&](auto& gateway) { gateway.requestForwarder().setConfiguration(config); });
        }

        void setFreshness(std::function<bool()> check)
        {
            m_vm->run([&](auto& gateway) { gateway.setKeyFreshnessCheck(check); });
        }

        std::string metrics()
        {
            std::string text;
            m_vm->run([&](auto& gateway) { text = gateway.requestForwarder().counters().toText(); });
            return text;
        }

        raw_caller connect() const { return raw_caller(m_vm->address()); }

        raw_answer call(const std::string& method, const std::string& path, const std::string& id,
            const std::string& fields, int timeoutMs = 2'000)
        {
            auto caller = connect();
            caller.sendRequest(method, path, id, timeoutMs, {}, fields);
            return caller.receive();
        }

        scripted_upstream& upstream(std::size_t index = 0) { return *m_upstreams[index]; }

        int runsOf(const std::string& id) const
        {
            int runs = 0;
            for (const auto& each : m_upstreams) {
                runs += each->runsOf(id);
            }
            return runs;
        }

        int arrivals() const
        {
            int sum = 0;
            for (const auto& each : m_upstreams) {
                sum += each->arrivals();
            }
            return sum;
        }

        // Makes the upstream that is asked first do `step`, after it has called `work`. The others answer.
        void planFirst(upstream_step step, const std::function<void()>& work)
        {
            for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
                m_upstreams[index]->plan({ step });
                m_upstreams[index]->setArrivalListener([this, index, work](const auto&) {
                    if (m_hasArrived.exchange(true)) {
                        return;
                    }
                    for (std::size_t other = 0; other < m_upstreams.size(); ++other) {
                        if (other != index) {
                            m_upstreams[other]->plan({});
                        }
                    }
                    work();
                });
            }
        }

    private:
        void start(const configuration_pointer& config, const std::vector<placement::upstream_entry>& entries)
        {
            m_vm->run([&](auto& gateway) {
                gateway.requestForwarder().setConfiguration(config);
                gateway.requestForwarder().changeUpstreams(entries, {});
                gateway.setUpstreamsKnown();
                // A VM may use its share of the retry slack one window after it has begun to serve.
                gateway.requestForwarder().sweep();
            });
            std::this_thread::sleep_for(2 * retryWindow);
        }

        std::atomic<bool> m_hasArrived = false;
        std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
        std::unique_ptr<gateway_thread> m_vm; // Ends before the upstreams.
    };

    std::string bearer(const std::string& key) { return "Authorization: Bearer " + key + "\r\n"; }

    // Returns the values of all fields of a name in a header block, whatever its case.
    std::vector<std::string> valuesOf(const std::string& head, const std::string& field)
    {
        std::vector<std::string> values;
        auto lower = Poco::toLower(head);
        auto name = "\r\n" + Poco::toLower(field) + ":";
        for (auto at = lower.find(name); at != std::string::npos; at = lower.find(name, at + 1)) {
            auto start = at + name.size();
            values.push_back(Poco::trim(head.substr(start, head.find("\r\n", start) - start)));
        }
        return values;
    }

    long counterOf(const std::string& metrics, const std::string& name)
    {
        auto at = metrics.find("\nmarlsill_" + name + " ");
        return at == std::string::npos ? -1 : std::stol(metrics.substr(at + name.size() + 11));
    }

    // That an upstream of one slot is given at once.
    constexpr int requestsInFlight = 2;

    bool awaitArrivals(access_fixture& fleet, int count)
    {
        auto limit = deadlineAfter(milliseconds(2'000));
        while (fleet.arrivals() < count && !hasPassed(limit, steady_clock::now())) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        return fleet.arrivals() >= count;
    }

    // Sends as many requests as an upstream of one slot takes, so that further ones wait.
    std::vector<raw_caller> occupy(access_fixture& fleet, const std::string& fields = {})
    {
        std::vector<raw_caller> callers;
        for (int number = 0; number < requestsInFlight; ++number) {
            callers.push_back(fleet.connect());
            callers.back().sendRequest("GET", fields.empty() ? "/open/b" : "/once/b",
                "b" + std::to_string(number), 2'000, {}, fields);
            CHECK(awaitArrivals(fleet, number + 1));
        }
        return callers;
    }

}

TEST_CASE("A request runs only with a key, and only under the account that holds it")
{
    // Guards against requests under an account that the caller has chosen, and against keys that upstreams
    // see.
    struct row {
        const char* name;
        std::string path;
        std::string fields;
        int status;
        std::vector<std::string> account = {}; // The fields that the upstream gets.
    };
    const std::string ownDigest = accounts::toHex(accounts::digestOf(southKey));
    const row rows[] = {
        { "no key", "/once/a", "", 401 },
        { "a key", "/once/a", bearer(northKey), 200, { "north" } },
        { "another key of the account", "/once/a", bearer("second-key-of-north"), 200, { "north" } },
        { "another account", "/repeat/a", bearer(southKey), 200, { "south" } },
        { "an unknown key", "/once/a", bearer("key-of-nobody"), 401 },
        { "the start of a key", "/once/a", bearer("key-of-nort"), 401 },
        { "a key in other case", "/once/a", bearer("KEY-OF-NORTH"), 401 },
        { "a digest in place of the key", "/once/a", bearer(ownDigest), 401 },
        { "an empty field", "/once/a", "Authorization:\r\n", 401 },
        { "no key after the scheme", "/once/a", "Authorization: Bearer \r\n", 401 },
        { "no scheme", "/once/a", std::string("Authorization: ") + northKey + "\r\n", 401 },
        { "another scheme", "/once/a", std::string("Authorization: Basic ") + northKey + "\r\n", 401 },
        { "no blank", "/once/a", std::string("Authorization: Bearer") + northKey + "\r\n", 401 },
        { "two keys in one field", "/once/a", bearer(std::string(northKey) + "," + southKey), 401 },
        { "the key twice", "/once/a", bearer(northKey) + bearer(northKey), 401 },
        { "two keys", "/once/a", bearer(northKey) + bearer(southKey), 401 },
        { "two keys, one field in other case", "/once/a",
            bearer(northKey) + "AUTHORIZATION: Bearer " + southKey + "\r\n", 401 },
        { "names in other case", "/once/a", std::string("aUTHORIZATION: bEARER   ") + northKey + " \r\n", 200,
            { "north" } },
        { "another account's name", "/once/a", bearer(northKey) + "X-Client-Account: south\r\n", 200,
            { "north" } },
        { "names in other case and number", "/once/a",
            "x-client-ACCOUNT: south\r\n" + bearer(northKey)
                + "X-CLIENT-account: south\r\nx-client-account: east\r\n",
            200, { "north" } },
        { "an account's name without a key", "/once/a", "X-Client-Account: south\r\n", 401 },
        { "the account's field named as of this hop", "/once/a",
            bearer(northKey) + "Connection: X-Client-Account, Authorization\r\n", 200, { "north" } },
        { "the relay's fields without a key", "/once/a",
            "Marlsill-Relay: 10.0.0.9 5 0 0 1\r\nMarlsill-Relay-Account: " + ownDigest + "\r\n", 401 },
        { "the relay's fields and a key", "/once/a",
            bearer(northKey) + "marlsill-relay: 10.0.0.9 5 0 0 1\r\nMARLSILL-RELAY-ACCOUNT: " + ownDigest
                + "\r\nMarlsill-Relay-Account: " + ownDigest + "\r\n",
            200, { "north" } },
        { "public route", "/open/a", "", 200 },
        { "public route and a key", "/open/a", bearer(northKey), 200 },
        { "public route and an unknown key", "/open/a", bearer("key-of-nobody"), 200 },
        { "public route and two keys", "/open/a", bearer(northKey) + "authorization: Bearer x\r\n", 200 },
        { "public route and an account's name", "/open/a",
            "X-Client-Account: south\r\nx-client-account: north\r\n", 200 },
        { "no route comes before no key", "/other/a", "", 404 },
        { "no route comes before an unknown key", "/other/a", bearer("key-of-nobody"), 404 },
    };
    access_fixture fleet(makeConfiguration(5, northAndSouth));
    int number = 0;
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto id = "r" + std::to_string(number++);
        auto answer = fleet.call("GET", each.path, id, each.fields);
        CHECK(answer.status == each.status);
        CHECK(fleet.runsOf(id) == (each.status == 200 ? 1 : 0));
        if (each.status == 401) {
            CHECK(answer.field("WWW-Authenticate") == "Bearer");
            CHECK(answer.field(gateway::wire_fields().requestId) == id);
        }
        CHECK(answer.head.find("key-of") == std::string::npos);
        CHECK(answer.body.find("key-of") == std::string::npos);
        if (each.status != 200) {
            continue;
        }
        auto head = fleet.upstream().lastHead();
        CHECK(valuesOf(head, accountField) == each.account);
        CHECK(valuesOf(head, "Authorization").empty());
        CHECK(Poco::toLower(head).find("marlsill-relay") == std::string::npos);
        CHECK(Poco::toLower(head).find("key-of") == std::string::npos);
        CHECK(head.find(ownDigest) == std::string::npos);
    }
    auto metrics = fleet.metrics();
    CHECK(counterOf(metrics, "keys_missing_total") == 3);
    CHECK(counterOf(metrics, "keys_malformed_total") == 8);
    CHECK(counterOf(metrics, "keys_unknown_total") == 5);
    CHECK(counterOf(metrics, "keys_withdrawn_total") == 0);
    CHECK(counterOf(metrics, R"(account_requests_total{account="north"})") == 7);
    CHECK(counterOf(metrics, R"(account_answered_total{account="north"})") == 7);
    CHECK(counterOf(metrics, R"(account_requests_total{account="south"})") == 1);
    CHECK(metrics.find("key-of") == std::string::npos);
}

TEST_CASE("A key is asked for before the request's own fields are looked at")
{
    // Guards against an order of the checks that tells strangers of the routes' rules.
    access_fixture fleet(makeConfiguration(5, northAndSouth));
    auto field = gateway::wire_fields().timeoutMs + ": soon\r\n";
    struct row {
        std::string fields;
        int status;
    };
    for (const auto& each : { row { field, 401 }, row { field + bearer(northKey), 400 } }) {
        CAPTURE(each.status);
        auto caller = fleet.connect();
        caller.send("GET /once/a HTTP/1.1\r\nHost: h.example\r\n" + each.fields + "\r\n");
        CHECK(caller.receive().status == each.status);
    }
}

TEST_CASE("A response to HEAD without a key has no body")
{
    // Guards against a body that the next response on the connection is misread after.
    access_fixture fleet(makeConfiguration(5, northAndSouth));
    auto caller = fleet.connect();
    caller.send("HEAD /once/a HTTP/1.1\r\nHost: h.example\r\n\r\nGET /open/a HTTP/1.1\r\nHost: h.example\r\n"
                "X-Request-Id: r1\r\nConnection: close\r\n\r\n");
    std::string all;
    while (!caller.isEnded()) {
        auto answer = caller.receive();
        all += answer.head + answer.body;
    }
    CHECK(all.find("HTTP/1.1 401") == 0);
    auto end = all.find("\r\n\r\n");
    REQUIRE(end != std::string::npos);
    CHECK(all.substr(end + 4).find("HTTP/1.1 200") == 0);
}

TEST_CASE("Without accounts nothing that the caller sends is changed")
{
    // Guards against a deployment without accounts whose upstreams check keys themselves.
    access_fixture fleet(makeConfiguration(5, std::nullopt));
    CHECK(fleet.call("GET", "/once/a", "r1", bearer("any") + "X-Client-Account: south\r\n").status == 200);
    auto head = fleet.upstream().lastHead();
    CHECK(head.find("\r\nAuthorization: Bearer any\r\n") != std::string::npos);
    CHECK(head.find("\r\nX-Client-Account: south\r\n") != std::string::npos);
    CHECK(fleet.call("GET", "/once/a", "r2", "").status == 200);
    CHECK(fleet.metrics().find("marlsill_account_") == std::string::npos);
}

TEST_CASE("With an empty list of accounts nobody has a key")
{
    access_fixture fleet(makeConfiguration(5, account_rows()));
    CHECK(fleet.call("GET", "/once/a", "r1", bearer(northKey)).status == 401);
    CHECK(fleet.call("GET", "/open/a", "r2", "").status == 200);
}

TEST_CASE("A request that waits is checked again by the configuration in force when it could be sent")
{
    // Guards against requests that run with a key that was withdrawn while they waited.
    struct row {
        const char* name;
        std::optional<account_rows> before;
        std::string fields;
        std::optional<account_rows> after;
        std::string openPrefix; // Of the later configuration.
        int status;
        std::vector<std::string> account = {};
    };
    const account_rows onlySouth { { "south", { southKey } } };
    const row rows[] = {
        { "the key stays", northAndSouth, bearer(northKey), northAndSouth, "/open/", 200, { "north" } },
        { "the key is withdrawn", northAndSouth, bearer(northKey), onlySouth, "/open/", 401 },
        { "all keys are withdrawn", northAndSouth, bearer(northKey), account_rows(), "/open/", 401 },
        { "another key of the account is withdrawn", northAndSouth, bearer(northKey),
            account_rows { { "north", { northKey } } }, "/open/", 200, { "north" } },
        { "another account gets the key", northAndSouth, bearer(northKey),
            account_rows { { "east", { northKey } } }, "/open/", 200, { "east" } },
        { "accounts go out of force", northAndSouth, bearer(northKey), std::nullopt, "/open/", 200,
            { "north" } },
        { "accounts come into force, with a key", std::nullopt,
            bearer(northKey) + "X-Client-Account: south\r\n", northAndSouth, "/open/", 200, { "north" } },
        { "accounts come into force, without a key", std::nullopt, "X-Client-Account: south\r\n",
            northAndSouth, "/open/", 401 },
        { "accounts come into force for a public route", std::nullopt,
            bearer("any") + "X-Client-Account: south\r\n", northAndSouth, "/once/", 200 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        access_fixture fleet(makeConfiguration(5, each.before), 1, 1);
        fleet.upstream().setWorkTime(milliseconds(500));
        auto earlier = occupy(fleet);
        auto second = fleet.connect();
        auto sentAt = steady_clock::now();
        second.sendRequest("GET", "/once/second", "second", 2'000, {}, each.fields);
        std::this_thread::sleep_for(milliseconds(100));
        CHECK(fleet.arrivals() == requestsInFlight);
        fleet.apply(makeConfiguration(6, each.after, each.openPrefix));
        auto answer = second.receive();
        CHECK(answer.status == each.status);
        CHECK(fleet.runsOf("second") == (each.status == 200 ? 1 : 0));
        if (each.status == 200) {
            auto head = fleet.upstream().lastHead();
            CHECK(valuesOf(head, accountField) == each.account);
            CHECK(valuesOf(head, "Authorization").empty() == (each.after.has_value() || each.before));
            CHECK(head.find("key-of") == std::string::npos);
        } else {
            CHECK(steady_clock::now() - sentAt < milliseconds(400)); // Before there is room.
        }
        for (auto& blocking : earlier) {
            CHECK(blocking.receive().status == 200);
        }
    }
}

TEST_CASE("A request is not sent again once its key was withdrawn")
{
    // Guards against retries and hedges with a key that was withdrawn after the first attempt.
    struct row {
        const char* name;
        upstream_step step; // Of the first upstream that is asked.
        const char* path;
        bool isWithdrawn;
        int status;
        int runs;
        int arrivals;
    };
    const row rows[] = {
        { "refused, key stays", upstream_step::refuse, "/once/a", false, 200, 1, 2 },
        { "refused", upstream_step::refuse, "/once/a", true, 401, 0, 1 },
        { "other upstream", upstream_step::misdirect, "/repeat/a", true, 401, 0, 1 },
        { "error, key stays", upstream_step::error, "/repeat/a", false, 200, 2, 2 },
        { "error", upstream_step::error, "/repeat/a", true, 500, 1, 1 },
        { "reset, key stays", upstream_step::reset, "/repeat/a", false, 200, 2, 2 },
        { "reset", upstream_step::reset, "/repeat/a", true, 502, 1, 1 },
        { "no answer", upstream_step::hang, "/repeat/a", true, 504, 1, 1 },
        { "answered", upstream_step::answer, "/once/a", true, 200, 1, 1 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        access_fixture fleet(makeConfiguration(5, northAndSouth), 2);
        fleet.planFirst(each.step, [&] {
            fleet.apply(makeConfiguration(
                6, each.isWithdrawn ? account_rows { { "south", { southKey } } } : northAndSouth));
        });
        auto caller = fleet.connect();
        caller.sendRequest("GET", each.path, "r1", 1'000, {}, bearer(northKey));
        CHECK(caller.receive().status == each.status);
        CHECK(fleet.runsOf("r1") == each.runs);
        CHECK(fleet.arrivals() == each.arrivals);
        CHECK(counterOf(fleet.metrics(), "keys_withdrawn_total") == (each.status == 401 ? 1 : 0));
    }
}

TEST_CASE("A request is not sent on a connection that opens after its key was withdrawn")
{
    // Guards against a check that is done only before the connect, which may take a while.
    constexpr milliseconds connectTimeout { 3'000 }; // The system repeats a lost connect after a second.
    Poco::Net::ServerSocket listener;
    listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    listener.listen(0);
    // Fills the backlog, so that further connects wait.
    std::vector<Poco::Net::StreamSocket> waiting(3);
    for (auto& each : waiting) {
        each.connectNB(listener.address());
    }
    std::this_thread::sleep_for(milliseconds(50));
    access_fixture fleet(makeConfiguration(5, northAndSouth), listener.address().toString(), connectTimeout);
    auto caller = fleet.connect();
    caller.sendRequest("GET", "/once/a", "r1", 4'000, {}, bearer(northKey));
    std::this_thread::sleep_for(milliseconds(200));
    fleet.apply(makeConfiguration(6, account_rows()));
    std::string received;
    auto limit = deadlineAfter(milliseconds(2'500));
    while (!hasPassed(limit, steady_clock::now())) {
        if (!listener.poll(Poco::Timespan(0, 100'000), Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        auto accepted = listener.acceptConnection();
        char chunk[1'024];
        if (accepted.poll(Poco::Timespan(0, 200'000), Poco::Net::Socket::SELECT_READ)) {
            int count = accepted.receiveBytes(chunk, sizeof chunk);
            received.append(chunk, static_cast<std::size_t>(std::max(0, count)));
        }
    }
    CHECK(received.empty());
    CHECK(caller.receive().status == 401);
}

TEST_CASE("While keys cannot be checked, requests with a key are refused unrun")
{
    // Guards against keys that are acted on by a VM that may have missed their withdrawal.
    struct row {
        const char* name;
        std::string path;
        std::string fields;
        int status;
    };
    const row rows[] = { { "a key", "/once/a", bearer(northKey), 503 }, { "no key", "/once/a", "", 401 },
        { "an unknown key", "/once/a", bearer("key-of-nobody"), 401 },
        { "public route", "/open/a", bearer(northKey), 200 } };
    access_fixture fleet(makeConfiguration(5, northAndSouth));
    fleet.setFreshness([] { return false; });
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto answer = fleet.call("GET", each.path, each.name, each.fields);
        CHECK(answer.status == each.status);
        CHECK(fleet.runsOf(each.name) == (each.status == 200 ? 1 : 0));
        auto retryAfter = answer.field("Retry-After");
        CHECK(retryAfter.empty() == (each.status != 503));
        if (!retryAfter.empty()) {
            CHECK(std::stod(retryAfter) > 0.1);
            CHECK(std::stod(retryAfter) < 1.0);
        }
    }
    CHECK(counterOf(fleet.metrics(), "keys_stale_total") == 1);
    fleet.setFreshness([] { return true; });
    CHECK(fleet.call("GET", "/once/a", "r9", bearer(northKey)).status == 200);
}

TEST_CASE("A request that waits is refused once its key cannot be checked any more")
{
    access_fixture fleet(makeConfiguration(5, northAndSouth), 1, 1);
    auto isFresh = std::make_shared<std::atomic<bool>>(true);
    fleet.setFreshness([isFresh] { return isFresh->load(); });
    fleet.upstream().setWorkTime(milliseconds(600));
    auto earlier = occupy(fleet, bearer(northKey));
    auto second = fleet.connect();
    second.sendRequest("GET", "/once/second", "second", 2'000, {}, bearer(southKey));
    std::this_thread::sleep_for(milliseconds(50));
    *isFresh = false;
    auto changedAt = steady_clock::now();
    auto answer = second.receive();
    CHECK(answer.status == 503);
    CHECK_FALSE(answer.field("Retry-After").empty());
    CHECK(steady_clock::now() - changedAt < milliseconds(400));
    CHECK(fleet.runsOf("second") == 0);
    for (auto& each : earlier) {
        CHECK(each.receive().status == 200); // They had been sent before.
    }
}

TEST_CASE("Requests wait in the order of their accounts' priorities, then of the routes'")
{
    access_fixture fleet(makeConfiguration(5,
                             account_rows { { "low", { "k-low" }, 2 }, { "high", { "k-high" }, 1 },
                                 { "none", { "k-none" }, std::nullopt } }),
        1, 1);
    std::mutex mutex;
    std::vector<std::string> order;
    fleet.upstream().setRunListener([&](const auto& id) {
        std::lock_guard lock(mutex);
        order.push_back(id);
    });
    fleet.upstream().setWorkTime(milliseconds(200));
    auto callers = occupy(fleet, bearer("k-low"));
    fleet.upstream().setWorkTime(milliseconds(50));
    for (const std::string id : { "low", "high", "none" }) {
        callers.push_back(fleet.connect());
        callers.back().sendRequest("GET", "/once/" + id, id, 2'000, {}, bearer("k-" + id));
        std::this_thread::sleep_for(milliseconds(20));
    }
    for (auto& each : callers) {
        CHECK(each.receive().status == 200);
    }
    std::lock_guard lock(mutex);
    CHECK(order == std::vector<std::string> { "b0", "b1", "none", "high", "low" });
}

}
