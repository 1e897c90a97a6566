#include "marlsill/http/message_reader.h"

#include "marlsill/http/message_parser.h"

#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>
#include <optional>
#include <vector>

namespace marlsill::http {

namespace {

    // Both ends of one loopback connection.
    struct connected_pair {
        connected_pair()
            : server(Poco::Net::SocketAddress("127.0.0.1:0"))
            , local(Poco::Net::StreamSocket(server.address()))
            , remote(server.acceptConnection())
        {
        }

        // Sends `bytes` from the remote end and shuts down its sending half.
        void sendAndClose(std::string_view bytes)
        {
            remote.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            remote.shutdownSend();
        }

        Poco::Net::ServerSocket server;
        channel local;
        Poco::Net::StreamSocket remote;
    };

    deadline soon() { return deadlineAfter(std::chrono::seconds(5)); }

}

TEST_CASE("a response is complete only if its framing delimits it")
{
    struct test_case {
        std::string_view name;
        std::string_view bytes;
        read_status expected;
        std::string_view body;
    };
    constexpr test_case rows[] = {
        { "complete fixed length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", read_status::complete,
            "hello" },
        { "complete chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            read_status::complete, "hello" },
        { "chunked with trailer",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nA: b\r\n\r\n",
            read_status::complete, "hello" },
        { "preceded by an informational response",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            read_status::complete, "ok" },
        { "short fixed length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", read_status::truncated,
            "hello" },
        { "truncated inside a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello",
            read_status::truncated, "hello" },
        { "no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
            read_status::truncated, "hello" },
        { "malformed chunk size",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
            read_status::malformed, "" },
        { "delimited by close", "HTTP/1.1 200 OK\r\n\r\nhello", read_status::malformed, "" },
        { "garbage", "\x01\x02garbage\r\n\r\n", read_status::malformed, "" },
        { "empty", "", read_status::closedBeforeStart, "" },
        { "truncated inside the header block", "HTTP/1.1 200 OK\r\nContent-Le", read_status::truncated, "" },
    };
    for (const test_case& each : rows) {
        CAPTURE(each.name);
        connected_pair pair;
        pair.sendAndClose(each.bytes);
        response_message response;
        CHECK(readResponse(pair.local, response, "GET", {}, soon()) == each.expected);
        CHECK(response.body == each.body);
    }
}

TEST_CASE("A response whose status is not one of a final response is malformed")
{
    // Guards against status 000, 600 and the like, or a number that only a lenient reader sees, being
    // delivered to a caller. Both readers of responses must agree.
    struct row {
        std::string statusLine;
        bool isValid;
    };
    const row rows[] = { { "HTTP/1.1 200 OK", true }, { "HTTP/1.1 200", true }, { "HTTP/1.0 200 OK", true },
        { "HTTP/1.1 299 X", true }, { "HTTP/1.1 404 Not Found", true }, { "HTTP/1.1 599 X", true },
        { "HTTP/1.1 000 X", false }, { "HTTP/1.1 001 X", false }, { "HTTP/1.1 099 X", false },
        { "HTTP/1.1 101 X", false }, { "HTTP/1.1 600 X", false }, { "HTTP/1.1 700 X", false },
        { "HTTP/1.1 999 X", false }, { "HTTP/1.1 2 X", false }, { "HTTP/1.1 20 X", false },
        { "HTTP/1.1 2000 X", false }, { "HTTP/1.1 +20 X", false }, { "HTTP/1.1 -20 X", false },
        { "HTTP/1.1 2x0 X", false }, { "HTTP/1.1 0xC8 X", false }, { "HTTP/1.1  200 X", false },
        { "HTTP/1.1 200X", false }, { "HTTP/1.1\t200 X", false }, { "XTTP/1.1 200 X", false },
        { "HTTP/2 200 X", false }, { "HTTP/1.x 200 X", false }, { "HTTP/1.1 ", false }, { "200 OK", false } };
    for (const auto& each : rows) {
        CAPTURE(each.statusLine);
        auto bytes = each.statusLine + "\r\nContent-Length: 2\r\n\r\nok";
        connected_pair pair;
        pair.sendAndClose(bytes);
        response_message response;
        CHECK(readResponse(pair.local, response, "GET", {}, soon())
            == (each.isValid ? read_status::complete : read_status::malformed));
        response_parser parser(false);
        CHECK(parser.parse(bytes, response, {})
            == (each.isValid ? parse_status::complete : parse_status::malformed));
    }
}

TEST_CASE("A response with framing that readers take in different ways is malformed")
{
    // Guards against a body that is not the server's. Both readers of responses must agree.
    struct row {
        const char* name;
        std::string bytes;
        bool isValid = false;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string body = "2\r\nok\r\n0\r\n";
    auto repeated = [](const std::string& text, int count) {
        std::string all;
        for (int number = 0; number < count; ++number) {
            all += text;
        }
        return all;
    };
    const std::string longExtension = "1;" + std::string(240, 'e') + "\r\nx\r\n";
    const row rows[] = {
        { "chunks", ok + chunked + body + "\r\n", true },
        { "an extension and a trailer", ok + chunked + "2;a=b\r\nok\r\n0\r\nX-T: a\r\n\r\n", true },
        { "no content", "HTTP/1.1 204 X\r\n\r\n", true },
        { "no content, of length 0", "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n", true },
        { "not modified, with the length of the content", "HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n",
            true },
        { "after 103", "HTTP/1.1 103 X\r\nX-A: b\r\n\r\n" + ok + chunked + body + "\r\n", true },
        { "chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + chunked + body + "\r\n" },
        { "no content, of length 2", "HTTP/1.1 204 X\r\nContent-Length: 2\r\n\r\n" },
        { "no content, in chunks", "HTTP/1.1 204 X\r\n" + chunked },
        { "103 with a length", "HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\n" + ok + chunked + body + "\r\n" },
        { "103 in chunks", "HTTP/1.1 103 X\r\n" + chunked + ok + chunked + body + "\r\n" },
        { "a control byte in an extension", ok + chunked + "2;a\x01\r\nok\r\n0\r\n\r\n" },
        { "a carriage return in an extension", ok + chunked + "2;a\rb\r\nok\r\n0\r\n\r\n" },
        { "a blank in a trailer's name", ok + chunked + body + "X T: a\r\n\r\n" },
        { "a control byte in a trailer", ok + chunked + body + "X-T: \x01\r\n\r\n" },
        { "a folded trailer", ok + chunked + body + "X-T: a\r\n b\r\n\r\n" },
        { "a response in the trailers", ok + chunked + body + ok + "\r\n" },
        { "trailers without end", ok + chunked + "0\r\n" + repeated("X-T: a\r\n", 2'000) },
        { "extensions without end", ok + chunked + repeated(longExtension, 2'000) },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        connected_pair pair;
        pair.sendAndClose(each.bytes);
        response_message response;
        CHECK(readResponse(pair.local, response, "GET", {}, soon())
            == (each.isValid ? read_status::complete : read_status::malformed));
        response_parser parser(false);
        auto buffer = each.bytes;
        CHECK(parser.parse(buffer, response, {})
            == (each.isValid ? parse_status::complete : parse_status::malformed));
    }
}

TEST_CASE("A body above the limit can be read on in parts")
{
    struct row {
        const char* name;
        std::string_view bytes;
    };
    constexpr row rows[] = {
        { "of a length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789" },
        { "in chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\n012\r\n4\r\n3456\r\n3\r\n789\r\n0\r\n\r\n" },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        connected_pair pair;
        pair.sendAndClose(each.bytes);
        response_message response;
        std::optional<body_reader> reader;
        REQUIRE(readResponseHead(pair.local, response.head, "GET", {}, soon(), {}, reader)
            == read_status::complete);
        std::vector<std::string> parts;
        auto status = read_status::bodyTooLarge;
        while (status == read_status::bodyTooLarge) {
            status = reader->readInto(parts.emplace_back(), 4, soon(), {});
        }
        CHECK(status == read_status::complete);
        CHECK(parts == std::vector<std::string> { "0123", "4567", "89" });
    }
}

TEST_CASE("requests with ambiguous framing are malformed")
{
    struct test_case {
        std::string_view name;
        std::string_view bytes;
        read_status expected;
    };
    constexpr test_case rows[] = {
        { "plain", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", read_status::complete },
        { "Content-Length and chunked",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            read_status::malformed },
        { "repeated Content-Length",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            read_status::malformed },
        { "list in Content-Length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc",
            read_status::malformed },
        { "signed Content-Length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
            read_status::malformed },
        { "Content-Length above 64 bits",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\nabc",
            read_status::malformed },
        { "unknown Transfer-Encoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n",
            read_status::malformed },
        { "space before colon", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc",
            read_status::malformed },
        { "folded line", "GET / HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n", read_status::malformed },
        { "bare line feed", "GET / HTTP/1.1\nHost: a\n\n", read_status::malformed },
        { "one bare line feed", "GET / HTTP/1.1\r\nHost: a\nX-A: b\r\n\r\n", read_status::malformed },
        { "repeated Host", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", read_status::malformed },
        { "no Host", "GET / HTTP/1.1\r\n\r\n", read_status::malformed },
        { "chunked in HTTP/1.0", "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            read_status::malformed },
        { "body above the size limit", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\nabc",
            read_status::bodyTooLarge },
        { "truncated inside the body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc",
            read_status::truncated },
    };
    for (const test_case& each : rows) {
        CAPTURE(each.name);
        connected_pair pair;
        pair.sendAndClose(each.bytes);
        request_message request;
        CHECK(readRequest(pair.local, request, {}, soon()) == each.expected);
    }
}

TEST_CASE("a line break inside an encoded word does not end a field")
{
    // Guards against a request smuggled through an RFC 2047 encoded word, which POCO's parser decodes.
    const std::string value = "=?UTF-8?Q?Finca=0D=0A=0D=0APOST_/b_HTTP/1.1?=";
    connected_pair pair;
    pair.sendAndClose("GET /a HTTP/1.1\r\nHost: h\r\nFarm-Note: " + value + "\r\n\r\n");
    request_message request;
    REQUIRE(readRequest(pair.local, request, {}, soon()) == read_status::complete);
    CHECK(request.head.get("Farm-Note") == value);
    connected_pair upstream;
    upstream.sendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFarm-Note: " + value + "\r\n\r\nok");
    response_message response;
    REQUIRE(readResponse(upstream.local, response, "GET", {}, soon()) == read_status::complete);
    CHECK(response.head.get("Farm-Note") == value);
    CHECK(response.body == "ok");
}

TEST_CASE("a header block above the size limit is malformed")
{
    connected_pair pair;
    pair.sendAndClose("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(20'000, 'a') + "\r\n\r\n");
    request_message request;
    CHECK(readRequest(pair.local, request, {}, soon()) == read_status::malformed);
}

TEST_CASE("pipelined requests on one connection are read separately")
{
    connected_pair pair;
    pair.sendAndClose(
        "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    request_message request;
    REQUIRE(readRequest(pair.local, request, {}, soon()) == read_status::complete);
    CHECK(request.body == "one");
    REQUIRE(readRequest(pair.local, request, {}, soon()) == read_status::complete);
    CHECK(request.head.getURI() == "/2");
    CHECK(readRequest(pair.local, request, {}, soon()) == read_status::closedBeforeStart);
}

TEST_CASE("reading a response is cancelled when the watched socket is closed")
{
    connected_pair upstream;
    connected_pair caller;
    caller.remote.close();
    response_message response;
    CHECK(readResponse(upstream.local, response, "GET", {}, soon(), caller.local.watch())
        == read_status::cancelled);
}

}
