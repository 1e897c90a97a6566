#include "marlsill/entry/connection_server.h"

#include "marlsill/events/events.h"

#include <Poco/Exception.h>
#include <thread>

namespace marlsill::entry {

namespace {

    constexpr std::int64_t pollTimeoutMicroseconds = 100'000;
    constexpr int listenBacklog = 1024;
    constexpr std::chrono::milliseconds acceptPause { 10 };
    constexpr std::chrono::seconds idleScanInterval { 1 };

}

connection_server::connection_server(const server_options& options, serve_function serve)
    : m_options(options)
    , m_serve(std::move(serve))
    , m_socket(options.address, listenBacklog)
    , m_address(m_socket.address())
{
}

connection_server::~connection_server() { drain(steady_clock::now()); }

void connection_server::start()
{
    m_socket.setBlocking(false);
    m_pollSet.add(m_socket, Poco::Net::PollSet::POLL_READ);
    m_poller = std::jthread([this](const std::stop_token& stop) { runPoller(stop); });
    for (int index = 0; index < m_options.workers; ++index) {
        m_workers.emplace_back([this](const std::stop_token& stop) { runWorker(stop); });
    }
}

void connection_server::runPoller(const std::stop_token& stop)
{
    auto nextScan = deadlineAfter(idleScanInterval);
    while (!stop.stop_requested()) {
        try {
            for (const auto& [socket, mode] : m_pollSet.poll(Poco::Timespan(pollTimeoutMicroseconds))) {
                if (socket == m_socket) {
                    acceptPending();
                } else {
                    enqueueReadable(socket);
                }
            }
            if (hasPassed(nextScan, steady_clock::now())) {
                closeExpired(steady_clock::now());
                nextScan = deadlineAfter(idleScanInterval);
            }
        } catch (const std::exception& error) {
            logEvent(event::handlerFailed, { { "loop", "traffic/poller" }, { "cause", error.what() } });
        }
    }
}

void connection_server::acceptPending()
{
    try {
        auto accepted = m_socket.acceptConnection();
        if (m_isDraining) {
            return; // Closed unread, so that the caller goes elsewhere at once.
        }
        accepted.setBlocking(true);
        if (m_openConnections.load() >= m_options.maxConnections) {
            return;
        }
        ++m_openConnections;
        addIdle(std::make_shared<connection>(http::channel(accepted), deadline()));
    } catch (const Poco::Exception&) {
        // The caller closed the connection before it was accepted, or there is no descriptor for it now. Then
        // the socket stays readable, and the next attempt would fail at once.
        std::this_thread::sleep_for(acceptPause);
    }
}

void connection_server::addIdle(std::shared_ptr<connection> idle)
{
    idle->idleDeadline = deadlineAfter(m_options.idleTimeout);
    auto socket = idle->channel.socket();
    {
        std::lock_guard lock(m_mutex);
        m_idle[idle->channel.watch().descriptor] = std::move(idle);
    }
    m_pollSet.add(socket, Poco::Net::PollSet::POLL_READ);
}

void connection_server::enqueueReadable(const Poco::Net::Socket& socket)
{
    m_pollSet.remove(socket);
    std::lock_guard lock(m_mutex);
    auto found = m_idle.find(socket.impl()->sockfd());
    if (found == m_idle.end()) {
        return;
    }
    m_readable.push_back(std::move(found->second));
    m_idle.erase(found);
    ++m_activeConnections;
    m_readableChanged.notify_one();
}

void connection_server::closeExpired(steady_clock::time_point now)
{
    std::vector<std::shared_ptr<connection>> expired;
    {
        std::lock_guard lock(m_mutex);
        std::erase_if(m_idle, [&](const auto& item) {
            bool isExpired = m_isDraining || hasPassed(item.second->idleDeadline, now);
            if (isExpired) {
                expired.push_back(item.second);
            }
            return isExpired;
        });
    }
    for (auto& each : expired) {
        m_pollSet.remove(each->channel.socket());
        --m_openConnections;
    }
}

void connection_server::runWorker(const std::stop_token& stop)
{
    while (true) {
        std::shared_ptr<connection> current;
        {
            std::unique_lock lock(m_mutex);
            if (!m_readableChanged.wait(lock, stop, [this] { return !m_readable.empty(); })) {
                return;
            }
            current = std::move(m_readable.front());
            m_readable.pop_front();
        }
        bool isOpen = false;
        try {
            do {
                isOpen = m_serve(current->channel);
            } while (isOpen && !current->channel.buffered().empty());
            if (isOpen && !m_isDraining) {
                addIdle(std::move(current));
            } else {
                isOpen = false;
            }
        } catch (const std::exception& error) {
            isOpen = false;
            logEvent(event::partFailed, { { "part", "traffic/worker" }, { "cause", error.what() } });
        }
        m_openConnections -= isOpen ? 0 : 1;
        --m_activeConnections;
    }
}

void connection_server::drain(deadline limit)
{
    m_isDraining = true;
    while (m_activeConnections.load() > 0 && !hasPassed(limit, steady_clock::now())) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    m_poller = {};
    for (auto& each : m_workers) {
        each.request_stop();
    }
    if (m_activeConnections.load() == 0) {
        m_workers.clear(); // Others are joined when they have finished their requests, see the destructor.
    }
    closeExpired(deadline::max());
    m_socket.close();
}

}
