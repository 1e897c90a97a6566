#pragma once

// Writes log lines to a descriptor without ever waiting for its reader, and at a bounded rate.
//
//     log4cplus::SharedAppenderPtr appender(new bounded_appender(STDOUT_FILENO));

#include <chrono>
#include <cstdint>
#include <log4cplus/appender.h>
#include <string>
#include <string_view>

namespace marlsill::internal {

// Settings of an appender.
struct bounded_appender_options {
    double linesPerSecond = 1'500; // Three lines a request at the rate of one VM at the target size.
    double burst = 3'000; // Lines; two seconds of that.
};

// Thread safe, as log4cplus locks its appenders.
class bounded_appender : public log4cplus::Appender {
public:
    explicit bounded_appender(int descriptor, bounded_appender_options options = {});
    ~bounded_appender() override;

    void close() override { closed = true; }

    // Returns how many lines were left out so far.
    std::uint64_t dropped() const { return m_dropped; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    bool takeToken();
    bool write(std::string_view line);

    const int m_descriptor;
    const bounded_appender_options m_options;
    double m_tokens;
    std::chrono::steady_clock::time_point m_filledAt;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
};

}
