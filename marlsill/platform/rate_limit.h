#pragma once

// A token bucket and a retry schedule that keep a VM within its share of the platform's call rate.
//
//     token_bucket calls({ .perSecond = 2, .burst = 20 }, steady_clock::now());
//     if (!calls.tryTake(steady_clock::now()))
//         return fail(why, reason_code::unavailable, "own rate limit");

#include "marlsill/base/time.h"

#include <random>

namespace marlsill::platform {

// Options of a token bucket.
struct token_bucket_options {
    double perSecond = 1;
    double burst = 10;
};

// A token bucket. Not thread safe.
class token_bucket {
public:
    // Starts full at `now`.
    token_bucket(token_bucket_options options, steady_clock::time_point now);

    // Takes one token if there is one.
    bool tryTake(steady_clock::time_point now);

private:
    token_bucket_options m_options;
    double m_tokens;
    steady_clock::time_point m_updated;
};

// Options of an exponential backoff with full jitter.
struct backoff_options {
    std::chrono::milliseconds first { 200 };
    std::chrono::milliseconds last { 30'000 };
};

// Successive moments to try again. Full jitter keeps VMs that failed together from returning together. Not
// thread safe.
class backoff {
public:
    explicit backoff(backoff_options options = {});

    // Counts a failure and returns when to try again.
    deadline nextTry(steady_clock::time_point now, std::mt19937_64& random);

    // Forgets all failures.
    void reset() { m_failures = 0; }

private:
    backoff_options m_options;
    int m_failures = 0;
};

}
