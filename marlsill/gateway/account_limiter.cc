#include "marlsill/gateway/account_limiter.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marlsill::gateway {

namespace {

    using std::chrono::milliseconds;

    constexpr int maxLocalTurns = 4; // Of a query that this VM answers itself.

    // Returns the time until a point, rounded up and at least 1 ms.
    milliseconds timeUntil(boot_clock::time_point until, boot_clock::time_point now)
    {
        return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(until - now));
    }

    std::unique_ptr<accounts::limit_lender> makeLender(
        const std::string& self, const accounts::limit_bound& bound)
    {
        return std::make_unique<accounts::limit_lender>(self, accounts::lenderOptionsFor(bound));
    }

}

account_limiter::account_limiter(
    asio::io_context& io, account_limiter_options options, traffic_counters& counters)
    : m_options(options)
    , m_counters(counters)
    , m_lender(makeLender(m_peers.self, m_options.bound))
    , m_borrower({ .tokenLifetime = accounts::tokenLifetimeFor(m_options.bound) })
    , m_timer(io)
{
    m_alone.push_back(m_peers.self);
}

void account_limiter::setPeers(account_limiter_peers peers)
{
    m_peers = std::move(peers);
    m_alone = { m_peers.self };
    m_lender = makeLender(m_peers.self, m_options.bound);
}

void account_limiter::start(bool isAlone)
{
    auto now = boot_clock::now();
    m_lender->start(now, isAlone);
    m_borrower.start(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count()));
}

accounts::lender_order account_limiter::orderOf(const std::string& account) const
{
    return m_peers.orderOf ? m_peers.orderOf(account)
                           : accounts::lender_order { .holders = m_alone, .lender = m_alone.front() };
}

std::span<const std::string> account_limiter::lendersOf(const std::string& account) const
{
    return m_peers.lendersOf ? m_peers.lendersOf(account) : std::span<const std::string>(m_alone);
}

limit_decision account_limiter::decisionOf(
    const accounts::take_result& taken, boot_clock::time_point now) const
{
    if (taken.status == accounts::take_status::taken) {
        return { limit_status::allowed, taken.until, {} };
    }
    return { limit_status::overLimit, {}, timeUntil(taken.until, now) };
}

void account_limiter::decide(waiting_request& each, const limit_decision& decision)
{
    each.decision = decision;
    each.request->wakeTimer.cancel();
}

