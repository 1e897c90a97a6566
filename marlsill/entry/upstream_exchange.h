#pragma once

// Sends a request to one upstream once and reads the response.
//
//     upstream_exchange exchange(pool);
//     auto result = exchange.run(request, upstream, limits);
//     if (result.status == attempt_status::refused)
//         tryAnother();

#include "marlsill/entry/upstream_pool.h"
#include "marlsill/http/message_reader.h"
#include "marlsill/routing/snapshot.h"

#include <memory>
#include <optional>

namespace marlsill::entry {

// How an attempt ended.
enum class attempt_status {
    responded, // The whole response was read.
    responseTooLarge, // The start of the body was read; readMore() reads the rest.
    notSent, // No connection could be opened, so the upstream did not run the request.
    refused, // The upstream responded that it did not run the request.
    connectionEnded, // The connection ended before the whole response was read.
    malformed, // The response was not valid HTTP.
    timedOut,
    silentConnection, // A reused connection delivered no byte before attempt_limits::firstByteDeadline.
    cancelled, // The caller closed its connection.
};

// Returns whether the upstream may have run the request.
bool mayHaveRun(attempt_status status);

// Returns whether a process accepts connections at an upstream's address and keeps them open. Blocks for a
// tenth of a second, or until `limit` if nobody answers.
bool isAcceptingConnections(const std::string& address, deadline limit);

// Deadlines and limits of one attempt.
struct attempt_limits {
    deadline requestDeadline; // Sent to the upstream.
    deadline attemptDeadline;
    deadline firstByteDeadline; // For the first response byte; applies to reused connections only.
    bool mayReuseConnection = true;
    http::watched_socket caller; // Cancels the attempt when its peer closes it.
    std::size_t maxBodyBytes = 1024 * 1024;
};

// Result of one attempt.
struct attempt_result {
    attempt_status status = attempt_status::notSent;
    std::shared_ptr<http::response_message> response; // Set for responded, responseTooLarge and refused.
    bool wasReused = false; // The connection came from the pool.
    steady_clock::time_point openedAt; // When the connection was opened.
    steady_clock::duration elapsed {};
};

// Runs one attempt at a time. After a response that is too large to buffer, keeps the connection so that the
// rest can be read. Not thread safe; the pool must outlive it.
class upstream_exchange {
public:
    explicit upstream_exchange(upstream_pool& pool)
        : m_pool(pool)
    {
    }

    // Sends the request and reads the response.
    attempt_result run(const http::request_message& request, const routing::upstream_state& upstream,
        const attempt_limits& limits);

    // After responseTooLarge: appends body bytes to `chunk` until it holds at least `maxBytes` bytes.
    // Returns `complete` after the last byte and `bodyTooLarge` while more follow.
    http::read_status readMore(
        std::string& chunk, std::size_t maxBytes, deadline limit, http::watched_socket watched);

private:
    attempt_result send(const http::request_message& request, const attempt_limits& limits);
    attempt_result receive(const http::request_message& request, const attempt_limits& limits);
    attempt_status toAttemptStatus(http::read_status status, const attempt_limits& limits) const;

    upstream_pool& m_pool;
    std::string m_address;
    std::optional<pooled_connection> m_connection;
    std::optional<http::body_reader> m_body;
    bool m_wasReused = false;
};

}
