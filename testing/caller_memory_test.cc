// Tests that callers cannot drive the memory of an entry daemon above that of the smallest VM.

#include "platform/decode.h"
#include "platform/platform_fields.h"
#include "platform/testing/fake_object_store.h"
#include "platform/testing/store_objects.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"
#include "testing/soak/entry_process.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    using platform_adapter::platformFields;
    using std::chrono::milliseconds;

    constexpr std::size_t vmMemoryMb = 160; // Of the smallest VM.
    constexpr milliseconds startLimit { 10'000 };
    constexpr milliseconds pressureTime { 6'000 };
    constexpr int routeTimeoutMs = 3'000;
    constexpr milliseconds usualWorkTime { 5 };
    constexpr int usualCalls = 30; // Before the load, so that the daemon knows the usual latency.

    // What each connection sends; its answers are never read.
    struct unread_load {
        int connections = 0;
        std::string head; // Of one request.
        std::size_t bodyBytes = 0;
        int requests = 0; // Of each connection.
        std::size_t missingBytes = 0; // Of the last body, never sent.
        std::size_t bytesPerTurn = 0; // 0: as fast as it is read.
    };

    // A connection that sends its load as far as the daemon takes it.
    class unread_sender {
    public:
        unread_sender(const std::string& address, const std::string& request, const unread_load& load)
            : m_socket(Poco::Net::SocketAddress(address))
            , m_request(request)
            , m_bytesLeft(request.size() * static_cast<std::size_t>(load.requests) - load.missingBytes)
            , m_bytesPerTurn(load.bytesPerTurn > 0 ? load.bytesPerTurn : m_bytesLeft)
        {
        }

        void sendMore()
        {
            auto turn = std::min(m_bytesLeft, m_bytesPerTurn);
            while (turn > 0) {
                auto count = std::min(turn, m_request.size() - m_offset);
                auto sent = ::send(m_socket.impl()->sockfd(), m_request.data() + m_offset, count,
                    MSG_NOSIGNAL | MSG_DONTWAIT);
                if (sent <= 0) {
                    return;
                }
                turn -= static_cast<std::size_t>(sent);
                m_bytesLeft -= static_cast<std::size_t>(sent);
                m_offset = (m_offset + static_cast<std::size_t>(sent)) % m_request.size();
            }
        }

    private:
        Poco::Net::StreamSocket m_socket;
        const std::string& m_request; // Sent again and again.
        std::size_t m_bytesLeft = 0;
        std::size_t m_bytesPerTurn = 0;
        std::size_t m_offset = 0;
    };

    // One entry daemon before two upstreams.
    class daemon_fixture {
    public:
        explicit daemon_fixture(const std::string& answerBody)
            : m_folder(std::filesystem::temp_directory_path()
                / ("marlsill-memory-" + std::to_string(::getpid()) + "-"
                    + std::to_string(steady_clock::now().time_since_epoch().count())))
        {
            std::filesystem::create_directories(m_folder);
            m_store.put(platform_adapter::configurationKind, platform_adapter::configurationName,
                platform_adapter::configurationObject(1, "h.example", "s",
                    { { "once", "/once/", true, routeTimeoutMs }, { "repeat", "/repeat/", false, 3'000 } }));
            for (int index = 0; index < 2; ++index) {
                auto id = "u" + std::to_string(index);
                m_upstreams.push_back(std::make_unique<scripted_upstream>(id, platformFields()));
                m_upstreams.back()->setBody(answerBody);
                m_upstreams.back()->setWorkTime(usualWorkTime);
                m_store.put(platform_adapter::upstreamKind, id,
                    platform_adapter::upstreamObject("s", m_upstreams.back()->address(), "ready"));
            }
            m_entries = startFleet(2, MARLSILL_ENTRY_PROGRAM, m_folder.string(), m_store.address());
            auto until = deadlineAfter(startLimit);
            int served = 0;
            while (served < usualCalls && !hasPassed(until, steady_clock::now())) {
                served += call() == 200 ? 1 : 0;
                std::this_thread::sleep_for(milliseconds(20));
            }
            if (served < usualCalls) {
                reportNotServing(*m_entries.front());
            }
        }

        ~daemon_fixture()
        {
            m_entries.clear();
            std::filesystem::remove_all(m_folder);
        }

        void setWorkTime(milliseconds length)
        {
            for (auto& each : m_upstreams) {
                each->setWorkTime(length);
            }
        }

        std::string address() const { return m_entries.front()->callerAddress(); }

        // Sends an ordinary request and returns the status of its answer; 0 if there is none.
        int call()
        {
            try {
                raw_caller caller(address(), platformFields());
                caller.sendRequest("GET", "/repeat/a", "r" + std::to_string(++m_calls));
                return caller.receive().status;
            } catch (const Poco::Exception&) {
                return 0;
            }
        }

        // Returns the most memory that the daemon has had resident; 0 if it has ended.
        std::size_t peakMemoryMb() const
        {
            return m_entries.front()->process()->peakMemoryBytes() / 1'048'576;
        }

    private:
        const std::filesystem::path m_folder;
        platform_adapter::fake_object_store m_store;
        std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
        std::vector<std::unique_ptr<entry_process>> m_entries;
        int m_calls = 0;
    };

}

TEST_CASE("Callers that send much or read nothing cannot take the memory of the smallest VM")
{
    constexpr std::size_t large = 900'000; // Below the limit on a body.
    const std::string post = "POST /once/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: ";
    const std::string longHead
        = "GET /once/a HTTP/1.1\r\nHost: h.example\r\nX: " + std::string(15'000, 'x') + "\r\n\r\n";
    struct row {
        const char* name;
        unread_load load;
        std::size_t answerBytes;
        milliseconds workTime;
    };
    const std::string get = "GET /repeat/a HTTP/1.1\r\nHost: h.example\r\n\r\n";
    const std::string unrouted = "GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n";
    const row rows[] = {
        { "bodies that do not end", { 400, post, large, 1, 1'000 }, 100, milliseconds(10) },
        { "pipelined bodies", { 10, post, large, 60 }, 100, milliseconds(1'000) },
        { "many small requests", { 1'000, get, 0, 60 }, 100, milliseconds(1'000) },
        { "long heads", { 1'000, longHead, 0, 60 }, 100, milliseconds(1'000) },
        { "heads that do not end", { 2'000, longHead, 0, 1, 10 }, 100, milliseconds(10) },
        { "unread refusals", { 4, unrouted, 0, 400'000 }, 100, milliseconds(10) },
        { "unread answers", { 2, get, 0, 10'000, 0, get.size() }, large, milliseconds(0) },
        { "unread answers of many", { 100, get, 0, 10'000, 0, 2 }, large, milliseconds(0) },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        daemon_fixture daemon(std::string(each.answerBytes, 'a'));
        REQUIRE(daemon.call() == 200);
        daemon.setWorkTime(each.workTime);
        auto request = each.load.head;
        if (each.load.bodyBytes > 0) {
            request
                += std::to_string(each.load.bodyBytes) + "\r\n\r\n" + std::string(each.load.bodyBytes, 'b');
        }
        std::vector<std::unique_ptr<unread_sender>> senders;
        for (int number = 0; number < each.load.connections; ++number) {
            senders.push_back(std::make_unique<unread_sender>(daemon.address(), request, each.load));
        }
        auto until = deadlineAfter(pressureTime);
        while (!hasPassed(until, steady_clock::now()) && daemon.peakMemoryMb() <= 4 * vmMemoryMb) {
            for (auto& sender : senders) {
                sender->sendMore();
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
        auto peak = daemon.peakMemoryMb();
        senders.clear();
        daemon.setWorkTime(usualWorkTime);
        MESSAGE(std::string(each.name) << ": " << peak << " MB");
        CHECK(peak > 0);
        CHECK(peak <= vmMemoryMb);
        auto serves = deadlineAfter(startLimit);
        int status = daemon.call();
        while (status != 200 && !hasPassed(serves, steady_clock::now())) {
            std::this_thread::sleep_for(milliseconds(100));
            status = daemon.call();
        }
        CHECK(status == 200);
    }
}

}
