#pragma once

// Names of the HTTP header fields exchanged with callers and upstreams. Each deployment sets its own names.

#include <string>

namespace marlsill::gateway {

struct wire_fields {
    std::string requestId = "X-Request-Id"; // New each time a caller sends a request; upstreams echo it.
    std::string timeoutMs = "X-Request-Timeout-Ms"; // How much longer the sender waits, in milliseconds.
    std::string authorization = "Authorization"; // The caller's key, as "Bearer KEY".
    // The name of the account that holds the key, set here where accounts are in force.
    std::string clientAccount = "X-Client-Account";
    // Where none are in force: the account that the caller names itself, if it does.
    std::string statedAccount = "X-Client-Account";
    std::string seal = "X-Answer-Seal"; // Proves the integrity of the upstream's response; forwarded as is.
    std::string expectedUpstream = "X-Expected-Upstream"; // Any other upstream rejects the request.
    std::string rateLimit
        = "X-Rate-Limit"; // Requests per second that the upstream takes from all VMs together.
    std::string leaving = "X-Leaving"; // "1" in all responses of an upstream that takes no new requests.
    std::string notRun = "X-Refused"; // Present if the upstream rejected the request without executing it.
};

}
