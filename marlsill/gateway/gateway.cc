#include "marlsill/gateway/gateway.h"

#include "marlsill/events/events.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace marlsill::gateway {

namespace {

    constexpr std::int64_t maxTimeoutMs = 3'600'000;
    constexpr std::chrono::milliseconds startWait { 500 }; // For a VM that knows no configuration yet.
    constexpr std::chrono::milliseconds moveWait { 50 }; // For a caller that only has to go elsewhere.
    constexpr std::chrono::milliseconds stopCheck { 50 };
    constexpr std::chrono::milliseconds lastWrites { 250 }; // For answers to leave the VM before it ends.
    constexpr int latencyHeadroom = 2; // Times the usual latency that a request needs before the end.

    // Returns the time that the caller will wait, or nothing if the field is absent. `isValid` tells the
    // rest.
    std::optional<std::chrono::milliseconds> callerTimeout(const std::string& text, bool& isValid)
    {
        isValid = true;
        if (text.empty()) {
            return std::nullopt;
        }
        std::int64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        isValid = error == std::errc() && end == text.data() + text.size() && value >= 0;
        return std::chrono::milliseconds(std::min(value, maxTimeoutMs));
    }

    asio::awaitable<void> pauseFor(asio::io_context& io, std::chrono::milliseconds length)
    {
        asio::steady_timer timer(io, length);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

}

gateway::gateway(asio::io_context& io, gateway_options options, wire_fields wire)
    : m_io(io)
    , m_options(std::move(options))
    , m_forwarder(io, m_options.forwarding, std::move(wire))
    , m_callers(io,
          { .endpoint = m_options.callers,
              .limits
              = [this] { return m_forwarder.rules() ? m_forwarder.rules()->limits : caller_limits(); } },
          [this](auto request) { return serve(std::move(request)); })
{
}

std::string gateway::start()
{
    auto wrong = m_callers.start();
    if (wrong.empty()) {
        asio::co_spawn(m_io, sweepLoop(), asio::detached);
    }
    return wrong;
}

bool gateway::isReady() const { return m_knowsUpstreams && m_forwarder.rules() && !isStopping(); }

http::response_message gateway::notRouted(const served_request& request, int status, std::string_view why)
{
    const auto& rules = m_forwarder.rules();
    ++m_forwarder.counters().noRoute;
    logEvent(event::requestNotRouted,
        { { "request", request.message.head.get(m_forwarder.wire().requestId, "") },
            { "status", std::to_string(status) }, { "why", std::string(why) },
            { "config", rules ? std::to_string(rules->version) : "none" } });
    auto message = status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE
        ? m_forwarder.makeRefusal(why, isStopping() ? moveWait : startWait)
        : m_forwarder.makeAnswer(status, why);
    return message;
}

bool gateway::canFinish(const route& routed, steady_clock::time_point now)
{
    if (!m_exitAt || routed.parts.empty()) {
        return !m_exitAt;
    }
    auto usual = m_forwarder.board().statsOf(routed.parts.front().service, now).latencyMs;
    return now + std::chrono::milliseconds(latencyHeadroom * usual) + lastWrites < *m_exitAt;
}

asio::awaitable<std::optional<http::response_message>> gateway::serve(std::shared_ptr<served_request> request)
{
    const auto& head = request->message.head;
    const auto& wire = m_forwarder.wire();
    auto rules = m_forwarder.rules();
    if (!rules || !m_knowsUpstreams) {
        co_return notRouted(*request, 503, "no configuration is known yet");
    }
    const auto* routed = rules->findRoute(head.getHost(), head.getURI());
    if (!routed) {
        co_return notRouted(*request, 404, "no route");
    }
    bool isValid = true;
    auto timeout = callerTimeout(head.get(wire.timeoutMs, ""), isValid);
    if (!isValid) {
        co_return notRouted(*request, 400, "malformed time limit");
    }
    if (!canFinish(*routed, steady_clock::now())) {
        co_return notRouted(*request, 503, "this VM is stopping");
    }
    auto current = std::make_shared<request_run>(m_io, std::move(request->message));
    current->id = current->request.head.get(wire.requestId, "");
    current->caller = request->caller;
    current->arrivedAt = request->arrivedAt;
    current->callerLimit = request->arrivedAt + timeout.value_or(std::chrono::milliseconds(maxTimeoutMs));
    current->rules = rules;
    current->routed = routed;
    request->message.head.setMethod(current->request.head.getMethod());
    request->cancel = [current] { current->cancel(); };
    auto answer = co_await m_forwarder.run(current);
    request->cancel = {};
    if (!answer) {
        co_return std::nullopt;
    }
    if (!answer->isFromUpstream && !current->id.empty()) {
        answer->message.head.set(wire.requestId, current->id);
    }
    co_return std::move(answer->message);
}

asio::awaitable<void> gateway::sweepLoop()
{
    while (true) {
        co_await pauseFor(m_io, m_options.sweepPause);
        m_forwarder.sweep();
        m_callers.sweep();
    }
}

void gateway::beginStop(deadline exitAt, std::function<void()> onDone)
{
    if (m_exitAt) {
        return;
    }
    m_exitAt = exitAt;
    m_callers.beginDrain();
    asio::co_spawn(m_io, stopLoop(std::move(onDone)), asio::detached);
}

asio::awaitable<void> gateway::stopLoop(std::function<void()> onDone)
{
    auto mayEndAt = std::min(*m_exitAt, deadlineAfter(m_options.moveAwayTime));
    auto idleSince = steady_clock::now();
    while (!hasPassed(*m_exitAt, steady_clock::now())) {
        co_await pauseFor(m_io, stopCheck);
        auto now = steady_clock::now();
        if (m_forwarder.inWork() > 0 || m_callers.isBusy()) {
            idleSince = now;
        }
        if (hasPassed(mayEndAt, now) && now - idleSince > lastWrites) {
            break;
        }
    }
    m_callers.stopAccepting();
    onDone();
}

}
