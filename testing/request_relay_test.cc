// Tests of requests that one VM sends through another.

#include "marlsill/gateway/gateway.h"
#include "marlsill/gateway/response_match.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <charconv>
#include <doctest/doctest.h>
#include <future>
#include <mutex>
#include <optional>
#include <sys/socket.h>
#include <thread>

namespace marlsill::testing {

namespace {

    namespace asio = boost::asio;
    using std::chrono::milliseconds;

    constexpr int serving = 1; // Last number of the host at which the VM serves.
    constexpr int declining = 2;
    constexpr int breaking = 3; // Ends connections without an answer.
    constexpr int missing = 4; // Nobody listens.
    constexpr int repeating = 5; // Declines, and repeats that when the next request has arrived.
    constexpr int repeatingEarlier = 6; // The same, of a build that does not repeat the name of a sending.
    constexpr int invalid = 7; // Answers with status 000.
    constexpr int silent = 8; // Takes a request and never answers.

    std::string hostOf(int number) { return "127.0.0." + std::to_string(number); }

    // With a public route beside the other one, and with accounts if a directory is given.
    std::shared_ptr<const gateway::configuration> makeConfiguration(
        std::shared_ptr<const accounts::account_directory> directory = nullptr, std::uint64_t version = 5)
    {
        std::vector<gateway::route> routes;
        for (const std::string name : { "once", "open" }) {
            routes.push_back({ .name = name,
                .host = "h.example",
                .pathPrefix = "/" + name + "/",
                .timeout = milliseconds(3'000),
                .isPublic = name == "open",
                .weightedServices = { { "s" } } });
        }
        return std::make_shared<const gateway::configuration>(
            version, std::move(routes), gateway::caller_limits(), std::move(directory));
    }

    const accounts::key_digest northKey = accounts::digestOf("key-of-north");
    const accounts::key_digest southKey = accounts::digestOf("key-of-south");

    std::shared_ptr<const accounts::account_directory> northAndSouth()
    {
        return std::make_shared<const accounts::account_directory>(
            std::vector<accounts::client_account> { { .name = "north" }, { .name = "south" } },
            std::vector<accounts::account_key> { { northKey, 0 }, { southKey, 1 } });
    }

    // A peer whose responses are bytes: it declines the first request of a connection. On the next one it
    // sends the same again and then 200.
    class raw_peer {
    public:
        raw_peer(int number, unsigned short port)
            : m_namesSending(number == repeating)
            , m_isInvalid(number == invalid)
            , m_isSilent(number == silent)
            , m_socket(Poco::Net::SocketAddress(hostOf(number), port))
            , m_thread([this] { acceptLoop(); })
        {
        }

        ~raw_peer()
        {
            ::shutdown(m_socket.impl()->sockfd(), SHUT_RDWR);
            {
                std::lock_guard lock(m_mutex);
                if (m_connection) {
                    ::shutdown(m_connection->impl()->sockfd(), SHUT_RDWR);
                }
            }
            m_thread.join();
        }

        int requests() const { return m_requests; }

    private:
        void acceptLoop()
        {
            try {
                while (true) {
                    auto connection = m_socket.acceptConnection();
                    {
                        std::lock_guard lock(m_mutex);
                        m_connection = connection;
                    }
                    serve(connection);
                }
            } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): shut down.
            }
        }

