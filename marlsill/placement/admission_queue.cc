#include "marlsill/placement/admission_queue.h"

namespace marlsill::placement {

namespace {

    constexpr std::chrono::milliseconds defaultWait { 300 }; // About the service time of one request.
    constexpr std::chrono::milliseconds minRetryAfter { 50 }; // About one round trip plus a new connection.
    constexpr std::chrono::milliseconds maxRetryAfter { 5'000 };

}

std::chrono::milliseconds expectedWait(const queue_load& load)
{
    if (load.slots == 0 || load.usual.count() == 0) {
        return defaultWait;
    }
    return load.usual * (load.waiting + 1) / load.slots;
}

bool shouldShed(std::chrono::milliseconds wait, std::chrono::milliseconds usual, bool isStanding,
    const answer_deadlines& deadlines, steady_clock::time_point now)
{
    auto due = isStanding ? std::min(deadlines.objective, deadlines.limit) : deadlines.limit;
    return now + wait + usual > due;
}

bool shouldShed(const queue_load& load, const answer_deadlines& deadlines, steady_clock::time_point now)
{
    return shouldShed(expectedWait(load), load.usual, load.isStanding, deadlines, now);
}

std::chrono::milliseconds retryAfter(std::chrono::milliseconds expected, double fraction)
{
    auto jittered = std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(expected.count()) * (1.0 + fraction)));
    return std::clamp(jittered, minRetryAfter, maxRetryAfter);
}

}
