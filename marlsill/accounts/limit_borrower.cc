#include "marlsill/accounts/limit_borrower.h"

#include <algorithm>

namespace marlsill::accounts {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t maxSentQueries = 16; // Far more than are sent within the lifetime of a token.
    constexpr std::size_t maxBatches = 64;

}

void limit_borrower::countArrival(borrowing_account& each, boot_clock::time_point now) const
{
    if (now >= each.windowStart + m_options.demandWindow) {
        bool isNext = now < each.windowStart + 2 * m_options.demandWindow;
        each.earlierArrivals = isNext ? each.arrivals : 0;
        each.arrivals = 0;
        each.windowStart = now;
    }
    ++each.arrivals;
}

// Returns the arrivals that are expected within a demand window, from this one and a part of the one before.
int limit_borrower::demandOf(const borrowing_account& each, boot_clock::time_point now) const
{
    auto length = std::chrono::duration<double>(m_options.demandWindow);
    auto elapsed = std::chrono::duration<double>(now - each.windowStart);
    auto remaining = std::clamp(1 - elapsed / length, 0.0, 1.0);
    return static_cast<int>(each.arrivals + remaining * each.earlierArrivals);
}

take_result limit_borrower::takeFrom(borrowing_account& each, boot_clock::time_point now) const
{
    std::erase_if(each.batches, [&](const auto& batch) { return batch.tokens == 0 || now >= batch.until; });
    if (!each.batches.empty()) {
        --each.batches.front().tokens;
        return { take_status::taken, each.batches.front().until };
    }
    if (now < each.refusedUntil) {
        return { take_status::refused, each.refusedUntil };
    }
    return {};
}

take_result limit_borrower::take(const std::string& account, boot_clock::time_point now)
{
    auto& each = m_accounts[account];
    each.usedAt = now;
    countArrival(each, now);
    return takeFrom(each, now);
}

take_result limit_borrower::takeForWaiting(const std::string& account, boot_clock::time_point now)
{
    auto& each = m_accounts[account];
    each.usedAt = now;
    return takeFrom(each, now);
}

std::optional<limit_borrower::addressed_request> limit_borrower::dueQuery(
    const std::string& account, const query_basis& basis, boot_clock::time_point now)
{
    auto found = m_accounts.find(account);
    if (found == m_accounts.end() || basis.lenders.empty()) {
        return std::nullopt;
    }
    auto& each = found->second;
    if (basis.waiting == 0) {
        each.sends = 0;
        return std::nullopt;
    }
    bool isUnderWay = each.sends > 0 && now < each.nextSend;
    if (isUnderWay || now < each.refusedUntil) {
        return std::nullopt;
    }
    auto turn = each.sends / m_options.sendsToEach;
    const auto& host = basis.lenders[turn % basis.lenders.size()];
    auto wanted
        = std::max(static_cast<int>(std::min(basis.waiting, std::size_t { 1'000 })), demandOf(each, now));
    ++each.sends;
    each.nextSend = now + m_options.resendInterval;
    std::erase_if(each.sent, [&](const auto& query) { return now >= query.at + m_options.tokenLifetime; });
    if (each.sent.size() >= maxSentQueries) {
        each.sent.erase(each.sent.begin());
    }
    each.sent.push_back({ ++m_lastNumber, host, now });
    return addressed_request { host,
        { .account = account,
            .number = m_lastNumber,
            .wanted = std::min(wanted, m_options.maxWanted),
            .limit = basis.limit } };
}

bool limit_borrower::applyAnswer(
    const std::string& from, const token_answer& answer, boot_clock::time_point now)
{
    auto found = m_accounts.find(answer.account);
    if (found == m_accounts.end()) {
        return false;
    }
    auto& each = found->second;
    auto query = std::find_if(each.sent.begin(), each.sent.end(),
        [&](const auto& sent) { return sent.number == answer.number && sent.host == from; });
    if (query == each.sent.end()) {
        return false;
    }
    auto until = query->at + m_options.tokenLifetime;
    bool isLastSent = std::next(query) == each.sent.end();
    each.sent.erase(query);
    if (answer.tokens > 0 && now < until) {
        auto place = std::find_if(
            each.batches.begin(), each.batches.end(), [&](const auto& batch) { return batch.until > until; });
        each.batches.insert(place, { std::min(answer.tokens, m_options.maxWanted), until });
        if (each.batches.size() > maxBatches) {
            each.batches.erase(each.batches.begin());
        }
        each.refusedUntil = {};
        each.sends = 0;
        each.answeredAt = now;
        return true;
    }
    if (answer.tokens > 0 || now >= until) {
        return false; // Too late; the query goes on.
    }
    if (!answer.isLending) {
        // The next VM of the order is asked: at once, but not in circles.
        bool isUnderWay = each.sends > 0 && isLastSent;
        if (isUnderWay) {
            each.nextSend = each.sends < 2 * m_options.sendsToEach ? now : each.nextSend;
            each.sends
                = (each.sends + m_options.sendsToEach - 1) / m_options.sendsToEach * m_options.sendsToEach;
        }
        return false;
    }
    each.answeredAt = now;
    each.sends = 0;
    each.refusedUntil = now + std::clamp(answer.delay, milliseconds(1), m_options.maxHold);
    return true;
}

void limit_borrower::giveBack(
    const std::string& account, boot_clock::time_point until, boot_clock::time_point now)
{
    auto found = m_accounts.find(account);
    if (found == m_accounts.end() || now >= until || found->second.batches.size() >= maxBatches) {
        return;
    }
    auto& batches = found->second.batches;
    auto place = std::find_if(
        batches.begin(), batches.end(), [&](const auto& batch) { return batch.until > until; });
    batches.insert(place, { 1, until });
}

void limit_borrower::forgetIdle(boot_clock::time_point now)
{
    std::erase_if(
        m_accounts, [&](const auto& item) { return now >= item.second.usedAt + m_options.forgetTime; });
}

std::optional<boot_clock::time_point> limit_borrower::answeredAt(const std::string& account) const
{
    auto found = m_accounts.find(account);
    return found == m_accounts.end() ? std::nullopt : found->second.answeredAt;
}

}
