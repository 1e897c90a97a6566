#pragma once

// A stand-in of an upstream with slots, and with the ways in which upstreams fail.
//
//     upstream_stand_in upstream({ .name = "b1", .slots = 3 });
//     upstream.start();
//     upstream.setFaults({ .shortLength = true });

#include "marlsill/base/time.h"
#include "marlsill/http/message_reader.h"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace marlsill::testing {

// How an answer is spoilt.
enum class spoilt_answer {
    none,
    shortLength, // Content-Length promises more than comes.
    cutChunk,
    noLastChunk,
    garbage,
    extraBytes, // A second answer that nobody asked for follows the first.
    serverError,
    never,
    closed, // The connection ends without an answer.
};

// Faults on command.
struct upstream_faults {
    spoilt_answer spoilt = spoilt_answer::none;
    double share = 1; // Of the requests that are spoilt.
    double slowdown = 1; // Of the service time.
    bool isDraining = false;
    bool isShedding = false;
    int coldMilliseconds = 0; // Added to the service time of each request.
};

// Options of a stand-in.
struct upstream_options {
    std::string name = "upstream";
    Poco::Net::SocketAddress address { "127.0.0.1:0" };
    int slots = 3;
    std::chrono::microseconds serviceTime { 5'000 };
    int restartMilliseconds = 200; // After a crash.
};

// A request whose body, target or client account holds this word crashes the upstream.
inline constexpr const char* crashWord = "crash-upstream";

// Serves on its own threads. Every request to /health is answered well, whatever the faults. Thread safe.
class upstream_stand_in {
public:
    explicit upstream_stand_in(upstream_options options);
    ~upstream_stand_in();

    void start();
    void stop();

    void setFaults(upstream_faults faults);

    // Makes the connections that are open now silent for good; new ones work.
    void silenceOpenConnections();

    // Returns how often the request with each X-Request-Id ran.
    std::map<std::string, int> runs() const;

    int crashes() const { return m_crashes.load(); }
    int cancellations() const { return m_cancellations.load(); }
    int mostAtOnce() const { return m_mostAtOnce.load(); }
    int started() const { return m_started.load(); }
    std::string address() const { return m_address.toString(); }

private:
    struct open_connection {
        explicit open_connection(http::channel accepted)
            : channel(std::move(accepted))
        {
        }

        http::channel channel;
        std::atomic<bool> isSilent = false;
    };

    void acceptLoop(const std::stop_token& stop);
    void serveConnection(const std::shared_ptr<open_connection>& connection);
    bool serveRequest(open_connection& connection, const http::request_message& request);
    std::string refusal(const http::request_message& request, const upstream_faults& faults);
    bool work(open_connection& connection, const upstream_faults& faults);
    bool sendAnswer(open_connection& connection, const http::request_message& request, spoilt_answer spoilt);
    void crash();
    bool isUp() const { return steady_clock::now().time_since_epoch().count() >= m_upAgainAt.load(); }

    const upstream_options m_options;
    Poco::Net::ServerSocket m_socket;
    Poco::Net::SocketAddress m_address;
    mutable std::mutex m_mutex; // Guards m_faults, m_runs, m_connections and m_threads.
    upstream_faults m_faults;
    std::map<std::string, int> m_runs;
    std::vector<std::weak_ptr<open_connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::atomic<int> m_busy = 0;
    std::atomic<int> m_mostAtOnce = 0;
    std::atomic<int> m_started = 0;
    std::atomic<int> m_crashes = 0;
    std::atomic<int> m_cancellations = 0;
    std::atomic<deadline::rep> m_upAgainAt = 0;
    std::atomic<bool> m_isStopping = false;
    std::jthread m_acceptor;
};

}