        void serve(Poco::Net::StreamSocket socket)
        {
            std::string buffer;
            std::string earlier;
            char chunk[4096];
            while (true) {
                int count = socket.receiveBytes(chunk, sizeof chunk);
                if (count <= 0) {
                    return;
                }
                buffer.append(chunk, static_cast<std::size_t>(count));
                if (!buffer.ends_with("\r\n\r\nbody")) {
                    continue;
                }
                ++m_requests;
                auto sending = m_namesSending ? fieldLine(buffer, "Marlsill-Relay-Sending") : std::string();
                buffer.clear();
                auto send = [&](const std::string& text) {
                    socket.sendBytes(text.data(), static_cast<int>(text.size()));
                };
                if (m_isSilent) {
                    continue;
                }
                if (m_isInvalid) {
                    send("HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                if (earlier.empty()) {
                    earlier = "HTTP/1.1 421 Declined\r\nMarlsill-Relay-Declined: 1\r\n" + sending
                        + "Content-Length: 0\r\n\r\n";
                    send(earlier);
                    continue;
                }
                send(earlier);
                std::this_thread::sleep_for(milliseconds(50));
                send("HTTP/1.1 200 OK\r\n" + sending + "Content-Length: 2\r\n\r\nok");
            }
        }

        static std::string fieldLine(const std::string& head, const std::string& name)
        {
            auto start = head.find(name + ": ");
            return start == std::string::npos ? std::string()
                                              : head.substr(start, head.find("\r\n", start) + 2 - start);
        }

        const bool m_namesSending;
        const bool m_isInvalid;
        const bool m_isSilent;
        std::atomic<int> m_requests = 0;
        std::mutex m_mutex; // Guards the next member.
        std::optional<Poco::Net::StreamSocket> m_connection;
        Poco::Net::ServerSocket m_socket;
        std::thread m_thread;
    };

    // A VM that takes relayed requests, and its peers, all on one thread and one port of several hosts.
    class relay_fixture {
    public:
        explicit relay_fixture(std::shared_ptr<const gateway::configuration> config = makeConfiguration())
            : m_upstream("u0", gateway::wire_fields())
            , m_port(freePort())
            , m_vm(m_io, { .callerEndpoint = { asio::ip::make_address_v4(hostOf(serving)), 0 } }, {})
            , m_relay(m_io, { .port = m_port }, {})
            , m_config(std::move(config))
        {
            m_vm.requestForwarder().setConfiguration(m_config);
            placement::upstream_entry entry {
                .id = "u0", .service = "s", .address = m_upstream.address(), .slots = 3
            };
            m_vm.requestForwarder().changeUpstreams(std::span(&entry, 1), {});
            m_vm.setUpstreamsKnown();
            addServer(serving, [this](auto request) { return m_vm.serveRelayed(std::move(request)); });
            addServer(declining, [](auto) -> asio::awaitable<std::optional<http::response_message>> {
                co_return gateway::makeDecliningReply("stopping");
            });
            addServer(breaking, [](auto) -> asio::awaitable<std::optional<http::response_message>> {
                co_return std::nullopt;
            });
            m_thread = std::thread([this] { m_io.run(); });
        }

        ~relay_fixture()
        {
            m_io.stop();
            m_thread.join();
        }

        scripted_upstream& upstream() { return m_upstream; }
        unsigned short port() const { return m_port; }
        std::string address() const { return hostOf(serving) + ":" + std::to_string(m_port); }

        void setFreshness(std::function<bool()> check)
        {
            std::promise<void> done;
            asio::post(m_io, [&] {
                m_vm.setKeyFreshnessCheck(check);
                done.set_value();
            });
            done.get_future().wait();
        }

