#pragma once

// Decides how many requests of a limited account may start, for the part of its limit that this VM holds.
//
// The limit of an account is divided into equal shares. Each share belongs to one of the VMs that come first
// in the account's rendezvous order, its holders, whether they are reachable or not. A holder leases its
// share to the first VM of the order that it reaches, the lender, which pools the shares and lends tokens
// from them. A share is in use at one VM at a time: the lender counts a lease from before it sent the
// request, the holder from when it received it. So the VMs together never lend more than the limit, however
// many of them take themselves for the lender, and a partition divides the limit instead of doubling it.
//
//     limit_lender lender(ownHost, {});
//     lender.start(boot_clock::now());
//     auto answer = lender.lend(request, order, now);
//     for (auto& each : lender.dueShareRequests(now, orderOf))
//         send(each.host, each.request);
//     lender.applyShareAnswer(holder, shareAnswer, now);
//
// All times are on the boot clock, so that leases of a VM that was suspended have ended when it resumes. Does
// no I/O. Not thread safe.

#include "marlsill/accounts/limit_messages.h"
#include "marlsill/accounts/token_bucket.h"
#include "marlsill/base/absence_detector.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::accounts {

// What operators allow: in each window at most (rate x window + burst) x (1 + overshoot) + slack requests.
struct limit_bound {
    std::chrono::milliseconds window { 5'000 };
    double overshoot = 0.1;
    double slack = 20; // Requests.
};

// Settings of lenders; the same on all VMs.
struct limit_lender_options {
    // Each may hold one token more than its part of the burst.
    std::size_t maxShares = 7;
    // Bounds how long the share of a dead lender is unused. Above twice the renewal interval.
    std::chrono::milliseconds leaseTime { 1'000 };
    std::chrono::milliseconds renewalInterval { 400 };
    std::chrono::milliseconds retryInterval { 150 }; // Between requests for a share that is not leased.
    std::chrono::milliseconds activeTime { 2'000 }; // After the last request for tokens, shares are renewed.
    std::chrono::milliseconds maxActiveTime { 30'000 }; // For limits far below one request per second.
    std::chrono::milliseconds gatherTime { 60 }; // A round trip to the holders, at the first request.
    std::chrono::milliseconds maxDelay { 500 }; // Until a borrower may ask again.
    // After a start. Covers the leases of the process before, and the time until the VM knows its peers.
    std::chrono::milliseconds startDelay { 2'000 };
    std::chrono::milliseconds forgetTime { 60'000 }; // Without a request.
    // Of the limit, that is lent. The rest makes up for requests that took a token before a window and run in
    // it, after a wait for an upstream; see docs/design/account-limits.md.
    double rateFactor = 0.95;
};

// Returns settings that keep `bound`.
limit_lender_options lenderOptionsFor(const limit_bound& bound);

// Returns how long a token may be used after it was asked for: part of what `bound` allows beyond the limit,
// as the tokens of the time before a window may be used in it.
std::chrono::milliseconds tokenLifetimeFor(const limit_bound& bound);

// The rendezvous order of an account, as this VM sees it.
struct lender_order {
    // The first VMs of the order, at most `maxShares`, reachable or not. Empty: this VM knows too little of
    // the fleet to take part.
    std::span<const std::string> holders;
    std::string_view lender; // The first one that is reachable; empty if there is none.
    boot_clock::time_point since {}; // When the holders of any account changed last.
};

class limit_lender {
public:
    limit_lender(std::string self, limit_lender_options options);

    // Lends nothing before the start delay has passed; with `isAlone`, from `now` on: no other VM exists.
    void start(boot_clock::time_point now, bool isAlone);

    // Lends tokens from the shares that this VM holds.
    token_answer lend(const token_request& request, const lender_order& order, boot_clock::time_point now);

    // A message to the holder of a share.
    struct addressed_request {
        std::string host;
        share_request request;
    };

    // Returns the requests for shares, and the releases of those that another VM should lend from, that are
    // to be sent now. Call several times per retry interval. `now` must be taken before they are sent.
    std::vector<addressed_request> dueShareRequests(
        boot_clock::time_point now, const std::function<lender_order(const std::string&)>& orderOf);

    // Returns the same for one account.
    std::vector<addressed_request> dueShareRequests(
        const std::string& account, const lender_order& order, boot_clock::time_point now);

    // Handles a request for this VM's share; a release has no answer.
    std::optional<share_answer> handleShareRequest(const std::string& from, const share_request& request,
        const lender_order& order, boot_clock::time_point now);

    // Applies the answer of a holder.
    void applyShareAnswer(const std::string& from, const share_answer& answer, boot_clock::time_point now);

    // Forgets accounts that have not been used for long. Call every few seconds.
    void forgetIdle(boot_clock::time_point now);

    // Returns whether dueShareRequests() has anything to look after.
    bool isActive() const { return !m_active.empty(); }

    // Returns how many shares of an account this VM may lend from now, and of how many.
    std::pair<std::size_t, std::size_t> sharesOf(
        const std::string& account, boot_clock::time_point now) const;

    std::size_t size() const { return m_accounts.size(); }

private:
    struct leased_share {
        std::string holder;
        boot_clock::time_point until {}; // When the lease ends here; in the past if there is none.
        boot_clock::time_point requestedAt {};
        std::uint64_t number = 0; // Of the last request.
        bool isAwaited = false; // Whether its answer counts.
    };

    struct limited_account {
        account_limit limit;
        std::size_t shareCount = 1;
        token_bucket bucket;
        boot_clock::time_point filledAt;
        bool isHolder = false;
        boot_clock::time_point ownFrom {}; // This VM's own share counts from then on.
        std::string leasedTo; // The VM that has this VM's share until ownFrom; may be empty.
        std::uint64_t leaseNumber = 0;
        std::vector<leased_share> shares; // Of other holders.
        boot_clock::time_point usedAt; // By a request of any kind.
        boot_clock::time_point askedAt {}; // For tokens.
        boot_clock::time_point gatheredFrom {}; // First requests for shares after an idle time.
        boot_clock::time_point nextFree {}; // Until then tokens to come are expected by those refused.
    };

    limited_account& findOrCreate(const std::string& account, const account_limit& limit,
        const lender_order& order, boot_clock::time_point now);
    void fill(limited_account& each, const lender_order* order, boot_clock::time_point now) const;
    std::size_t activeShares(const limited_account& each, boot_clock::time_point now) const;
    bool appendDue(const std::string& account, limited_account& each, const lender_order& order,
        boot_clock::time_point now, std::vector<addressed_request>& due);
    void requestShare(const std::string& account, const limited_account& each, leased_share& share,
        boot_clock::time_point now, std::vector<addressed_request>& due);
    double capacityOf(const limited_account& each, boot_clock::time_point now) const;
    std::chrono::milliseconds delayOf(limited_account& each, boot_clock::time_point now) const;
    bool mustRenew(const limited_account& each, boot_clock::time_point now) const;
    bool isStarted(boot_clock::time_point now) const { return m_startsAt && now >= *m_startsAt; }

    const std::string m_self;
    const limit_lender_options m_options;
    std::optional<boot_clock::time_point> m_startsAt;
    std::uint64_t m_lastNumber = 0;
    std::map<std::string, limited_account, std::less<>> m_accounts;
    std::set<std::string> m_active; // Accounts with shares to request, renew or release.
};

}
