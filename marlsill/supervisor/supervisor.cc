#include "marlsill/supervisor/supervisor.h"

#include "marlsill/base/random.h"
#include "marlsill/events/events.h"
#include "marlsill/platform/rate_limit.h"

#include <condition_variable>
#include <exception>
#include <mutex>

namespace marlsill {

namespace {

    void sleepUntil(deadline limit, const std::stop_token& stop)
    {
        std::mutex mutex;
        std::condition_variable_any stopped;
        std::unique_lock lock(mutex);
        stopped.wait_until(lock, stop, limit, [] { return false; });
    }

}

supervisor::supervisor(std::string name, supervisor_options options)
    : m_name(std::move(name))
    , m_options(options)
{
}

supervisor::~supervisor() { stop(); }

void supervisor::add(std::string name, part_work work)
{
    m_parts.push_back({ std::move(name), std::move(work), {} });
}

void supervisor::start()
{
    for (auto& each : m_parts) {
        each.thread = std::jthread([this, &each](const std::stop_token& stop) { runPart(each, stop); });
    }
}

void supervisor::stop()
{
    for (auto each = m_parts.rbegin(); each != m_parts.rend(); ++each) {
        each->thread.request_stop();
        if (each->thread.joinable()) {
            each->thread.join();
        }
    }
}

void supervisor::runPart(const part& self, const std::stop_token& stop) const
{
    platform::backoff pauses({ m_options.firstPause, m_options.lastPause });
    while (!stop.stop_requested()) {
        std::string cause = "ended by itself";
        try {
            self.work(stop);
        } catch (const std::exception& error) {
            cause = error.what();
        }
        if (stop.stop_requested()) {
            return;
        }
        logEvent(event::partFailed, { { "part", m_name + "/" + self.name }, { "cause", cause } });
        sleepUntil(pauses.nextTry(steady_clock::now(), threadRandom()), stop);
        if (!stop.stop_requested()) {
            logEvent(event::partRestarted, { { "part", m_name + "/" + self.name } });
        }
    }
}

part_work supervisor::asPart()
{
    return [this](const std::stop_token& stop) {
        start();
        sleepUntil(deadline::max(), stop);
        this->stop();
    };
}

}
