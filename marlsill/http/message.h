#pragma once

// The HTTP messages that the readers of this library fill in, and how large they may get.
//
//     response_message response;
//     read_limits limits { .maxBodyBytes = 1 << 20 };

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstddef>
#include <string>

namespace marlsill::http {

// A request with its complete body, after removal of any transfer coding.
struct request_message {
    Poco::Net::HTTPRequest head;
    std::string body;
};

// A response with its complete body, after removal of any transfer coding.
struct response_message {
    Poco::Net::HTTPResponse head;
    std::string body;
};

// Size limits of one message.
struct read_limits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
};

}
