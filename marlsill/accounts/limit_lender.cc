#include "marlsill/accounts/limit_lender.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marlsill::accounts {

namespace {

    using std::chrono::milliseconds;
    using time_point = boot_clock::time_point;

    constexpr double shareOfSlack = 0.35; // Of the bound's slack, for tokens beyond the burst.
    constexpr std::size_t maxShares = 7; // Also the number of messages for each renewal.
    constexpr double shareOfOvershoot = 0.6; // The rest is for the time between token and execution.
    constexpr milliseconds maxTokenLifetime { 200 };
    constexpr milliseconds minTokenLifetime { 50 }; // A round trip and a pause of a slow VM.
    constexpr int scarcityDivisor = 2; // One request gets at most this fraction (1 / n) of the level.
    constexpr double activeTokens = 1.5; // Shares are renewed at least until this many have come in.

    double toSeconds(boot_clock::duration length) { return std::chrono::duration<double>(length).count(); }

    boot_clock::duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(seconds));
    }

    // Returns the seconds of [from, until] that lie in [since, now].
    double overlap(time_point from, time_point until, time_point since, time_point now)
    {
        return std::max(0.0, toSeconds(std::min(until, now) - std::max(from, since)));
    }

    bool isNewer(const account_limit& left, const account_limit& right)
    {
        return left.version > right.version;
    }

}

limit_lender_options lenderOptionsFor(const limit_bound& bound)
{
    limit_lender_options options;
    options.maxShares = std::clamp(
        static_cast<std::size_t>(std::max(0.0, bound.slack * shareOfSlack)), std::size_t { 1 }, maxShares);
    return options;
}

milliseconds tokenLifetimeFor(const limit_bound& bound)
{
    auto allowed
        = std::chrono::duration<double, std::milli>(bound.window) * bound.overshoot * shareOfOvershoot;
    return std::clamp(std::chrono::duration_cast<milliseconds>(allowed), minTokenLifetime, maxTokenLifetime);
}

limit_lender::limit_lender(std::string self, limit_lender_options options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void limit_lender::start(time_point now, bool isAlone)
{
    m_startsAt = now + (isAlone ? milliseconds(0) : m_options.startDelay);
    // Above the numbers of an earlier process on this VM, unless the boot clock began anew meanwhile.
    m_lastNumber = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count());
}

std::size_t limit_lender::activeShares(const limited_account& each, time_point now) const
{
    auto leased = std::count_if(
        each.shares.begin(), each.shares.end(), [&](const auto& share) { return share.until > now; });
    return static_cast<std::size_t>(leased) + (each.isHolder && each.ownFrom <= now ? 1 : 0);
}

// Returns the tokens that may be kept: the part of the burst that belongs to the shares, one at least.
double limit_lender::capacityOf(const limited_account& each, time_point now) const
{
    auto active = activeShares(each, now);
    auto burst = std::max(1.0, each.limit.burst);
    return active == 0
        ? 0
        : std::max(1.0, burst * static_cast<double>(active) / static_cast<double>(each.shareCount));
}

// Adds what has come in since the last call, and applies the present holders of shares.
void limit_lender::fill(limited_account& each, const lender_order* order, time_point now) const
{
    auto seconds = each.isHolder ? overlap(each.ownFrom, now, each.filledAt, now) : 0;
    for (const auto& share : each.shares) {
        seconds += overlap(each.filledAt, share.until, each.filledAt, now);
    }
    auto tokens = seconds * m_options.rateFactor * each.limit.requestsPerSecond
        / static_cast<double>(each.shareCount);
    each.filledAt = std::max(each.filledAt, now);
    if (order) {
        auto isHolder = [&](std::string_view host) {
            return std::find(order->holders.begin(), order->holders.end(), host) != order->holders.end();
        };
        std::erase_if(each.shares, [&](const auto& share) { return !isHolder(share.holder); });
        each.shareCount = std::max<std::size_t>(1, order->holders.size());
        if (!std::exchange(each.isHolder, isHolder(m_self)) && each.isHolder) {
            each.ownFrom = std::max(each.ownFrom, now);
        }
    }
    each.bucket.fill(tokens, capacityOf(each, now));
}

