#include "marlsill/events/internal/bounded_appender.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

namespace marlsill::internal {

namespace {

    // log4cplus can be started once in a process.
    void startLibrary() { static log4cplus::Initializer initializer; }

    struct pipe_pair {
        int ends[2] = { -1, -1 };

        pipe_pair() { REQUIRE(::pipe(ends) == 0); }

        ~pipe_pair()
        {
            ::close(ends[0]);
            ::close(ends[1]);
        }

        std::string readAll() const
        {
            ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
            std::string all;
            char chunk[4096];
            for (ssize_t count = 0; (count = ::read(ends[0], chunk, sizeof chunk)) > 0;) {
                all.append(chunk, static_cast<std::size_t>(count));
            }
            return all;
        }
    };

    // Logs `lines` lines of `size` bytes and returns how long that took.
    std::chrono::steady_clock::duration logLines(bounded_appender& appender, int lines, std::size_t size)
    {
        auto start = std::chrono::steady_clock::now();
        for (int line = 0; line < lines; ++line) {
            log4cplus::spi::InternalLoggingEvent event(
                "test", log4cplus::INFO_LOG_LEVEL, std::string(size, 'x'), __FILE__, __LINE__);
            appender.doAppend(event);
        }
        return std::chrono::steady_clock::now() - start;
    }

}

TEST_CASE("A reader that has stopped slows nobody down, and the gap is told")
{
    startLibrary();
    pipe_pair pipe;
    bounded_appender appender(pipe.ends[1]);
    CHECK(logLines(appender, 2'000, 200) < std::chrono::seconds(1));
    CHECK(appender.dropped() > 0);
    pipe.readAll();
    logLines(appender, 2, 10);
    CHECK(pipe.readAll().find("E1006 log_lines_dropped lines=") != std::string::npos);
}

TEST_CASE("The rate of lines is bounded, whatever is logged")
{
    startLibrary();
    pipe_pair pipe;
    bounded_appender appender(pipe.ends[1], { .linesPerSecond = 1, .burst = 10 });
    logLines(appender, 100, 10);
    CHECK(appender.dropped() >= 88);
}

TEST_CASE("A long line is cut, and still one line")
{
    startLibrary();
    pipe_pair pipe;
    bounded_appender appender(pipe.ends[1]);
    logLines(appender, 1, 20'000);
    auto written = pipe.readAll();
    CHECK(written.size() <= 4'096);
    CHECK(written.find('\n') == written.size() - 1);
}

}
