#include "marlsill/events/internal/bounded_appender.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace marlsill::internal {

namespace {

    // A pipe that polls as writable takes this many bytes without waiting.
    constexpr std::size_t maxLineBytes = PIPE_BUF;

}

bounded_appender::bounded_appender(int descriptor, bounded_appender_options options)
    : m_descriptor(descriptor)
    , m_options(options)
    , m_tokens(options.burst)
    , m_filledAt(std::chrono::steady_clock::now())
{
}

bounded_appender::~bounded_appender() { destructorImpl(); }

bool bounded_appender::takeToken()
{
    auto now = std::chrono::steady_clock::now();
    std::chrono::duration<double> passed = now - m_filledAt;
    m_filledAt = now;
    m_tokens = std::min(m_options.burst, m_tokens + passed.count() * m_options.linesPerSecond);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

bool bounded_appender::write(std::string_view line)
{
    pollfd entry { m_descriptor, POLLOUT, 0 };
    if (::poll(&entry, 1, 0) != 1 || !(entry.revents & POLLOUT)) {
        return false;
    }
    return ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void bounded_appender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    std::string line = formatEvent(event);
    if (line.size() > maxLineBytes) {
        line.resize(maxLineBytes - 1);
        line.push_back('\n');
    }
    if (!takeToken() || !write(line)) {
        ++m_dropped;
        return;
    }
    if (m_dropped > m_reported) {
        auto note = "WARN E1006 log_lines_dropped lines=" + std::to_string(m_dropped - m_reported) + "\n";
        m_reported = write(note) ? m_dropped : m_reported;
    }
}

}