limit_lender::limited_account& limit_lender::findOrCreate(
    const std::string& account, const account_limit& limit, const lender_order& order, time_point now)
{
    auto [found, isNew] = m_accounts.try_emplace(account);
    auto& each = found->second;
    if (isNew) {
        // Nothing was lent since then: a VM keeps an account for longer than its bucket takes to fill.
        auto since = std::max(m_startsAt.value_or(now), order.since);
        each.limit = limit;
        each.filledAt = std::min(now, since);
        each.ownFrom = since;
        each.shareCount = std::max<std::size_t>(1, order.holders.size());
        each.isHolder = std::find(order.holders.begin(), order.holders.end(), m_self) != order.holders.end();
    }
    fill(each, &order, now);
    if (isNewer(limit, each.limit)) {
        each.limit = limit;
        each.bucket.fill(0, capacityOf(each, now));
    }
    each.usedAt = now;
    return each;
}

// Returns when a VM that gets no token should ask again. Those that are refused one after the other expect
// one token after the other, so that they do not all come back for the next one.
milliseconds limit_lender::delayOf(limited_account& each, time_point now) const
{
    auto rate = m_options.rateFactor * each.limit.requestsPerSecond
        * static_cast<double>(activeShares(each, now)) / static_cast<double>(each.shareCount);
    auto latest = now + m_options.maxDelay;
    auto next = now + toDuration(std::min(1e6, std::max(0.0, 1 - each.bucket.level()) / rate));
    auto turn = std::max(next, each.nextFree + toDuration(std::min(1e6, 1 / rate)));
    each.nextFree = std::min(turn, latest + m_options.maxDelay);
    // With more VMs than tokens, later ones are spread over the second half of the longest delay.
    auto delay = turn <= latest ? turn - now
                                : boot_clock::duration(m_options.maxDelay) / 2
            + (turn - latest) % (boot_clock::duration(m_options.maxDelay) / 2);
    return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(delay));
}

token_answer limit_lender::lend(const token_request& request, const lender_order& order, time_point now)
{
    token_answer answer { .account = request.account, .number = request.number };
    if (!isStarted(now) || order.holders.empty()) {
        return answer;
    }
    auto& each = findOrCreate(request.account, request.limit, order, now);
    if (each.limit.requestsPerSecond <= 0) {
        answer.tokens = request.wanted;
        answer.isLending = true;
        return answer;
    }
    bool wasIdle = !mustRenew(each, now);
    each.askedAt = now;
    bool isLender = order.lender == m_self;
    if (isLender && each.shareCount > 1) {
        m_active.insert(request.account);
        each.gatheredFrom = wasIdle ? now : each.gatheredFrom;
    }
    auto active = activeShares(each, now);
    if (active == 0) {
        return answer;
    }
    answer.isLending = true;
    auto most = std::max(1, static_cast<int>(each.bucket.level()) / scarcityDivisor);
    answer.tokens = each.bucket.take(std::min(request.wanted, most));
    if (answer.tokens > 0) {
        each.nextFree = each.bucket.level() >= 1 ? std::min(each.nextFree, now) : each.nextFree;
        return answer;
    }
    // The shares of other holders may be full: the answer is known once they had time to arrive.
    bool isGathering = isLender && active < each.shareCount && now < each.gatheredFrom + m_options.gatherTime;
    answer.isLending = !isGathering;
    answer.delay = isGathering ? milliseconds(0) : delayOf(each, now);
    return answer;
}

// Returns whether an account is in use, so that its shares stay here.
bool limit_lender::mustRenew(const limited_account& each, time_point now) const
{
    auto refill = each.limit.requestsPerSecond > 0 ? activeTokens / each.limit.requestsPerSecond : 0;
    auto lasts = std::clamp(toDuration(std::min(refill, 1e6)), boot_clock::duration(m_options.activeTime),
        boot_clock::duration(m_options.maxActiveTime));
    return each.askedAt != time_point() && now < each.askedAt + lasts;
}

void limit_lender::requestShare(const std::string& account, const limited_account& each, leased_share& share,
    time_point now, std::vector<addressed_request>& due)
{
    bool isSettled = share.until > now && !share.isAwaited;
    auto interval = isSettled ? m_options.renewalInterval : m_options.retryInterval;
    if (share.requestedAt != time_point() && now < share.requestedAt + interval) {
        return;
    }
    share.requestedAt = now;
    share.number = ++m_lastNumber;
    share.isAwaited = true;
    due.push_back({ share.holder, { account, share.number, each.limit } });
}