asio::awaitable<limit_decision> account_limiter::take(
    std::string account, accounts::account_limit limit, std::shared_ptr<active_request> current)
{
    auto startedAt = steady_clock::now();
    auto now = boot_clock::now();
    auto taken = m_borrower.take(account, now);
    if (taken.status != accounts::take_status::waiting) {
        co_return decisionOf(taken, now);
    }
    limit_decision noAnswer { limit_status::noLender, {}, m_options.retryAfter };
    if (m_waitingRequests >= m_options.maxWaiting) {
        co_return noAnswer;
    }
    auto waiting = std::make_shared<waiting_request>(waiting_request { current, std::nullopt });
    auto& queue = m_waiting[account];
    queue.limit = limit;
    queue.requests.push_back(waiting);
    ++m_waitingRequests;
    pump(account);
    auto limitTime = std::min({ startedAt + m_options.maxWait, current->callerDeadline,
        current->arrivedAt + current->matchedRoute->timeout });
    while (!waiting->decision && !current->isCancelled && !hasPassed(limitTime, steady_clock::now())) {
        armTimer();
        boost::system::error_code ignored;
        current->wakeTimer.expires_at(limitTime);
        co_await current->wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (!waiting->decision) {
        removeWaiting(account, waiting);
    }
    if (current->isCancelled) {
        if (waiting->decision) {
            giveBack(account, *waiting->decision);
        }
        co_return limit_decision { limit_status::cancelled, {}, {} };
    }
    co_return waiting->decision.value_or(noAnswer);
}

void account_limiter::removeWaiting(
    const std::string& account, const std::shared_ptr<waiting_request>& waiting)
{
    auto found = m_waiting.find(account);
    if (found != m_waiting.end()) {
        m_waitingRequests -= std::erase(found->second.requests, waiting);
        if (found->second.requests.empty()) {
            m_waiting.erase(found);
        }
    }
}

void account_limiter::serveWaiting(
    const std::string& account, waiting_account& each, boot_clock::time_point now)
{
    while (!each.requests.empty()) {
        auto taken = m_borrower.takeForWaiting(account, now);
        if (taken.status == accounts::take_status::waiting) {
            return;
        }
        decide(*each.requests.front(), decisionOf(taken, now));
        each.requests.pop_front();
        --m_waitingRequests;
    }
}

// Serves those that wait for an account as far as possible, and sends the query that is due.
void account_limiter::pump(const std::string& account)
{
    auto found = m_waiting.find(account);
    if (found == m_waiting.end()) {
        return;
    }
    for (int turn = 0; turn < maxLocalTurns; ++turn) {
        auto now = boot_clock::now();
        serveWaiting(account, found->second, now);
        auto query = m_borrower.dueQuery(
            account, { found->second.requests.size(), found->second.limit, lendersOf(account) }, now);
        if (!query) {
            break;
        }
        if (query->host != m_peers.self) {
            ++m_counters.tokenQueries;
            accounts::limit_message message;
            message.tokenRequests.push_back(std::move(query->request));
            m_peers.send(query->host, std::move(message));
            break;
        }
        // Tokens of its own are not taken ahead of requests.
        query->request.wanted = static_cast<int>(std::min<std::size_t>(
            found->second.requests.size(), static_cast<std::size_t>(query->request.wanted)));
        m_borrower.applyAnswer(m_peers.self, lend(query->request, now), now);
    }
    if (found->second.requests.empty()) {
        m_waiting.erase(found);
    }
}

accounts::token_answer account_limiter::lend(
    const accounts::token_request& request, boot_clock::time_point now)
{
    auto order = orderOf(request.account);
    auto answer = m_lender->lend(request, order, now);
    m_counters.tokensLent += static_cast<std::uint64_t>(answer.tokens);
    if (!answer.isLending && m_lender->isActive()) {
        send(m_lender->dueShareRequests(request.account, order, now));
    }
    if (m_lender->isActive()) {
        armTimer();
    }
    return answer;
}

void account_limiter::send(std::span<const accounts::limit_lender::addressed_request> requests)
{
    std::map<std::string, accounts::limit_message> messages; // By host.
    for (const auto& each : requests) {
        messages[each.host].shareRequests.push_back(each.request);
    }
    for (auto& [host, message] : messages) {
        m_peers.send(host, std::move(message));
    }
}

accounts::limit_message account_limiter::handleMessage(
    const std::string& from, const accounts::limit_message& message)
{
    accounts::limit_message answer;
    auto now = boot_clock::now();
    for (const auto& each : message.shareRequests) {
        auto order = orderOf(each.account);
        if (auto made = m_lender->handleShareRequest(from, each, order, now)) {
            answer.shareAnswers.push_back(std::move(*made));
        }
    }
    for (const auto& each : message.shareAnswers) {
        m_lender->applyShareAnswer(from, each, now);
        pump(each.account);
    }
    for (const auto& each : message.tokenRequests) {
        answer.tokenAnswers.push_back(lend(each, now));
    }
    for (const auto& each : message.tokenAnswers) {
        m_borrower.applyAnswer(from, each, now);
        pump(each.account);
    }
    if (m_lender->size() > 0) {
        armTimer();
    }
    return answer;
}

void account_limiter::giveBack(const std::string& account, const limit_decision& decision)
{
    if (decision.status == limit_status::allowed) {
        m_borrower.giveBack(account, decision.tokenUntil, boot_clock::now());
        pump(account);
    }
}

void account_limiter::beginStop()
{
    for (auto& [account, each] : std::exchange(m_waiting, {})) {
        for (auto& waiting : each.requests) {
            decide(*waiting, { limit_status::stopping, {}, m_options.stopRetryAfter });
        }
    }
    m_waitingRequests = 0;
}

limit_knowledge account_limiter::knowledgeOf(const std::string& account) const
{
    auto now = boot_clock::now();
    auto [shares, shareCount] = m_lender->sharesOf(account, now);
    limit_knowledge known { .shares = shares, .shareCount = shareCount };
    if (auto answeredAt = m_borrower.answeredAt(account)) {
        known.answerAge = std::chrono::duration_cast<milliseconds>(now - *answeredAt);
    }
    return known;
}

// Runs the timer while there is something to look after: often if requests wait or shares are leased.
void account_limiter::armTimer()
{
    bool isUrgent = m_waitingRequests > 0 || m_lender->isActive();
    auto at = steady_clock::now() + (isUrgent ? m_options.tickInterval : m_options.forgetInterval);
    if (m_isArmed && m_timer.expiry() <= at) {
        return;
    }
    m_isArmed = true;
    m_timer.expires_at(at);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

void account_limiter::tick()
{
    m_isArmed = false;
    auto now = boot_clock::now();
    send(m_lender->dueShareRequests(now, [this](const auto& account) { return orderOf(account); }));
    std::vector<std::string> waiting;
    for (const auto& [account, each] : m_waiting) {
        waiting.push_back(account);
    }
    for (const auto& account : waiting) {
        pump(account);
    }
    if (hasPassed(m_forgottenAt + m_options.forgetInterval, steady_clock::now())) {
        m_forgottenAt = steady_clock::now();
        m_lender->forgetIdle(now);
        m_borrower.forgetIdle(now);
    }
    if (m_waitingRequests > 0 || m_lender->size() > 0 || m_borrower.size() > 0) {
        armTimer();
    }
}

}
