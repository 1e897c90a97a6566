// Tests that upstreams cannot drive the memory of an entry daemon above that of the smallest VM.

#include "platform/decode.h"
#include "platform/platform_fields.h"
#include "platform/testing/store_objects.h"
#include "testing/raw_caller.h"
#include "testing/raw_upstream.h"
#include "testing/single_daemon.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <doctest/doctest.h>
#include <list>
#include <memory>
#include <thread>
#include <vector>

namespace marlsill::testing {

namespace {

    using platform_adapter::platformFields;
    using std::chrono::milliseconds;

    constexpr std::size_t vmMemoryMb = 160; // Of the smallest VM.
    constexpr int upstreams = 40;
    constexpr int slotsPerUpstream = 25;
    constexpr int routeTimeoutMs = 6'000;
    constexpr milliseconds pressureTime { 7'000 };
    constexpr milliseconds usualPause { 10 };

    // One entry daemon before upstreams that send the responses of `responses` in turn.
    class pressed_daemon {
    public:
        explicit pressed_daemon(const std::vector<raw_response>& responses)
        {
            auto& store = m_daemon.store();
            store.put(platform_adapter::configurationKind, platform_adapter::configurationName,
                platform_adapter::configurationObject(
                    1, "h.example", "s", { { "repeat", "/repeat/", false, routeTimeoutMs, 3 } }));
            for (int index = 0; index < upstreams; ++index) {
                m_upstreams.push_back(std::make_unique<raw_upstream>(
                    responses[static_cast<std::size_t>(index) % responses.size()],
                    Poco::Net::SocketAddress("127.0.0.1", 0), platformFields()));
                auto object = platform_adapter::upstreamObject("s", m_upstreams.back()->address(), "ready");
                object["slots"] = slotsPerUpstream;
                store.put(platform_adapter::upstreamKind, "u" + std::to_string(index), object);
            }
        }

        bool start() { return m_daemon.daemon().start() && m_daemon.awaitReady(); }
        std::string address() { return m_daemon.daemon().callerAddress(); }
        bool isRunning() { return m_daemon.daemon().process()->isRunning(); }
        std::size_t peakMemoryMb() { return m_daemon.daemon().process()->peakMemoryBytes() / 1'048'576; }

        // Returns how many requests the upstreams have got.
        int arrivals() const
        {
            int sum = 0;
            for (const auto& each : m_upstreams) {
                sum += each->requests();
            }
            return sum;
        }

    private:
        std::vector<std::unique_ptr<raw_upstream>> m_upstreams;
        single_daemon m_daemon; // Ends before the upstreams.
    };

    std::string headWith(const std::string& fields, const std::string& status = "200 OK")
    {
        return "HTTP/1.1 " + status + "\r\nAttempt-Id: {id}\r\nResponse-Seal: seal\r\n" + fields;
    }

    std::string filler(std::size_t bytes) { return std::string(bytes, 'x'); }

    constexpr std::size_t unfinishedBytes = 64 * 1024; // Of each of the uploads.

    // A request that lacks the end of its body.
    std::string unfinishedUpload()
    {
        return "POST /repeat/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 900000\r\n\r\n"
            + filler(unfinishedBytes);
    }

    raw_response endless(const std::string& bytes, const std::string& repeated)
    {
        auto piece = repeated;
        while (piece.size() < 16'000) {
            piece += repeated;
        }
        return { .bytes = bytes, .repeated = piece };
    }

}

TEST_CASE("Upstreams that send without end cannot take the memory of the smallest VM")
{
    constexpr std::size_t almostTooLong = 8 * 1024 * 1024 - 1'000;
    const std::string chunked = headWith("Transfer-Encoding: chunked\r\n") + "\r\n";
    const raw_response silent;
    const std::string longLength = "Content-Length: 8388608\r\n\r\n";
    const raw_response endlessBody = endless(headWith("\r\n"), filler(16'000));
    const raw_response wholeFailure { .bytes = headWith(longLength, "500 Failed") + filler(8'388'608) };
    struct row {
        const char* name;
        std::vector<raw_response> responses;
        int requests = 400; // At the same time.
        int uploads = 0; // Likewise, without an end.
        milliseconds pause {}; // Between requests, so that each response gets long.
    };
    const row rows[] = {
        { "a body without length", { endlessBody } },
        { "a body without length, then a silent upstream", { endlessBody, silent }, 400, 0, usualPause },
        { "long failures, then a silent upstream", { wholeFailure, silent }, 400, 0, usualPause },
        { "long bodies whose last bytes are missing",
            { { .bytes = headWith(longLength) + filler(almostTooLong) } } },
        { "the same beside uploads", { { .bytes = headWith(longLength) + filler(almostTooLong) } }, 400,
            600 },
        { "many long bodies in part", { { .bytes = headWith(longLength) + filler(250'000) } }, 1'000 },
        { "chunks of one byte", { endless(chunked, "1\r\nx\r\n") } },
        { "a chunk of a huge size", { endless(chunked + "ffffffffffff\r\n", filler(16'000)) } },
        { "a chunk size line", { endless(chunked + "1;", filler(16'000)) } },
        { "trailers", { endless(chunked + "0\r\n", "X-Trailer: value\r\n") } },
        { "heads of one line", { endless(headWith("X: "), filler(16'000)) } },
        { "heads in part", { { .bytes = headWith("X: ") + filler(15'000) } }, 1'000 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        pressed_daemon tested(each.responses);
        REQUIRE(tested.start());
        std::list<raw_caller> callers;
        for (int upload = 0; upload < each.uploads; ++upload) {
            callers.emplace_back(tested.address()).send(unfinishedUpload());
        }
        auto until = deadlineAfter(pressureTime);
        int sent = 0;
        while (!hasPassed(until, steady_clock::now()) && tested.peakMemoryMb() <= 4 * vmMemoryMb
            && tested.isRunning()) {
            if (sent < each.requests) {
                auto& caller = callers.emplace_back(tested.address(), platformFields());
                caller.sendRequest("GET", "/repeat/a", "r" + std::to_string(++sent), routeTimeoutMs);
                std::this_thread::sleep_for(each.pause);
            } else {
                std::this_thread::sleep_for(milliseconds(10));
            }
        }
        auto peak = tested.peakMemoryMb();
        MESSAGE(std::string(each.name) << ": " << peak << " MB, " << tested.arrivals() << " arrivals");
        CHECK(tested.isRunning());
        CHECK(peak > 0);
        CHECK(peak <= vmMemoryMb);
    }
}

}
