#pragma once

// Names of the HTTP header fields exchanged with callers and upstreams. Each deployment sets its own names.

#include <string>

namespace marlsill::gateway {

struct wire_fields {
    std::string requestId = "X-Request-Id"; // New each time a caller sends a request; upstreams echo it.
    std::string timeoutMs = "X-Request-Timeout-Ms"; // How much longer the sender waits, in milliseconds.
    std::string clientAccount = "X-Client-Account"; // Of the caller, if the request names one.
    std::string seal = "X-Answer-Seal"; // Proves the integrity of the upstream's response; forwarded as is.
    std::string expectedUpstream = "X-Expected-Upstream"; // Any other upstream rejects the request.
    std::string rateLimit
        = "X-Rate-Limit"; // Requests per second that the upstream takes from all VMs together.
    std::string leaving = "X-Leaving"; // "1" in all responses of an upstream that takes no new requests.
    std::string notRun = "X-Refused"; // Present if the upstream rejected the request without executing it.
};

}
