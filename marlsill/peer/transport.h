#pragma once

// Sends binary messages between processes over WebSocket connections.
//
// This header must stay valid C++17, because websocketpp, which implements it, does not compile as C++20.
//
//     transport links({ "10.0.0.1", 7000 }, handlers);
//     links.run(); // On a dedicated thread, until stop().

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace marlsill::peer {

// Identifies one connection within this process. Ids are not reused.
using link_id = std::uint64_t;

// An IP address and a port. Listening on port 0 selects a free port.
struct transport_address {
    std::string host;
    std::uint16_t port = 0;
};

// Callbacks, all of which run on the transport's thread.
struct transport_handlers {
    std::function<void(link_id link, bool isOutgoing)> opened;
    std::function<void(link_id link)> closed; // Also if the connection could not be opened.
    std::function<void(link_id link, const std::string& payload)> received;
    std::function<void()> ticked; // Called every tickMilliseconds.
};

// The largest message that is sent or accepted, in bytes.
constexpr std::size_t maxMessageBytes = 2 * 1024 * 1024;

// The interval between two calls of the `ticked` handler.
constexpr int tickMilliseconds = 50;

// A listening socket and its incoming and outgoing connections. Every function but run() is thread safe.
// post(), connect(), send() and close() take effect on the transport's thread.
class transport {
public:
    // Binds and starts to listen. Check isBound() before run().
    transport(const transport_address& address, transport_handlers handlers);
    ~transport();

    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    bool isBound() const;

    // Returns the bound address, with the port that was selected.
    transport_address address() const;

    // Runs the event loop until stop() is called.
    void run();

    // Makes run() return. Thread safe.
    void stop();

    // Runs a task on the transport's thread.
    void post(std::function<void()> task);

    // Starts to open a connection. The `opened` or `closed` handler reports the result.
    link_id connect(const transport_address& address);

    // Queues one message. It is dropped if the connection is not open.
    void send(link_id link, std::string payload);

    // Closes a connection immediately, without the WebSocket closing handshake.
    void close(link_id link);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
