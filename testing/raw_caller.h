#pragma once

// A caller's connection that sends requests as bytes and reads answers, for tests.
//
//     raw_caller caller("127.0.0.1:8080", fields);
//     caller.sendRequest("POST", "/once/a", "r1", 2000, "body");
//     auto answer = caller.receive();

#include "marlsill/gateway/wire_fields.h"

#include <Poco/Net/StreamSocket.h>
#include <string>

namespace marlsill::testing {

// An answer as it came.
struct raw_answer {
    int status = 0; // 0 when the connection ended without one.
    std::string head;
    std::string body;
    bool isWhole = true; // All bytes that the head announced have come.

    bool has(const std::string& text) const { return head.find(text) != std::string::npos; }

    // Returns the value of a header field, or an empty string.
    std::string field(const std::string& name) const;
};

class raw_caller {
public:
    // Connects. Throws a Poco exception if nobody listens.
    explicit raw_caller(const std::string& address, gateway::wire_fields fields = {});

    // Connects from a local IP address, any if it is empty.
    raw_caller(const std::string& address, const std::string& from, gateway::wire_fields fields);

    void send(const std::string& text);

    // `extraFields` are whole header lines, each with its line end.
    void sendRequest(const std::string& method, const std::string& path, const std::string& id,
        int timeoutMs = 2000, const std::string& body = {}, const std::string& extraFields = {});
    raw_answer receive();

    // Returns whether the other side has closed the connection.
    bool isEnded() { return m_buffer.empty() && !fill(); }

    void close() { m_socket.close(); }

    // Closes the connection with a reset.
    void reset()
    {
        m_socket.setLinger(true, 0);
        m_socket.close();
    }

private:
    bool fill();

    const gateway::wire_fields m_fields;
    Poco::Net::StreamSocket m_socket;
    std::string m_buffer;
};

}