// Returns whether the shares of an account are to be looked after again.
bool limit_lender::appendDue(const std::string& account, limited_account& each, const lender_order& order,
    time_point now, std::vector<addressed_request>& due)
{
    fill(each, &order, now);
    if (order.lender == m_self && mustRenew(each, now)) {
        for (const auto& holder : order.holders) {
            auto isOf = [&](const auto& share) { return share.holder == holder; };
            if (holder != m_self && std::none_of(each.shares.begin(), each.shares.end(), isOf)) {
                each.shares.push_back({ .holder = holder });
            }
        }
        for (auto& share : each.shares) {
            requestShare(account, each, share, now, due);
        }
        return true;
    }
    for (auto& share : each.shares) {
        share.isAwaited = false;
        if (share.until <= now) {
            continue;
        }
        auto tokens = each.bucket.takeFraction(1.0 / static_cast<double>(activeShares(each, now)));
        share.until = {};
        due.push_back({ share.holder, { account, share.number, each.limit, true, tokens } });
    }
    each.bucket.fill(0, capacityOf(each, now));
    return false;
}

std::vector<limit_lender::addressed_request> limit_lender::dueShareRequests(
    time_point now, const std::function<lender_order(const std::string&)>& orderOf)
{
    std::vector<addressed_request> due;
    std::erase_if(m_active, [&](const auto& account) {
        auto found = m_accounts.find(account);
        return found == m_accounts.end() || !appendDue(account, found->second, orderOf(account), now, due);
    });
    return due;
}

std::vector<limit_lender::addressed_request> limit_lender::dueShareRequests(
    const std::string& account, const lender_order& order, time_point now)
{
    std::vector<addressed_request> due;
    auto found = m_accounts.find(account);
    if (found != m_accounts.end() && m_active.contains(account)) {
        appendDue(account, found->second, order, now, due);
    }
    return due;
}

std::optional<share_answer> limit_lender::handleShareRequest(
    const std::string& from, const share_request& request, const lender_order& order, time_point now)
{
    share_answer answer { .account = request.account, .number = request.number };
    if (request.isRelease) {
        auto found = m_accounts.find(request.account);
        if (found == m_accounts.end()) {
            return std::nullopt;
        }
        auto& each = found->second;
        fill(each, &order, now);
        bool isCurrent = each.leasedTo == from && request.number >= each.leaseNumber && each.ownFrom > now;
        if (isCurrent) {
            each.leasedTo.clear();
            each.ownFrom = now;
            each.bucket.fill(request.tokens, capacityOf(each, now));
        }
        return std::nullopt;
    }
    bool mayLease = isStarted(now) && order.lender == from && from != m_self;
    if (!mayLease) {
        return answer;
    }
    auto& each = findOrCreate(request.account, request.limit, order, now);
    bool isLeasedToOther = each.leasedTo != from && each.ownFrom > now;
    if (!each.isHolder || isLeasedToOther) {
        return answer;
    }
    answer.isGranted = true;
    if (each.ownFrom <= now) {
        answer.tokens = each.bucket.takeFraction(1.0 / static_cast<double>(activeShares(each, now)));
    }
    // A late copy of an earlier request does not make the lease one that an earlier release names.
    each.leaseNumber = each.leasedTo == from ? std::max(each.leaseNumber, request.number) : request.number;
    each.leasedTo = from;
    each.ownFrom = now + m_options.leaseTime;
    each.bucket.fill(0, capacityOf(each, now));
    return answer;
}

void limit_lender::applyShareAnswer(const std::string& from, const share_answer& answer, time_point now)
{
    auto found = m_accounts.find(answer.account);
    if (found == m_accounts.end()) {
        return;
    }
    auto& each = found->second;
    auto share = std::find_if(
        each.shares.begin(), each.shares.end(), [&](const auto& known) { return known.holder == from; });
    if (share == each.shares.end() || !share->isAwaited || share->number != answer.number) {
        return;
    }
    share->isAwaited = false;
    auto until = share->requestedAt + m_options.leaseTime;
    if (!answer.isGranted || until <= now) {
        return;
    }
    fill(each, nullptr, now);
    share->until = until;
    each.bucket.fill(answer.tokens, capacityOf(each, now));
}

void limit_lender::forgetIdle(time_point now)
{
    std::erase_if(m_accounts, [&](const auto& item) {
        const auto& each = item.second;
        auto rate = each.limit.requestsPerSecond / static_cast<double>(each.shareCount);
        auto refill = rate > 0 ? toDuration(std::min(1e6, std::max(1.0, each.limit.burst) / rate))
                               : boot_clock::duration::zero();
        return now > each.usedAt + m_options.forgetTime + refill && !m_active.contains(item.first);
    });
}

std::pair<std::size_t, std::size_t> limit_lender::sharesOf(const std::string& account, time_point now) const
{
    auto found = m_accounts.find(account);
    return found == m_accounts.end() ? std::pair<std::size_t, std::size_t>()
                                     : std::pair(activeShares(found->second, now), found->second.shareCount);
}

}
