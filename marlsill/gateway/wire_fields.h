#pragma once

// Names of the header fields that callers, this fleet and upstreams exchange. A deployment sets its own.

#include <string>

namespace marlsill::gateway {

struct wire_fields {
    std::string requestId = "X-Request-Id"; // One per sending; upstreams echo it.
    std::string timeoutMs = "X-Request-Timeout-Ms"; // How long the sender will still wait, in milliseconds.
    std::string seal = "X-Answer-Seal"; // An upstream's proof over its answer; passed on untouched.
    std::string expectedUpstream = "X-Expected-Upstream"; // Any other upstream refuses the request.
    std::string notRun = "X-Refused"; // Its presence proves that the upstream has not run the request.
};

}
