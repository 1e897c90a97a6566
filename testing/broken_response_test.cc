// Tests that a broken response is taken for a response nowhere: neither from an upstream, directly or through
// a peer, nor from a peer itself, nor from the platform's store.

#include "marlsill/gateway/endpoint.h"
#include "marlsill/gateway/gateway.h"
#include "marlsill/gateway/request_relay.h"
#include "marlsill/gateway/response_match.h"
#include "platform/store_client.h"
#include "testing/raw_caller.h"
#include "testing/raw_upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <future>
#include <list>
#include <thread>
#include <unistd.h>
#include <vector>

namespace marlsill::testing {

namespace {

    namespace asio = boost::asio;
    using std::chrono::milliseconds;

    constexpr std::size_t longUpload = 6 * 1024 * 1024; // Bytes; more than the buffers of two sockets hold.
    constexpr std::size_t maxUpload = 8 * 1024 * 1024;
    constexpr int maxSimultaneous = 200; // Requests at one upstream.
    const std::string body = "{} the whole body";

    // The places that read responses of other processes.
    enum class response_reader {
        direct, // A VM that forwards a caller's request to an upstream.
        relayed, // The same, for a peer.
        fromPeer, // A VM that relays a request to a peer.
        store,
    };

    constexpr response_reader allReaders[] = { response_reader::direct, response_reader::relayed,
        response_reader::fromPeer, response_reader::store };

    // What became of one response.
    enum class reading {
        taken, // Whole and unchanged.
        takenAltered, // As a success, with another body.
        rejected,
    };

