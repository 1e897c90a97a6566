#pragma once

// What VMs tell each other about the rate limits of client accounts.
//
//     token_request request { .account = "acme", .number = 17, .wanted = 1, .limit = limit };
//
// Each request has a number that its sender never uses again; the answer repeats it, so that a late or second
// copy of an answer is recognised.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace marlsill::accounts {

// The limit of an account as one version of the configuration states it.
struct account_limit {
    double requestsPerSecond = 0; // 0: no limit.
    double burst = 0; // Tokens; less than 1 counts as 1.
    std::uint64_t version = 0; // Of the configuration.

    bool operator==(const account_limit&) const = default;
};

// Asks the lender of an account for tokens.
struct token_request {
    std::string account;
    std::uint64_t number = 0;
    int wanted = 1;
    account_limit limit; // That the sender knows.

    bool operator==(const token_request&) const = default;
};

struct token_answer {
    std::string account;
    std::uint64_t number = 0;
    int tokens = 0;
    std::chrono::milliseconds delay {}; // Without tokens: until the sender should ask again.
    bool isLending = false; // Whether the VM holds a share of the limit; otherwise another one may.

    bool operator==(const token_answer&) const = default;
};

// Asks the holder of a share of an account's limit to lease it to the sender, or gives the share back.
struct share_request {
    std::string account;
    std::uint64_t number = 0;
    account_limit limit; // That the sender knows.
    bool isRelease = false;
    double tokens = 0; // That come back with the share; only if `isRelease`.

    bool operator==(const share_request&) const = default;
};

// The answer to a request for a share; a release has none.
struct share_answer {
    std::string account;
    std::uint64_t number = 0;
    bool isGranted = false;
    double tokens = 0; // That come with the share.

    bool operator==(const share_answer&) const = default;
};

// What one datagram holds of these.
struct limit_message {
    std::vector<token_request> tokenRequests;
    std::vector<token_answer> tokenAnswers;
    std::vector<share_request> shareRequests;
    std::vector<share_answer> shareAnswers;

    bool isEmpty() const
    {
        return tokenRequests.empty() && tokenAnswers.empty() && shareRequests.empty() && shareAnswers.empty();
    }
    bool operator==(const limit_message&) const = default;
};

}
