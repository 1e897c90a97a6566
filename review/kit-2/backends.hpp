#pragma once

// Backends and clients of the review's scripts.

#include "stand_ins.hpp"

namespace review {

// What a backend has seen of one request.
struct arrival {
    std::string attempt;
    std::string path;
    std::int64_t atMs = 0;
    bool hasRun = false;
};

struct backend_options {
    std::string id;
    std::string service;
    std::string zone;
    std::string ip = "127.0.0.1";
    int slots = 3;
    std::int64_t workMs = 20;
    std::size_t bodyBytes = 1'500;
    int receiveBuffer = 0; // Of its sockets; 0: the system's.
    // It works on a body piece by piece as it reads it.
    std::size_t pieceBytes = 0; // 0: it reads the whole body at once.
    std::int64_t pieceMs = 0;
};

// A backend with slots. It rejects what is beyond them, and answers 421 to a request for another instance.
class backend {
public:
    explicit backend(backend_options options)
        : m_options(std::move(options))
        , m_acceptor(
              { m_options.ip, 0 }, [this](int connection) { serve(connection); }, m_options.receiveBuffer)
    {
    }

    const backend_options& options() const { return m_options; }
    endpoint at() const { return m_acceptor.at(); }

    // Returns its entry in the store.
    std::string entry(const std::string& state) const
    {
        return R"({"service":")" + m_options.service + R"(","address":")" + at().text() + R"(","zone":")"
            + m_options.zone + R"(","version":"v1","slots":)" + std::to_string(m_options.slots)
            + R"(,"state":")" + state + R"(","warmupRemainingMs":0,"sequence":1})";
    }

    std::vector<arrival> arrivals() const
    {
        std::lock_guard lock(m_mutex);
        return m_arrivals;
    }
    // From now on it says in all its answers that it leaves.
    void leave() { m_isLeaving = true; }

    // Returns the requests whose connection ended before their body was in.
    std::vector<arrival> brokenOff() const
    {
        std::lock_guard lock(m_mutex);
        return m_brokenOff;
    }
    void stop() { m_acceptor.stop(); }

private:
    void serve(int connection)
    {
        std::string buffer;
        message request;
        while (!m_acceptor.isStopping()) {
            auto result = readMessage(connection, buffer, request, nowMs() + 200, true);
            if (result == read_result::timedOut && buffer.empty()) {
                continue;
            }
            if (result != read_result::complete || !serveRequest(connection, buffer, request)) {
                return;
            }
        }
    }

    bool serveRequest(int connection, std::string& buffer, message& request)
    {
        auto attempt = request.field("attempt-id");
        auto echo = "Attempt-Id: " + attempt + "\r\n" + (m_isLeaving ? "Server-Leaving: 1\r\n" : "");
        if (request.target() == "/health") {
            return sendAll(connection, makeResponse(200, "Instance-Id: " + m_options.id + "\r\n", "ok"));
        }
        bool isOther
            = request.field("expected-instance") != "" && request.field("expected-instance") != m_options.id;
        bool isFull = ++m_busy > m_options.slots;
        {
            std::lock_guard lock(m_mutex);
            m_arrivals.push_back({ attempt, request.target(), nowMs(), !isOther && !isFull });
        }
        auto length = static_cast<std::size_t>(std::atoll(request.field("content-length").c_str()));
        auto worked = std::size_t { 0 };
        while (buffer.size() < length) {
            if (receiveSome(connection, buffer, nowMs() + 10'000) <= 0) {
                --m_busy;
                std::lock_guard lock(m_mutex);
                m_brokenOff.push_back({ attempt, request.target(), nowMs(), true });
                return false;
            }
            for (; m_options.pieceBytes > 0 && worked + m_options.pieceBytes <= buffer.size();
                 worked += m_options.pieceBytes) {
                sleepMs(m_options.pieceMs);
            }
        }
        buffer.erase(0, length);
        std::string response;
        if (isOther) {
            response = makeResponse(421, echo + "Instance-Id: " + m_options.id + "\r\n", "");
        } else if (isFull) {
            response = makeResponse(503, echo + "Not-Executed: 1\r\n", "");
        } else {
            sleepMs(m_options.workMs);
            response = makeResponse(200, echo + "Response-Seal: seal." + m_options.id + "\r\n",
                std::string(m_options.bodyBytes, 'b'));
        }
        --m_busy;
        return sendAll(connection, response);
    }

    const backend_options m_options;
    mutable std::mutex m_mutex;
    std::vector<arrival> m_arrivals;
    std::vector<arrival> m_brokenOff;
    std::atomic<int> m_busy = 0;
    std::atomic<bool> m_isLeaving = false;
    acceptor m_acceptor; // The last member: its threads use the others.
};

// The configuration of one route.
inline std::string configuration(
    int version, const std::string& kind, const std::string& service, int timeoutMs)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","targetLatencyMs","priority","service","attempts"],"rows":[["r-1","jepu9.example","/lepu270/",")"
        + kind + R"(",)" + std::to_string(timeoutMs) + R"(,1000,1,")" + service
        + R"(",2]]},"services":{"columns":["name","healthCheckPath","connectionLimit","protocol","tls"],"rows":[[")"
        + service
        + R"(","/health",330,"h1",false]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

inline std::string nextAttemptId()
{
    static std::atomic<std::uint64_t> next { 1 };
    char text[32];
    std::snprintf(
        text, sizeof text, "%016llx", static_cast<unsigned long long>(0xa000000000000000ULL + next++));
    return text;
}

// A client that keeps its connection to one machine.
class client {
public:
    explicit client(endpoint to, int receiveBuffer = 0)
        : m_to(std::move(to))
        , m_receiveBuffer(receiveBuffer)
    {
    }
    ~client() { close(); }

    // Sends a request and reads the response. Returns its status; 0 if the connection ended, -1 if there was
    // no response in time, -2 if no connection was made.
    int call(const std::string& method, const std::string& path, const std::string& attempt,
        std::int64_t budgetMs, const std::string& body = {})
    {
        if (m_connection < 0) {
            m_connection = connectTo(m_to, 1'000, m_receiveBuffer);
            m_buffer.clear();
        }
        if (m_connection < 0) {
            return -2;
        }
        auto until = nowMs() + budgetMs;
        auto request = method + " " + path + " HTTP/1.1\r\nHost: jepu9.example\r\nAttempt-Id: " + attempt
            + "\r\nDeadline-Milliseconds: " + std::to_string(budgetMs) + "\r\n"
            + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
        message response;
        auto result = sendAll(m_connection, request) ? readMessage(m_connection, m_buffer, response, until)
                                                     : read_result::ended;
        if (result != read_result::complete || lower(response.field("connection")) == "close") {
            close();
        }
        return result == read_result::complete ? response.status() : result == read_result::ended ? 0 : -1;
    }

    void close()
    {
        if (m_connection >= 0) {
            ::close(m_connection);
            m_connection = -1;
        }
    }

private:
    endpoint m_to;
    int m_receiveBuffer;
    int m_connection = -1;
    std::string m_buffer;
};

}
