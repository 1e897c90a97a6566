#pragma once

// The commands of marlsillctl.

#include "marlsill/settings/settings.h"

#include <Poco/Net/SocketAddress.h>
#include <span>
#include <string>

namespace marlsill::ctl {

// Exit statuses beyond 0 and exitUsage.
constexpr int exitRefused = 1; // The document was refused, or conflicts with another change.
constexpr int exitUnknown = 3; // Whether the change was accepted cannot be told now.
constexpr int exitUnavailable = 4; // Nothing has changed.

// Where and how to reach an entry VM.
struct connection_options {
    Poco::Net::SocketAddress address;
    std::string operatorKey;
    bool isJson = false;
    bool waits = false; // Until an accepted change is in force everywhere.
    std::string operation; // Of a submission that is sent again.
};

// Runs the command that `words` name and returns the exit status.
int runCommand(const connection_options& options, std::span<const std::string> words);

// The commands with their arguments, for the help text.
extern const char* const commandSummary;

}