        // Begins a planned stop of the VM that serves.
        void beginStop()
        {
            std::promise<void> done;
            asio::post(m_io, [&] {
                m_vm.setRelayServer(*m_servers.front());
                m_vm.beginStop(deadlineAfter(milliseconds(5'000)), [] {});
                done.set_value();
            });
            done.get_future().wait();
        }

        // Returns how many connections are open to the peer that serves.
        std::size_t openConnections()
        {
            std::promise<std::size_t> count;
            asio::post(m_io, [&] { count.set_value(m_servers.front()->connections()); });
            return count.get_future().get();
        }

        // Relays a request through the first of some hosts that takes it, under an account if there is a key.
        gateway::relay_outcome relay(const std::vector<int>& hosts, const std::string& id,
            const std::optional<accounts::key_digest>& key = {}, const std::string& account = {})
        {
            http::request_message message;
            message.head.setMethod("POST");
            message.head.setVersion("HTTP/1.1");
            message.head.setHost("h.example");
            message.head.setURI("/once/a");
            message.head.set(gateway::wire_fields().requestId, id);
            if (!account.empty()) {
                message.head.set(gateway::wire_fields().clientAccount, account);
            }
            message.body = "body";
            auto current = std::make_shared<gateway::active_request>(m_io, std::move(message));
            current->id = id;
            current->caller
                = gateway::callerOf(current->request, gateway::wire_fields().clientAccount, "10.0.0.9");
            current->keyDigest = key;
            current->effectiveDeadline = deadlineAfter(milliseconds(2'000));
            current->config = m_config;
            std::vector<std::string> peers;
            for (int each : hosts) {
                peers.push_back(hostOf(each));
            }
            return asio::co_spawn(m_io, m_relay.send(current, std::move(peers)), asio::use_future).get();
        }

    private:
        static unsigned short freePort()
        {
            Poco::Net::ServerSocket probe(Poco::Net::SocketAddress(hostOf(serving), 0));
            return probe.address().port();
        }

        void addServer(int number, gateway::serve_function serve)
        {
            m_servers.push_back(std::make_unique<gateway::session_server>(m_io,
                gateway::session_server_options {
                    .endpoint = { asio::ip::make_address_v4(hostOf(number)), m_port },
                    .limits = [] { return gateway::caller_limits(); },
                    .repeatedField = gateway::relaySendingField },
                std::move(serve)));
            REQUIRE_FALSE(m_servers.back()->start());
        }

        scripted_upstream m_upstream;
        const unsigned short m_port;
        asio::io_context m_io { 1 };
        asio::executor_work_guard<asio::io_context::executor_type> m_workGuard = asio::make_work_guard(m_io);
        gateway::gateway m_vm;
        gateway::request_relay m_relay;
        std::shared_ptr<const gateway::configuration> m_config;
        std::vector<std::unique_ptr<gateway::session_server>> m_servers;
        std::thread m_thread;
    };

    std::string relayedRequest(
        const std::string& relayField, const std::string& id, const std::string& path = "/once/a")
    {
        gateway::wire_fields fields;
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + fields.requestId + ": " + id + "\r\n"
            + fields.timeoutMs + ": 1000\r\n" + relayField + "Content-Length: 4\r\n\r\nbody";
    }

}

TEST_CASE("A relayed request goes to another peer only if the one before has not taken it")
{
    struct row {
        const char* name;
        std::vector<int> peers;
        gateway::relay_status status;
        int runs;
    };
    const row rows[] = {
        { "serves", { serving }, gateway::relay_status::answered, 1 },
        { "declines, then serves", { declining, serving }, gateway::relay_status::answered, 1 },
        { "cannot be reached, then serves", { missing, serving }, gateway::relay_status::answered, 1 },
        { "no answer", { breaking, serving }, gateway::relay_status::unknown, 0 },
        { "all decline", { declining, declining }, gateway::relay_status::notSent, 0 },
        { "too many decline", { declining, declining, declining, serving }, gateway::relay_status::notSent,
            0 },
    };
    relay_fixture fleet;
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto outcome = fleet.relay(each.peers, each.name);
        CHECK(outcome.status == each.status);
        CHECK(fleet.upstream().runsOf(each.name) == each.runs);
        if (each.status == gateway::relay_status::answered) {
            CHECK(outcome.response.head.getStatus() == 200);
            CHECK(outcome.response.head.has(gateway::wire_fields().seal));
        }
    }
}

TEST_CASE("A response that a peer repeats is not taken for the answer to a later relayed request")
{
    // Guards against a repeated refusal, after which a request that runs at one peer is sent to another.
    relay_fixture fleet;
    for (int peer : { repeating, repeatingEarlier }) {
        CAPTURE(peer);
        raw_peer repeater(peer, fleet.port());
        auto id = "first" + std::to_string(peer);
        CHECK(fleet.relay({ peer, serving }, id).status == gateway::relay_status::answered);
        CHECK(fleet.upstream().runsOf(id) == 1);
        id = "second" + std::to_string(peer);
        auto outcome = fleet.relay({ peer, serving }, id);
        CHECK(outcome.status == gateway::relay_status::answered);
        CHECK(repeater.requests() == 2);
        // The peer answers with 200 on a kept connection, and declines on a new one.
        CHECK(outcome.response.body.size() == (peer == repeating ? 2 : 14));
        CHECK(fleet.upstream().runsOf(id) == (peer == repeating ? 0 : 1));
        CHECK_FALSE(outcome.response.head.has(gateway::relaySendingField));
    }
}

TEST_CASE("A kept connection to a peer that names sendings carries further requests")
{
    // Guards against a new connection for each relayed request, which a VM that is cut off cannot afford.
    relay_fixture fleet;
    for (int round = 0; round < 5; ++round) {
        auto outcome = fleet.relay({ serving }, "r" + std::to_string(round));
        CHECK(outcome.status == gateway::relay_status::answered);
        CHECK_FALSE(outcome.response.head.has(gateway::relaySendingField));
    }
    CHECK(fleet.upstream().lastHead().find("Marlsill-Relay") == std::string::npos);
    CHECK(fleet.openConnections() == 1);
}

TEST_CASE("A peer that stops does not close kept connections, whose next request it declines")
{
    // Guards against a close that crosses a relayed request, which then counts as one that may have run.
    relay_fixture fleet;
    CHECK(fleet.relay({ serving }, "before").status == gateway::relay_status::answered);
    fleet.beginStop();
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(fleet.openConnections() == 1);
    CHECK(fleet.relay({ serving, declining }, "during").status == gateway::relay_status::notSent);
    CHECK(fleet.upstream().runsOf("during") == 0);
}

TEST_CASE("A response with a status that is none is not taken from a peer, nor one of an upstream from there")
{
    // Guards against status 000 reaching the caller of a VM that is cut off.
    relay_fixture fleet;
    for (const std::string line : { "HTTP/1.1 000 None", "HTTP/1.1 999 X", "HTTP/1.1 600 X" }) {
        CAPTURE(line);
        fleet.upstream().setStatusLine(line);
        fleet.upstream().plan(std::vector(4, upstream_step::oddStatus));
        auto outcome = fleet.relay({ serving }, line);
        CHECK(outcome.status == gateway::relay_status::answered);
        CHECK(outcome.response.head.getStatus() == 502);
    }
    fleet.upstream().plan({});
    raw_peer peer(invalid, fleet.port());
    CHECK(fleet.relay({ invalid, serving }, "odd").status == gateway::relay_status::unknown);
    CHECK(fleet.upstream().runsOf("odd") == 0);
}

TEST_CASE("A relayed request at a peer that falls silent is neither sent to another nor reported as not run")
{
    // Guards against work that still runs at a slow VM being started again elsewhere.
    relay_fixture fleet;
    raw_peer peer(silent, fleet.port());
    auto outcome = fleet.relay({ silent, serving }, "r1");
    CHECK(peer.requests() == 1);
    CHECK(outcome.status == gateway::relay_status::unknown);
    CHECK(fleet.upstream().runsOf("r1") == 0);
}

TEST_CASE("A statement in an upstream's response is not taken for the peer's decline")
{
    // Guards against a request that has run being sent to another peer.
    relay_fixture fleet;
    fleet.upstream().setStatusLine("HTTP/1.1 200 OK\r\nMarlsill-Relay-Declined: 1");
    fleet.upstream().plan({ upstream_step::oddStatus });
    auto outcome = fleet.relay({ serving, serving }, "r1");
    CHECK(outcome.status == gateway::relay_status::answered);
    CHECK(fleet.upstream().runsOf("r1") == 1);
}

TEST_CASE("A VM takes relayed requests only from whom its configuration is no older than")
{
    struct row {
        const char* name;
        const char* field;
        int status;
    };
    const row rows[] = {
        { "the same configuration", "Marlsill-Relay: 10.0.0.9 5 0 0\r\n", 200 },
        { "an older one", "Marlsill-Relay: 10.0.0.9 4 0 0\r\n", 200 },
        { "a newer one", "Marlsill-Relay: 10.0.0.9 6 0 0\r\n", 421 },
        { "no field", "", 421 },
        { "a malformed field", "Marlsill-Relay: 10.0.0.9 x\r\n", 421 },
        { "negative arrivals", "Marlsill-Relay: 10.0.0.9 5 -1 0\r\n", 421 },
    };
    relay_fixture fleet;
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        raw_caller peer(fleet.address());
        peer.send(relayedRequest(each.field, each.name));
        CHECK(peer.receive().status == each.status);
        CHECK(fleet.upstream().runsOf(each.name) == (each.status == 200 ? 1 : 0));
    }
    auto head = fleet.upstream().lastHead();
    CHECK(head.find("Marlsill-Relay") == std::string::npos);
    auto timeoutAt = head.find(gateway::wire_fields().timeoutMs + ": ");
    REQUIRE(timeoutAt != std::string::npos);
    auto digits = head.substr(timeoutAt + gateway::wire_fields().timeoutMs.size() + 2);
    int timeoutMs = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), timeoutMs);
    CHECK(timeoutMs > 500);
    CHECK(timeoutMs <= 1'000);
}

TEST_CASE("A relayed request runs under the account of the key that its sender has checked")
{
    // Guards against digests that a caller has slipped in, through a VM of an earlier build that passes the
    // field on unread, and against keys that nobody has checked.
    struct row {
        const char* name;
        std::string fields;
        int status;
        std::string account = {}; // That the upstream gets.
        std::string path = "/once/a";
    };
    const std::string plain = "Marlsill-Relay: 10.0.0.9 5 0 0\r\n"; // As builds without accounts send it.
    const std::string vouched = "Marlsill-Relay: 10.0.0.9 5 0 0 1\r\n";
    const auto north = "Marlsill-Relay-Account: " + accounts::toHex(northKey) + "\r\n";
    const auto withdrawn
        = "Marlsill-Relay-Account: " + accounts::toHex(accounts::digestOf("key-of-east")) + "\r\n";
    const std::string key = "Authorization: Bearer key-of-south\r\n";
    const std::string forged = "X-Client-Account: south\r\n";
    const row rows[] = {
        { "a digest", vouched + north, 200, "north" },
        { "a digest and the account's name", vouched + north + "X-Client-Account: north\r\n", 200, "north" },
        { "a digest and another name", vouched + north + forged, 200, "north" },
        { "a digest that this VM does not know", vouched + withdrawn + "X-Client-Account: east\r\n", 401 },
        { "vouched for, but no digest", vouched, 421 },
        { "vouched for, but a malformed digest", vouched + "Marlsill-Relay-Account: north\r\n", 421 },
        { "a digest, not vouched for", plain + north, 401 },
        { "a digest, not vouched for, and a key", plain + north + key, 200, "south" },
        { "an earlier build: a key", plain + key, 200, "south" },
        { "an earlier build: a key and a name", plain + key + "X-Client-Account: north\r\n", 200, "south" },
        { "an earlier build: an unknown key", plain + "Authorization: Bearer x\r\n", 401 },
        { "an earlier build: no key", plain + forged, 401 },
        { "a public route", plain, 200, "", "/open/a" },
        { "a public route and all fields", vouched + north + key + forged, 200, "", "/open/a" },
    };
    relay_fixture fleet(makeConfiguration(northAndSouth()));
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        raw_caller peer(fleet.address());
        peer.send(relayedRequest(each.fields, each.name, each.path));
        CHECK(peer.receive().status == each.status);
        CHECK(fleet.upstream().runsOf(each.name) == (each.status == 200 ? 1 : 0));
        if (each.status != 200) {
            continue;
        }
        auto head = fleet.upstream().lastHead();
        auto account = each.account.empty() ? "" : "\r\nX-Client-Account: " + each.account + "\r\n";
        CHECK((account.empty() || head.find(account) != std::string::npos));
        auto at = head.find("X-Client-Account");
        CHECK((at == std::string::npos) == account.empty());
        CHECK((account.empty() || head.find("X-Client-Account", at + 1) == std::string::npos));
        for (const char* text : { "Marlsill-Relay", "Authorization", "key-of" }) {
            CHECK(head.find(text) == std::string::npos);
        }
        CHECK(head.find(accounts::toHex(northKey)) == std::string::npos);
    }
}

TEST_CASE("A VM that cannot check keys declines relayed requests with a key")
{
    // Guards against a refusal where another peer could have served the request.
    relay_fixture fleet(makeConfiguration(northAndSouth()));
    fleet.setFreshness([] { return false; });
    struct row {
        const char* name;
        std::string fields;
        std::string path;
        int status;
    };
    const auto digest
        = "Marlsill-Relay: 10.0.0.9 5 0 0 1\r\nMarlsill-Relay-Account: " + accounts::toHex(northKey) + "\r\n";
    const row rows[] = { { "a digest", digest, "/once/a", 421 },
        { "an earlier build", "Marlsill-Relay: 10.0.0.9 5 0 0\r\nAuthorization: Bearer key-of-north\r\n",
            "/once/a", 503 },
        { "public", "Marlsill-Relay: 10.0.0.9 5 0 0\r\n", "/open/a", 200 } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        raw_caller peer(fleet.address());
        peer.send(relayedRequest(each.fields, each.name, each.path));
        CHECK(peer.receive().status == each.status);
        CHECK(fleet.upstream().runsOf(each.name) == (each.status == 200 ? 1 : 0));
    }
}

TEST_CASE("What a VM relays under an account is served under it by its peer")
{
    struct row {
        const char* name;
        std::optional<accounts::key_digest> key;
        std::string account;
        bool hasAccounts; // Of the peer.
        int status;
    };
    const row rows[] = {
        { "a known key", northKey, "north", true, 200 },
        { "a key that the peer does not know", accounts::digestOf("key-of-east"), "east", true, 401 },
        { "a peer without accounts", northKey, "north", false, 200 },
        // Guards against names that cannot be told from the next part of the relay's field.
        { "an account that the caller states, without accounts", std::nullopt, "north west", false, 200 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        relay_fixture fleet(makeConfiguration(each.hasAccounts ? northAndSouth() : nullptr));
        auto outcome = fleet.relay({ serving }, each.name, each.key, each.account);
        CHECK(outcome.status == gateway::relay_status::answered);
        CHECK(outcome.response.head.getStatus() == each.status);
        CHECK(fleet.upstream().runsOf(each.name) == (each.status == 200 ? 1 : 0));
        if (each.status == 200) {
            auto head = fleet.upstream().lastHead();
            CHECK(head.find("\r\nX-Client-Account: " + each.account + "\r\n") != std::string::npos);
            CHECK(head.find("Marlsill-Relay") == std::string::npos);
        }
    }
}

TEST_CASE("A relayed request whose sender leaves is cancelled at the upstream")
{
    relay_fixture fleet;
    fleet.upstream().plan({ upstream_step::hang });
    {
        raw_caller peer(fleet.address());
        peer.send(relayedRequest("Marlsill-Relay: 10.0.0.9 5 0 0\r\n", "r1"));
        std::this_thread::sleep_for(milliseconds(200));
        CHECK(fleet.upstream().runsOf("r1") == 1);
    }
    auto until = deadlineAfter(milliseconds(500));
    while (!fleet.upstream().sawCancel() && !hasPassed(until, steady_clock::now())) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(fleet.upstream().sawCancel());
}

}
