#pragma once

// A caller that follows the directory, as docs/operators/interfaces.md asks callers to.
//
//     directory_view directory({ seedAddress }, "bookings");
//     caller client(directory);
//     auto answer = client.send(request, limit);

#include "marlsill/base/reason.h"
#include "marlsill/http/client.h"

#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace marlsill::load {

// One address from the directory's answer.
struct entry_address {
    Poco::Net::SocketAddress address;
    std::string keyPrefix;
};

// The directory's latest answer for one service, shared by callers. Thread safe.
class directory_view {
public:
    // `seeds` are entry VMs to ask; any of them will do.
    directory_view(std::vector<Poco::Net::SocketAddress> seeds, std::string service);

    // Returns the addresses to use now, asking again when the last answer has run out. Falls back to the last
    // answer when nobody answers.
    std::vector<entry_address> addresses();

private:
    bool ask(const Poco::Net::SocketAddress& address);

    const std::vector<Poco::Net::SocketAddress> m_seeds;
    const std::string m_service;
    std::mutex m_mutex; // Guards everything below.
    std::vector<entry_address> m_addresses;
    deadline m_expires;
    std::size_t m_nextSeed = 0;
};

// What a caller saw of one request.
struct call_result {
    bool isWhole = false; // A whole answer came.
    int status = 0;
    std::string outcome; // The X-Outcome field; empty when no whole answer came.
    std::string outcomeReason;
    http::response_message answer;
    std::string sentTo;
};

// Sends requests over kept connections, one at a time. Not thread safe.
class caller {
public:
    // Sends one request to one address. A request on a kept connection that had been closed meanwhile is not
    // sent again here, as only the application knows whether it may be.
    call_result send(
        const Poco::Net::SocketAddress& address, const http::request_message& request, deadline limit);

private:
    std::map<std::string, http::channel> m_connections;
};

}
