#pragma once

// Reports about finished requests, for the record and the service-level report.

#include "marlsill/entry/outcome.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace marlsill::entry {

// Report about one finished request. The views are valid only during the call of report_outcome_function.
struct request_report {
    std::string_view service;
    std::string_view upstream; // Empty if none responded.
    std::string_view key; // Empty for requests without a key.
    bool isNotRepeatable = false;
    outcome requestOutcome = outcome::unknown;
    std::string_view outcomeReason;
    int status = 0; // HTTP status of the response.
    std::chrono::steady_clock::duration elapsed {};
    std::chrono::milliseconds latencyObjective {}; // Latency objective of the service.
};

// Receives a report. Called by worker threads, so it must not block.
using report_outcome_function = std::function<void(const request_report&)>;

}