    // All readers of responses, each before a server that sends the same response.
    class reader_fixture {
    public:
        explicit reader_fixture(const raw_response& response)
            : m_server(response)
            , m_relayPort(freePort())
            , m_peer(response, Poco::Net::SocketAddress(peerHost, m_relayPort))
            , m_callerPort(freePort())
            , m_vm(m_io, { .callerEndpoint = { asio::ip::make_address_v4(servingHost), m_callerPort } }, {})
            , m_relayServer(m_io,
                  { .endpoint = { asio::ip::make_address_v4(servingHost), m_relayPort },
                      .limits = [] { return limits(); },
                      .buffers = &m_vm.callerBuffers(),
                      .repeatedField = gateway::relaySendingField },
                  [this](auto request) { return m_vm.serveRelayed(std::move(request)); })
            , m_relay(
                  m_io, { .port = m_relayPort, .buffers = &m_vm.requestForwarder().responseBuffers() }, {})
            , m_store(m_io, *gateway::parseEndpoint(m_server.address()))
        {
            std::vector<gateway::route> routes;
            routes.push_back({ .name = "once",
                .host = "h.example",
                .pathPrefix = "/once/",
                .isAtMostOnce = true,
                .timeout = milliseconds(3'000),
                .weightedServices = { { "s" } } });
            m_config = std::make_shared<const gateway::configuration>(1, std::move(routes), limits());
            placement::upstream_entry entry {
                .id = "u0", .service = "s", .address = m_server.address(), .slots = maxSimultaneous
            };
            m_vm.requestForwarder().setConfiguration(m_config);
            m_vm.requestForwarder().changeUpstreams(std::span(&entry, 1), {});
            m_vm.setUpstreamsKnown();
            REQUIRE_FALSE(m_vm.start());
            REQUIRE_FALSE(m_relayServer.start());
            m_thread = std::thread([this] { m_io.run(); });
        }

        ~reader_fixture()
        {
            m_io.stop();
            m_thread.join();
        }

        // Sends a request with a body and returns what became of the response to it.
        reading read(response_reader reader, const std::string& requestBody)
        {
            switch (reader) {
            case response_reader::direct:
                return readDirectly(requestBody);
            case response_reader::relayed:
                return readRelayed(servingHost, requestBody);
            case response_reader::fromPeer:
                return readRelayed(peerHost, requestBody);
            case response_reader::store:
                return readFromStore(requestBody);
            }
            return reading::rejected;
        }

        // Starts to relay a request to a peer, without waiting for the response.
        std::future<gateway::relay_outcome> startRelaying(
            const std::string& host, const std::string& requestBody)
        {
            http::request_message message;
            message.head.setMethod("POST");
            message.head.setVersion("HTTP/1.1");
            message.head.setHost("h.example");
            message.head.setURI("/once/a");
            message.head.set(gateway::wire_fields().requestId, "r1");
            message.body = requestBody;
            auto current = std::make_shared<gateway::active_request>(m_io, std::move(message));
            current->id = "r1";
            current->caller = "10.0.0.9";
            current->effectiveDeadline = deadlineAfter(milliseconds(3'000));
            current->config = m_config;
            return asio::co_spawn(m_io, m_relay.send(current, std::vector { host }), asio::use_future);
        }

        std::string callerAddress() const
        {
            return std::string(servingHost) + ":" + std::to_string(m_callerPort);
        }

        // Returns how many requests the server of a reader's responses has got.
        int requests(response_reader reader) const
        {
            return reader == response_reader::fromPeer ? m_peer.requests() : m_server.requests();
        }

        static constexpr const char* servingHost = "127.0.0.1";
        static constexpr const char* peerHost = "127.0.0.2";

    private:
        static unsigned short freePort()
        {
            Poco::Net::ServerSocket probe(Poco::Net::SocketAddress(servingHost, 0));
            return probe.address().port();
        }

        static gateway::caller_limits limits() { return { .maxBodyBytes = maxUpload }; }

        static reading readingOf(const std::string& received)
        {
            return received == body ? reading::taken : reading::takenAltered;
        }

        reading readDirectly(const std::string& requestBody)
        {
            raw_caller caller(callerAddress());
            caller.sendRequest("POST", "/once/a", "r1", 3'000, requestBody);
            auto received = caller.receive();
            CHECK((received.status == 200 || received.status == 502));
            return received.status == 200 && received.isWhole ? readingOf(received.body) : reading::rejected;
        }

        reading readRelayed(const std::string& host, const std::string& requestBody)
        {
            auto outcome = startRelaying(host, requestBody).get();
            if (outcome.status != gateway::relay_status::answered) {
                CHECK(outcome.status == gateway::relay_status::unknown);
                return reading::rejected;
            }
            int status = outcome.response.head.getStatus();
            CHECK((status == 200 || (status == 502 && host == servingHost)));
            return status == 200 ? readingOf(outcome.response.body) : reading::rejected;
        }

        // The store's response is taken if the call succeeds.
        reading readFromStore(const std::string& requestBody)
        {
            reason why;
            auto version = asio::co_spawn(m_io,
                m_store.put("kind", "name", requestBody, deadlineAfter(milliseconds(3'000)), why),
                asio::use_future)
                               .get();
            return version ? reading::taken : reading::rejected;
        }

        raw_upstream m_server; // The upstream, and the store.
        const unsigned short m_relayPort;
        raw_upstream m_peer;
        const unsigned short m_callerPort;
        asio::io_context m_io { 1 };
        asio::executor_work_guard<asio::io_context::executor_type> m_workGuard = asio::make_work_guard(m_io);
        gateway::gateway m_vm;
        gateway::session_server m_relayServer;
        gateway::request_relay m_relay;
        platform_adapter::store_client m_store;
        std::shared_ptr<const gateway::configuration> m_config;
        std::thread m_thread;
    };

    // Returns how much memory of this process is resident.
    std::size_t residentBytes()
    {
        std::ifstream file("/proc/self/statm"); // In pages: in all, resident.
        std::size_t all = 0;
        std::size_t resident = 0;
        file >> all >> resident;
        return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }

    // Returns a response head without its end; `fields` are whole lines.
    std::string headWith(const std::string& fields, const std::string& statusLine = "HTTP/1.1 200 OK")
    {
        gateway::wire_fields wire;
        return statusLine + "\r\n" + wire.requestId + ": {id}\r\n" + wire.seal + ": seal\r\n" + fields;
    }

    std::string withLength(const std::string& fields = {})
    {
        return headWith(fields + "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
    }

}

TEST_CASE("A response without a length is taken only if its connection ended in an orderly way")
{
    // Guards against a part of a response that is taken for all of it, as the reset of the connection was
    // reported to the sending of the request body, and the reading only saw that the connection had ended.
    struct row {
        const char* name;
        connection_end end;
        std::size_t sentBytes; // Of the body.
        bool isWhole;
    };
    const row rows[] = {
        { "closed", connection_end::finish, body.size(), true },
        { "closed, and reset as the request goes on", connection_end::finishThenReset, body.size(), true },
        { "reset after a part", connection_end::reset, 2, false },
        { "reset before the body", connection_end::reset, 0, false },
        { "reset after all bytes", connection_end::reset, body.size(), false },
    };
    for (const auto& each : rows) {
        for (std::size_t uploadBytes : { std::size_t(100), longUpload }) {
            for (bool readsBody : { true, false }) {
                raw_response response { .bytes = headWith("") + "\r\n" + body.substr(0, each.sentBytes),
                    .end = each.end,
                    .readsBody = readsBody };
                reader_fixture fixture(response);
                for (auto reader : allReaders) {
                    CAPTURE(std::string(each.name));
                    CAPTURE(uploadBytes);
                    CAPTURE(readsBody);
                    CAPTURE(static_cast<int>(reader));
                    auto outcome = fixture.read(reader, std::string(uploadBytes, 'b'));
                    CHECK(outcome == (each.isWhole ? reading::taken : reading::rejected));
                    CHECK(fixture.requests(reader) > 0);
                }
            }
        }
    }
}

TEST_CASE("A response whose head is malformed is taken nowhere")
{
    // Guards against a status that is none, and against a field that is passed on or that frames the body in
    // one reading of the head only.
    struct row {
        const char* name;
        std::string bytes;
        bool isValid = false;
    };
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    auto withStatusLine = [&](const std::string& line) { return headWith(length, line) + "\r\n" + body; };
    const row rows[] = {
        { "well formed", withLength("X-Note: a b\tc\r\n"), true },
        { "an empty value", withLength("X-Note:\r\n"), true },
        { "status 000", withStatusLine("HTTP/1.1 000 None") },
        { "status 099", withStatusLine("HTTP/1.1 099 X") },
        { "status 600", withStatusLine("HTTP/1.1 600 X") },
        { "status 999", withStatusLine("HTTP/1.1 999 X") },
        { "status of two digits", withStatusLine("HTTP/1.1 20 X") },
        { "status with a sign", withStatusLine("HTTP/1.1 +20 X") },
        { "a control byte in the status line", withStatusLine("HTTP/1.1 200 O\x01K") },
        { "another protocol", withStatusLine("ICY 200 OK") },
        { "a blank in a name", withLength("X Note: a\r\n") },
        { "a blank after a name", withLength("X-Note : a\r\n") },
        { "a tab after a name", withLength("X-Note\t: a\r\n") },
        { "a control byte in a name", withLength("X-\x01Note: a\r\n") },
        { "a null byte in a name", withLength(std::string("X-\0Note: a\r\n", 12)) },
        { "a carriage return in a name", withLength("X-\rNote: a\r\n") },
        { "a delete in a name", withLength("X-\x7FNote: a\r\n") },
        { "a byte beyond ASCII in a name", withLength("X-N\xC3\xB6te: a\r\n") },
        { "no name", withLength(": a\r\n") },
        { "no colon", withLength("X-Note\r\n") },
        { "a folded line", withLength("X-Note: a\r\n b\r\n") },
        { "a control byte in a value", withLength("X-Note: a\x02z\r\n") },
        { "a carriage return in a value", withLength("X-Note: a\rb\r\n") },
        { "a bare line feed", withLength("X-Note: a\nX-Other: b\r\n") },
        { "a blank after Content-Length", headWith("Content-Length : 2\r\n" + length) + "\r\n" + body },
        { "a blank after Transfer-Encoding",
            headWith("Transfer-Encoding : chunked\r\n" + length) + "\r\n" + body },
        { "a control byte in Transfer-Encoding",
            headWith("Transfer-Encoding\x0B: chunked\r\n" + length) + "\r\n" + body },
        { "two lengths", headWith("Content-Length: 2\r\n" + length) + "\r\n" + body },
        { "a length in two fields", headWith(length + length) + "\r\n" + body },
        { "a list of lengths",
            headWith("Content-Length: " + std::to_string(body.size()) + ", 2\r\n") + "\r\n" + body },
        { "a length with a sign",
            headWith("Content-Length: +" + std::to_string(body.size()) + "\r\n") + "\r\n" + body },
        { "a length and chunks",
            headWith("Transfer-Encoding: chunked\r\n" + length) + "\r\n2\r\n{}\r\n0\r\n\r\n" },
        { "an unknown transfer coding", headWith("Transfer-Encoding: gzip, chunked\r\n") + "\r\n" + body },
        { "chunks in HTTP/1.0",
            headWith("Transfer-Encoding: chunked\r\n", "HTTP/1.0 200 OK") + "\r\n2\r\n{}\r\n0\r\n\r\n" },
    };
    for (const auto& each : rows) {
        reader_fixture fixture({ .bytes = each.bytes, .end = connection_end::finish });
        for (auto reader : allReaders) {
            CAPTURE(std::string(each.name));
            CAPTURE(static_cast<int>(reader));
            CHECK(fixture.read(reader, "b") == (each.isValid ? reading::taken : reading::rejected));
            CHECK(fixture.requests(reader) > 0);
        }
    }
}

TEST_CASE("A chunked response is taken only if each of its lines is well formed")
{
    // Guards against chunk sizes and trailers that two readers take for different bodies.
    struct row {
        const char* name;
        std::string chunks;
        bool isValid = false;
    };
    char size[8];
    std::snprintf(size, sizeof size, "%zx", body.size());
    const std::string whole = std::string(size) + "\r\n" + body + "\r\n";
    auto withExtension
        = [&](const std::string& text) { return size + text + "\r\n" + body + "\r\n0\r\n\r\n"; };
    const row rows[] = {
        { "one chunk", whole + "0\r\n\r\n", true },
        { "an extension", withExtension(";name=\"a b\""), true },
        { "a trailer", whole + "0\r\nX-Trailer: a\r\n\r\n", true },
        { "no last chunk", whole },
        { "no end of the trailers", whole + "0\r\n" },
        { "a trailer in part", whole + "0\r\nX-Trailer: a" },
        { "a blank before an extension", withExtension(" ;name") },
        { "a control byte in an extension", withExtension(";na\x01me") },
        { "a carriage return in an extension", withExtension(";a\rb") },
        { "a size with a prefix", "0x" + whole + "0\r\n\r\n" },
        { "a size with a sign", "+" + whole + "0\r\n\r\n" },
        { "a size beyond 64 bits", "10000000000000002\r\n{}\r\n0\r\n\r\n" },
        { "a chunk that ends late", "2\r\n" + body + "\r\n0\r\n\r\n" },
        { "a blank in a trailer's name", whole + "0\r\nX Trailer: a\r\n\r\n" },
        { "a control byte in a trailer", whole + "0\r\nX-Trailer: \x01\r\n\r\n" },
        { "a trailer without a colon", whole + "0\r\nHTTP/1.1 200 OK\r\n\r\n" },
        { "a folded trailer", whole + "0\r\nX-Trailer: a\r\n b\r\n\r\n" },
    };
    for (const auto& each : rows) {
        reader_fixture fixture({ .bytes = headWith("Transfer-Encoding: chunked\r\n") + "\r\n" + each.chunks,
            .end = connection_end::finish });
        for (auto reader : allReaders) {
            CAPTURE(std::string(each.name));
            CAPTURE(static_cast<int>(reader));
            CHECK(fixture.read(reader, "b") == (each.isValid ? reading::taken : reading::rejected));
        }
    }
}

TEST_CASE("Responses from upstreams and from peers take the memory of one budget")
{
    // Guards against a VM that loses its links as it reads long responses, and then reads as much again from
    // peers.
    constexpr std::size_t vmBytes = 160 * 1024 * 1024; // Of the smallest VM.
    constexpr std::size_t callerBytes = 32 * 1024 * 1024; // What is held for callers, at the most.
    constexpr std::size_t otherBytes = 16 * 1024 * 1024; // Of a daemon without requests.
    constexpr std::size_t bodyBytes = 8 * 1024 * 1024;
    constexpr int requests = 100; // Of each kind.
    constexpr int minArrivals = 50; // Ten times the budget; some connects may time out on a busy machine.
    constexpr milliseconds observedTime { 2'000 };
    reader_fixture fixture({ .bytes = headWith("Content-Length: " + std::to_string(bodyBytes) + "\r\n")
            + "\r\n" + std::string(bodyBytes - 1, 'x') });
    auto before = residentBytes();
    std::list<raw_caller> callers;
    std::vector<std::future<gateway::relay_outcome>> relayed;
    for (int number = 0; number < requests; ++number) {
        callers.emplace_back(fixture.callerAddress()).sendRequest("GET", "/once/a", "r1", 3'000);
        relayed.push_back(fixture.startRelaying(reader_fixture::peerHost, "b"));
    }
    std::size_t most = 0;
    auto until = deadlineAfter(observedTime);
    while (!hasPassed(until, steady_clock::now())) {
        most = std::max(most, residentBytes());
        std::this_thread::sleep_for(milliseconds(5));
    }
    MESSAGE("grew by " << (most - before) / 1'048'576 << " MB");
    CHECK(most - before <= vmBytes - callerBytes - otherBytes);
    CHECK(fixture.requests(response_reader::direct) >= minArrivals);
    CHECK(fixture.requests(response_reader::fromPeer) >= minArrivals);
    int unknown = 0;
    for (auto& each : relayed) {
        auto status = each.get().status;
        CHECK(status != gateway::relay_status::answered);
        unknown += status == gateway::relay_status::unknown ? 1 : 0;
    }
    CHECK(unknown >= fixture.requests(response_reader::fromPeer)); // What has arrived may have run.
}

}
