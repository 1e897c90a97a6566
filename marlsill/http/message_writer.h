#pragma once

// Serializes HTTP/1.1 messages.
//
//     connection.write(serialize(response), limit);

#include "marlsill/http/message_reader.h"

#include <string>
#include <string_view>

namespace marlsill::http {

// Removes the hop-by-hop header fields, including those listed in the Connection field, and Expect.
void removeHopByHopFields(Poco::Net::HTTPMessage& message);

// Serializes a request with a Content-Length that matches its body. The field is omitted if the body is empty
// and the method is none of POST, PUT and PATCH.
std::string serialize(const request_message& message);

// Serializes the response to a request of method `requestMethod` with a Content-Length that matches its body.
// A response to HEAD and a 304 response have no body and keep the Content-Length of `message`; a 204 response
// has none.
std::string serialize(const response_message& message, std::string_view requestMethod);

// Serializes the start line and header fields unchanged.
std::string serializeHead(const Poco::Net::HTTPResponse& head);

// Returns one chunk of a chunked body. An empty `data` returns the last chunk and the end of the trailer
// section.
std::string serializeChunk(std::string_view data);

// Builds an HTTP/1.1 response with a body of the given content type.
response_message makeResponse(int status, std::string_view contentType, std::string body);

}
