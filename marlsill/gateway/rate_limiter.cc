#include "marlsill/gateway/rate_limiter.h"

#include "marlsill/events/events.h"

#include <charconv>
#include <cmath>

namespace marlsill::gateway {

namespace {

    // A VM that asks for a permit for a leaving upstream has not heard of it yet, but will have by then.
    constexpr std::chrono::milliseconds leavingPermitDelay { 1'000 };

    // Returns a limit in requests per second; std::nullopt if the text is not a decimal number of at least 0.
    std::optional<double> parseRateLimit(const std::string& text)
    {
        double value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        bool isValid = error == std::errc() && end == text.data() + text.size() && std::isfinite(value);
        return isValid && value >= 0 ? std::optional(value) : std::nullopt;
    }

}

rate_limiter::rate_limiter(const placement::load_balancer& balancer, traffic_counters& counters,
    std::function<void(const std::string& service)> onAnswer)
    : m_loadBalancer(balancer)
    , m_counters(counters)
    , m_onAnswer(std::move(onAnswer))
{
}

void rate_limiter::forgetUnregistered()
{
    auto isRegistered = [this](const auto& upstream) { return m_loadBalancer.find(upstream) != nullptr; };
    m_limits.retain(isRegistered);
    m_issuer.retain(isRegistered);
}

void rate_limiter::noteRunning()
{
    if (m_absenceDetector.noteRunning(boot_clock::now())) {
        m_limits.noteAbsence(steady_clock::now());
        m_issuer.retain([](const auto&) { return false; }); // Another VM may have issued permits meanwhile.
    }
}

void rate_limiter::requestPermit(
    const std::string& upstream, std::chrono::milliseconds maxDelay, steady_clock::time_point now)
{
    noteRunning();
    m_limits.noteRequested(upstream, now);
    const auto* known = m_loadBalancer.find(upstream);
    if (known && m_callbacks.requestPermit) {
        m_callbacks.requestPermit(*known, maxDelay);
    } else if (known) {
        applyPermit(upstream, issuePermit(upstream, maxDelay));
    }
}

placement::permit_answer rate_limiter::issuePermit(
    const std::string& upstream, std::chrono::milliseconds maxDelay)
{
    const auto* known = m_loadBalancer.find(upstream);
    if (known && !m_loadBalancer.isAcceptingRequests(upstream)) {
        return { false, leavingPermitDelay };
    }
    auto limit = m_limits.limitOf(upstream);
    return limit ? m_issuer.request(upstream, *limit, maxDelay, steady_clock::now())
                 : placement::permit_answer { true };
}

void rate_limiter::applyPermit(const std::string& upstream, const placement::permit_answer& answer)
{
    noteRunning();
    auto now = steady_clock::now();
    bool isOwn = !m_callbacks.requestPermit;
    if (!isOwn && m_limits.ignoresAnswers(now)) {
        return;
    }
    logEvent(event::permitAnswered,
        { { "upstream", upstream }, { "granted", answer.isGranted ? "1" : "0" },
            { "delay_ms", std::to_string(answer.delay.count()) } });
    if (answer.isGranted) {
        ++m_counters.permitsGranted;
        m_limits.grant(upstream, now + answer.delay);
    } else {
        ++m_counters.permitsRefused;
        m_limits.refuse(upstream, now + answer.delay);
    }
    if (const auto* known = m_loadBalancer.find(upstream)) {
        m_onAnswer(known->service);
    }
}

void rate_limiter::recordResponse(const std::string& upstream, const Poco::Net::MessageHeader& response,
    const std::string& name, steady_clock::time_point startedAt, steady_clock::time_point now)
{
    std::optional<double> limit;
    if (response.has(name)) {
        limit = parseRateLimit(response.get(name));
        if (!limit) {
            return;
        }
    }
    auto changed = m_limits.recordResponse(upstream, limit, startedAt, now);
    if (!changed) {
        return;
    }
    logEvent(event::upstreamLimitChanged,
        { { "upstream", upstream }, { "limit", limit ? std::to_string(*limit) : std::string("none") } });
    if (m_callbacks.report) {
        m_callbacks.report(*changed);
    }
}

}
