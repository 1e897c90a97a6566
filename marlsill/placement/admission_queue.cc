#include "marlsill/placement/admission_queue.h"

namespace marlsill::placement {

namespace {

    constexpr std::chrono::milliseconds unknownWait { 300 }; // About one service time.
    constexpr std::chrono::milliseconds minRetryAfter { 50 }; // About one round trip and a new connection.
    constexpr std::chrono::milliseconds maxRetryAfter { 5'000 };

}

std::chrono::milliseconds expectedWait(const queue_load& outlook)
{
    if (outlook.slots == 0 || outlook.usual.count() == 0) {
        return unknownWait;
    }
    return outlook.usual * (outlook.waiting + 1) / outlook.slots;
}

bool shouldShed(const queue_load& outlook, const answer_deadlines& limits, steady_clock::time_point now)
{
    auto due = outlook.isStanding ? std::min(limits.objective, limits.limit) : limits.limit;
    return now + expectedWait(outlook) + outlook.usual > due;
}

std::chrono::milliseconds retryAfter(std::chrono::milliseconds expected, double fraction)
{
    auto spread = std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(expected.count()) * (1.0 + fraction)));
    return std::clamp(spread, minRetryAfter, maxRetryAfter);
}

}
