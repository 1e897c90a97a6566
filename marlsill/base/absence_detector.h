#pragma once

// Notices that this process did not run for a while: it was stopped, or its VM was suspended.
//
//     absence_detector detector(std::chrono::milliseconds(1'000));
//     if (auto absence = detector.noteRunning(boot_clock::now()))
//         refreshWhatOthersKnow();
//
// Call noteRunning() several times within the shortest absence that matters. Not thread safe.

#include <chrono>
#include <ctime>
#include <optional>

namespace marlsill {

// A monotonic clock that, unlike std::chrono::steady_clock, also counts the time in which the VM is
// suspended.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;

    static time_point now()
    {
        timespec value {};
        clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
    }
};

class absence_detector {
public:
    explicit absence_detector(std::chrono::milliseconds shortestAbsence)
        : m_shortestAbsence(shortestAbsence)
    {
    }

    // Records that the process runs at `now`. Returns for how long it did not before, if that is at least the
    // shortest absence.
    std::optional<std::chrono::milliseconds> noteRunning(boot_clock::time_point now)
    {
        auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_hasRun ? now - m_lastRunning : boot_clock::duration::zero());
        m_lastRunning = now;
        m_hasRun = true;
        return gap >= m_shortestAbsence ? std::optional(gap) : std::nullopt;
    }

private:
    const std::chrono::milliseconds m_shortestAbsence;
    boot_clock::time_point m_lastRunning;
    bool m_hasRun = false;
};

}
