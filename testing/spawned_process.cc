#include "testing/spawned_process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    constexpr std::chrono::milliseconds endCheck { 2 };

    // Pointers to the texts, with a null pointer at the end, as execve() takes them.
    std::vector<char*> pointersTo(std::vector<std::string>& texts)
    {
        std::vector<char*> pointers;
        for (auto& each : texts) {
            pointers.push_back(each.data());
        }
        pointers.push_back(nullptr);
        return pointers;
    }

}

spawned_process::spawned_process(spawn_options options)
    : m_options(std::move(options))
{
}

spawned_process::~spawned_process() { kill(); }

bool spawned_process::start()
{
    m_waitStatus.reset();
    auto words = m_options.arguments;
    words.insert(words.begin(), m_options.program);
    auto arguments = pointersTo(words);
    auto environment = pointersTo(m_options.environment);
    auto output = m_options.log.empty()
        ? m_options.output
        : ::open(m_options.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_pid = ::vfork();
    if (m_pid == 0) {
        // Only system calls here: the memory is the parent's until execve().
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No process outlives a test that is ended from outside.
        if (m_options.maxDescriptors > 0) {
            auto count = static_cast<rlim_t>(m_options.maxDescriptors);
            const rlimit limit { count, count };
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0); // Sockets of the test among them.
        ::execve(m_options.program.c_str(), arguments.data(), environment.data());
        ::_exit(127);
    }
    if (!m_options.log.empty() && output >= 0) {
        ::close(output);
    }
    return m_pid > 0;
}

void spawned_process::signal(int number)
{
    if (isRunning()) {
        ::kill(m_pid, number);
    }
}

void spawned_process::kill()
{
    signal(SIGKILL);
    awaitEnd(deadline::max());
}

bool spawned_process::isRunning()
{
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_waitStatus = status;
        m_pid = 0;
    }
    return m_pid > 0;
}

bool spawned_process::awaitEnd(deadline limit)
{
    while (isRunning()) {
        if (hasPassed(limit, steady_clock::now())) {
            return false;
        }
        std::this_thread::sleep_for(endCheck);
    }
    return true;
}

std::chrono::milliseconds spawned_process::processorTime() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/schedstat");
    std::int64_t nanoseconds = 0; // Of the main thread, which carries the traffic.
    file >> nanoseconds;
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::nanoseconds(nanoseconds));
}

std::size_t spawned_process::peakMemoryBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(6)) * 1'024; // The line is in KB.
        }
    }
    return 0;
}

std::string spawned_process::endText() const
{
    if (!m_waitStatus) {
        return {};
    }
    return WIFEXITED(*m_waitStatus) ? "exit status " + std::to_string(WEXITSTATUS(*m_waitStatus))
                                    : "signal " + std::to_string(WTERMSIG(*m_waitStatus));
}

std::optional<int> spawned_process::exitStatus() const
{
    return m_waitStatus && WIFEXITED(*m_waitStatus) ? std::optional(WEXITSTATUS(*m_waitStatus))
                                                    : std::nullopt;
}

}
