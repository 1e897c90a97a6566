#pragma once

// Decides how long to collect messages for the peers before they are sent together.
//
//     batch_schedule schedule({ .delay = std::chrono::milliseconds(30) });
//     sendAt = schedule.sendAt(true, now);
//
// Peers that hear late of a failing upstream lose further requests to it, so that evidence is sent at once;
// while it comes often, it is batched like everything else. Not thread safe.

#include "marlsill/base/time.h"

#include <algorithm>
#include <chrono>

namespace marlsill::cluster {

// Settings of a batch schedule.
struct batch_schedule_options {
    std::chrono::milliseconds delay { 30 };
    std::chrono::milliseconds urgentDelay { 2 }; // Of what peers need at once.
};

// See the file comment.
class batch_schedule {
public:
    explicit batch_schedule(batch_schedule_options options = {})
        : m_options(options)
    {
    }

    // Returns when a batch with a new message must be sent. Two urgent batches are at least `delay` apart.
    deadline sendAt(bool isUrgent, steady_clock::time_point now)
    {
        if (!m_isPending) {
            m_sendAt = now + m_options.delay;
        }
        m_isPending = true;
        if (isUrgent) {
            m_sendAt = std::min(m_sendAt, std::max(now + m_options.urgentDelay, m_nextUrgent));
        }
        return m_sendAt;
    }

    // Records that a batch is sent.
    void recordSent(steady_clock::time_point now)
    {
        m_isPending = false;
        m_nextUrgent = now + m_options.delay;
    }

private:
    batch_schedule_options m_options;
    bool m_isPending = false;
    deadline m_sendAt {};
    deadline m_nextUrgent {};
};

}
