#pragma once

// An upstream whose answers follow a script, for tests of the request path.
//
//     scripted_upstream upstream("u1", fields);
//     upstream.plan(upstream_step::reset);
//     ...
//     CHECK(upstream.runsOf("request-1") == 1);

#include "marlsill/gateway/wire_fields.h"
#include "testing/connection_threads.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace marlsill::testing {

// What an upstream does with one request.
enum class upstream_step {
    answer,
    error, // Runs it and answers 500.
    refuse, // Says that it has not run it.
    misdirect, // Says that it is another upstream.
    repeatRefusal, // Runs it, sends a refusal of an earlier request, and answers.
    repeatUnnamedRefusal, // Likewise, with a refusal that names no request.
    repeatUnnamedMisdirect, // Likewise, with a response of another upstream that names no request.
    cutHead, // Runs it and closes in the middle of the head of its answer.
    resetHead, // Likewise, but resets the connection.
    reset, // Runs it and resets the connection.
    cut, // Runs it and ends in the middle of the answer.
    garbage, // Runs it and sends bytes that are no answer.
    unframed, // Answers without a length and closes.
    lateExtra, // Answers, and sends the answer once more on the same connection a little later.
    unsealed, // Answers 200 without a seal.
    hang, // Runs it and never answers.
    lateReset, // Works on it for a while, then resets the connection.
    forget, // Answers, and resets the connection when the next request arrives on it, without running that.
    endlessHeadLine, // Runs it and sends a header line without end.
    endlessHead, // Runs it and sends header fields without end.
    endlessInformational, // Runs it and sends 1xx responses without end.
    endlessStrangers, // Runs it and sends answers to other requests without end.
    endlessBody, // Runs it and sends a body without length or end.
    endlessExcess, // Answers, and sends more bytes without end.
    endlessChunk, // Runs it and sends a chunk of a huge size.
    endlessExtensions, // Runs it and sends small chunks with long extensions.
    endlessTrailers, // Runs it and sends trailers without end.
    endlessNoise, // Runs it and sends bytes that are no HTTP without end.
    slowBody, // Sends the head of its answer at once, and the body after the work time.
    early, // Answers before it has read the body, and keeps the connection.
    turnAway, // Says that it has not run it, with 503 and a Retry-After field.
    turnAwayUnstated, // Likewise, without saying that it has not run it.
    oddStatus, // Runs it and answers with the status line of setStatusLine().
    copyBeforeNext, // Answers, and sends the answer once more when the next request has arrived.
};

class scripted_upstream {
public:
    // Listens on `port` of 127.0.0.1, or on a free one if it is 0.
    scripted_upstream(std::string id, gateway::wire_fields fields, unsigned short port = 0);
    ~scripted_upstream();

    std::string address() const { return m_address; }
    const std::string& id() const { return m_id; }

    // Sets what happens to the next requests, in order; after them all are answered.
    void plan(std::vector<upstream_step> steps);

    // Sets the value of the Retry-After field of the steps that turn requests away.
    void setRetryAfter(std::string value);

    // Sets who is told of each request that is turned away, on the upstream's threads, before the answer is
    // sent; with the value of the Retry-After field.
    void setTurnAwayListener(
        std::function<void(const std::string& request, const std::string& retryAfter)> listener);

    // Sets how long each request that is answered takes.
    void setWorkTime(std::chrono::milliseconds length) { m_workTime = length; }

    // Sets the body of answers; it should not change while requests arrive.
    void setBody(std::string body) { m_body = std::move(body); }

    // Sets the limit in requests per second that all answers name; 0: they name none.
    void setRateLimit(double requestsPerSecond) { m_rateLimit = requestsPerSecond; }

    // Sets the value of the leaving field in all answers; empty: they have none. Answers with the field also
    // name the upstream, in X-Answered-By.
    void setLeavingField(const std::string& value);

    // Sets the status line of `oddStatus`, without its line end.
    void setStatusLine(const std::string& line);

    // Returns when requests arrived, in order.
    std::vector<std::chrono::steady_clock::time_point> arrivalTimes() const;

    // Makes every request whose header block or body contains `text` crash the upstream once it has begun to
    // run.
    void crashOn(const std::string& text);

    bool hasCrashed() const { return m_isStopped.load(); }

    // Sets who is told of each request that is run, on the upstream's threads.
    void setRunListener(std::function<void(const std::string& request)> listener);

    // Sets who is told of each request that arrives, also if it is not run, on the upstream's threads.
    void setArrivalListener(std::function<void(const std::string& request)> listener);

    // Returns how often a request was run.
    int runsOf(const std::string& request) const;

    int arrivals() const { return m_arrivals.load(); }
    int connections() const { return m_connections.load(); }

    // Returns how many connections are open now.
    int openConnections() const { return m_openConnections.load(); }

    // Returns the header block of the last request.
    std::string lastHead() const;

    // Returns whether a caller of this upstream closed its connection during a hang.
    bool sawCancel() const { return m_sawCancel.load(); }

    // Sets the pause between the pieces of what is sent without end; 0: as fast as it is read.
    void setEndlessPause(std::chrono::milliseconds pause) { m_endlessPause = pause; }

    // Returns how many bytes the longest of the endless answers has sent before its connection was closed,
    // and whether any is still being sent.
    std::size_t mostEndlessBytes() const { return m_mostEndlessBytes.load(); }
    bool isSendingEndlessly() const { return m_endlessSenders.load() > 0; }

    // Closes the listening socket and all connections, as a crash does.
    void crash();

private:
    void acceptLoop();
    void serve(Poco::Net::StreamSocket& socket);
    bool serveOne(Poco::Net::StreamSocket& socket, std::string& buffer);
    upstream_step nextStep();
    void turnAway(Poco::Net::StreamSocket& socket, const std::string& request, bool saysNotRun);
    void sendEndlessly(Poco::Net::StreamSocket& socket, const std::string& first, const std::string& piece);
    std::string stateFields() const;

    const std::string m_id;
    const gateway::wire_fields m_fields;
    Poco::Net::ServerSocket m_socket;
    std::string m_address;
    std::string m_body = "the whole body";
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_arrivals = 0;
    std::atomic<int> m_connections = 0;
    std::atomic<int> m_openConnections = 0;
    std::atomic<bool> m_sawCancel = false;
    std::atomic<std::chrono::milliseconds> m_workTime = std::chrono::milliseconds(0);
    std::atomic<double> m_rateLimit = 0;
    std::atomic<std::chrono::milliseconds> m_endlessPause = std::chrono::milliseconds(0);
    std::atomic<std::size_t> m_mostEndlessBytes = 0;
    std::atomic<int> m_endlessSenders = 0;
    mutable std::mutex m_mutex; // Guards what follows.
    std::vector<std::chrono::steady_clock::time_point> m_arrivalTimes;
    std::function<void(const std::string&)> m_listener;
    std::function<void(const std::string&)> m_arrivalListener;
    std::function<void(const std::string&, const std::string&)> m_turnAwayListener;
    std::string m_retryAfter = "1";
    std::deque<upstream_step> m_steps;
    std::map<std::string, int> m_runs;
    std::string m_lastHead;
    std::string m_leavingField; // Empty: answers have none.
    std::string m_statusLine = "HTTP/1.1 000 None";
    std::string m_crashText; // Empty: no request crashes the upstream.
    connection_threads m_connectionThreads;
    std::thread m_acceptor;
};

}
