#include "marlsill/http/message_parser.h"

#include <doctest/doctest.h>
#include <vector>

namespace marlsill::http {

namespace {

    struct request_case {
        const char* name;
        std::string bytes;
        parse_status expected;
        std::string body;
    };

    struct response_case {
        const char* name;
        std::string bytes;
        parse_status expected;
        bool isWholeAtEnd;
        std::string body;
    };

    constexpr read_limits limits { .maxHeaderBytes = 200, .maxBodyBytes = 16 };

    // Feeds `bytes` one by one, which must give the same result as all at once.
    template <typename Parser, typename Message>
    parse_status feed(Parser& parser, Message& message, std::string_view bytes)
    {
        std::string buffer;
        auto status = parse_status::needMore;
        for (char byte : bytes) {
            buffer.push_back(byte);
            status = parser.parse(buffer, message, limits);
            if (status != parse_status::needMore) {
                return status;
            }
        }
        return status;
    }

}

TEST_CASE("Requests are parsed whole or refused")
{
    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
    const std::vector<request_case> cases = {
        { "no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", parse_status::complete, "" },
        { "length", start + "Content-Length: 3\r\n\r\nabc", parse_status::complete, "abc" },
        { "chunks", start + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n",
            parse_status::complete, "abc" },
        { "unfinished", start + "Content-Length: 3\r\n\r\nab", parse_status::needMore, "ab" },
        { "two lengths", start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", parse_status::malformed,
            "" },
        { "length and chunks", start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            parse_status::malformed, "" },
        { "no host", "GET / HTTP/1.1\r\n\r\n", parse_status::malformed, "" },
        { "two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", parse_status::malformed, "" },
        { "old version", "GET / HTTP/1.0\r\nHost: h\r\n\r\n", parse_status::malformed, "" },
        { "bare line feed", "GET / HTTP/1.1\nHost: h\n\n", parse_status::malformed, "" },
        { "long head", "GET /" + std::string(300, 'x'), parse_status::headTooLarge, "" },
        { "long body", start + "Content-Length: 17\r\n\r\n", parse_status::bodyTooLarge, "" },
        { "long chunks", start + "Transfer-Encoding: chunked\r\n\r\n20\r\n" + std::string(32, 'x'),
            parse_status::bodyTooLarge, std::string(16, 'x') },
        { "bad chunk size", start + "Transfer-Encoding: chunked\r\n\r\nxy\r\n", parse_status::malformed, "" },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        request_parser parser;
        request_message message;
        CHECK(feed(parser, message, each.bytes) == each.expected);
        CHECK(message.body == each.body);
    }
}

TEST_CASE("Requests that arrive together are parsed one after the other")
{
    std::string buffer = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    request_parser parser;
    for (const char* path : { "/1", "/2" }) {
        request_message message;
        REQUIRE(parser.parse(buffer, message, limits) == parse_status::complete);
        CHECK(message.head.getURI() == path);
    }
    CHECK(buffer.empty());
}

TEST_CASE("Answers are whole only when their framing or an orderly end says so")
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::vector<response_case> cases = {
        { "length", start + "Content-Length: 2\r\n\r\nok", parse_status::complete, false, "ok" },
        { "cut", start + "Content-Length: 3\r\n\r\nok", parse_status::needMore, false, "ok" },
        { "no length", start + "\r\nok", parse_status::needMore, true, "ok" },
        { "chunks without end", start + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            parse_status::needMore, false, "ok" },
        { "after continue", "HTTP/1.1 100 Continue\r\n\r\n" + start + "Content-Length: 2\r\n\r\nok",
            parse_status::complete, false, "ok" },
        { "no content", "HTTP/1.1 204 No Content\r\n\r\n", parse_status::complete, false, "" },
        { "garbage", "not an answer\r\n\r\n", parse_status::malformed, false, "" },
        { "switching", "HTTP/1.1 101 Switching\r\n\r\n", parse_status::malformed, false, "" },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        response_parser parser(false);
        response_message message;
        CHECK(feed(parser, message, each.bytes) == each.expected);
        CHECK(parser.finish() == each.isWholeAtEnd);
        CHECK(message.body == each.body);
    }
}

}
