#pragma once

// A buffered TCP connection. Every blocking call takes a deadline, and a read can be cancelled by the closing
// of a second socket, such as the connection of the caller on whose behalf it waits.
//
//     channel connection(socket);
//     if (connection.fill(limit, callerSocket) == io_status::cancelled)
//         return; // The caller has closed its connection.

#include "marlsill/base/time.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <optional>
#include <string>
#include <string_view>

namespace marlsill::http {

// The result of one read or write.
enum class io_status {
    ok,
    closed, // The peer has shut down its sending half (end of stream).
    timedOut,
    cancelled, // The watched socket was closed by its peer.
    failed, // The connection was reset, or the socket reported an error.
};

// A socket that cancels a read on another connection when its peer closes it, and a descriptor that ends the
// read, as if its deadline had passed, once it is readable. Negative descriptors watch nothing.
struct watched_socket {
    int descriptor = -1;
    int endDescriptor = -1;
};

// One connection. Not thread safe, but different threads may use it one after the other.
class channel {
public:
    // Takes ownership of a connected socket and disables Nagle's algorithm on it.
    explicit channel(const Poco::Net::StreamSocket& socket);

    // Opens a connection. Returns std::nullopt if it is refused or not established by `limit`.
    static std::optional<channel> connect(const Poco::Net::SocketAddress& address, deadline limit);

    // Appends at least one byte from the socket to the buffer, blocking until `limit` at most.
    io_status fill(deadline limit, watched_socket watched = {});

    // Writes all of `bytes`, blocking until `limit` at most. After any status other than `ok`, an unknown
    // number of them has been sent.
    io_status write(std::string_view bytes, deadline limit);

    // Returns the bytes that were read but not consumed. The view is valid until the next call of fill() or
    // consume().
    std::string_view buffered() const { return std::string_view(m_buffer).substr(m_start); }

    // Removes the first `count` bytes from the buffer; `count` must not exceed buffered().size().
    void consume(std::size_t count);

    // Returns whether an idle connection can be reused: the peer has not closed it, and there are no unread
    // bytes.
    bool isIdleAndOpen() const;

    // Closes the connection immediately; unsent bytes may be lost.
    void close();

    // Returns this connection's socket, to be watched during reads on another connection.
    watched_socket watch() const { return { m_descriptor }; }

    const Poco::Net::StreamSocket& socket() const { return m_socket; }

private:
    Poco::Net::StreamSocket m_socket;
    int m_descriptor = -1;
    std::string m_buffer;
    std::size_t m_start = 0;
};

}
