#include "marlsill/http/message_writer.h"

#include "marlsill/http/internal/header_check.h"

#include <Poco/NumberFormatter.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <sstream>
#include <utility>
#include <vector>

namespace marlsill::http {

namespace {

    constexpr const char* hopByHopFieldNames[]
        = { "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE",
              "Trailer", "Transfer-Encoding", "Upgrade", "Expect" };

    bool usuallyHasBody(const std::string& method)
    {
        return method == "POST" || method == "PUT" || method == "PATCH";
    }

    // Replaces the control characters of field values by spaces (RFC 9110, section 5.5). Values may come from
    // other places than a parsed message, such as the name of a stored object.
    void replaceControlCharacters(Poco::Net::HTTPMessage& head)
    {
        std::vector<std::pair<std::string, std::string>> fields;
        for (const auto& [name, value] : head) {
            if (!internal::isFieldValue(value)) {
                fields.emplace_back(name, value);
            }
        }
        for (auto& [name, value] : fields) {
            std::replace_if(
                value.begin(), value.end(),
                [](char character) {
                    return !internal::isFieldValue({ &character, 1 });
                },
                ' ');
            head.set(name, value);
        }
    }

    template <typename Head> std::string headBytes(Head head)
    {
        replaceControlCharacters(head);
        std::ostringstream stream;
        head.write(stream);
        return std::move(stream).str();
    }

}

void removeHopByHopFields(Poco::Net::HTTPMessage& message)
{
    Poco::StringTokenizer connectionOptions(message.get("Connection", ""), ",",
        Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    for (const auto& name : connectionOptions) {
        message.erase(name);
    }
    for (const char* name : hopByHopFieldNames) {
        message.erase(name);
    }
}

std::string serialize(const request_message& message)
{
    auto head = message.head;
    head.erase("Transfer-Encoding");
    if (!message.body.empty() || usuallyHasBody(head.getMethod())) {
        head.setContentLength64(static_cast<Poco::Int64>(message.body.size()));
    } else {
        head.erase("Content-Length");
    }
    return headBytes(head) + message.body;
}

std::string serialize(const response_message& message, std::string_view requestMethod)
{
    auto head = message.head;
    head.erase("Transfer-Encoding");
    int status = head.getStatus();
    if (status == 204) {
        head.erase("Content-Length");
        return headBytes(head);
    }
    if (requestMethod == "HEAD" || status == 304) {
        return headBytes(head);
    }
    head.setContentLength64(static_cast<Poco::Int64>(message.body.size()));
    return headBytes(head) + message.body;
}

std::string serializeHead(const Poco::Net::HTTPResponse& head) { return headBytes(head); }

std::string serializeChunk(std::string_view data)
{
    if (data.empty()) {
        return "0\r\n\r\n";
    }
    return Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(data.size())) + "\r\n"
        + std::string(data) + "\r\n";
}

response_message makeResponse(int status, std::string_view contentType, std::string body)
{
    response_message message;
    message.head.setVersion("HTTP/1.1");
    message.head.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    message.head.setContentType(std::string(contentType));
    message.body = std::move(body);
    return message;
}

}
