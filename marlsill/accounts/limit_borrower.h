#pragma once

// Decides at the VM that a caller reached whether a request of a limited account may start: it takes a token
// that this VM has borrowed, waits while the lender is asked for some, or is refused.
//
//     limit_borrower borrower({});
//     auto taken = borrower.take("acme", now);
//     if (taken.status == take_status::waiting)
//         if (auto query = borrower.dueQuery("acme", { waiting, limit, lenders }, now))
//             send(query->host, query->request);
//     ...
//     if (borrower.applyAnswer(host, answer, now))
//         serve those that wait;
//
// Requests for one account share one query, which is repeated, and goes to the next VM of the order, until
// one answers. Tokens may be used until a deadline on the boot clock that counts from before they were asked
// for, whatever the answer's delay. Does no I/O. Not thread safe.

#include "marlsill/accounts/limit_messages.h"
#include "marlsill/base/absence_detector.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace marlsill::accounts {

// Settings of a borrower.
struct limit_borrower_options {
    std::chrono::milliseconds tokenLifetime { 200 }; // From the request for it; see tokenLifetimeFor().
    std::chrono::milliseconds demandWindow { 250 }; // That the demand is estimated from.
    std::chrono::milliseconds resendInterval { 40 }; // Above a round trip between failure domains.
    std::size_t sendsToEach = 2; // Before the next VM of the order is asked; one datagram may be lost.
    std::chrono::milliseconds maxHold { 500 }; // Of a refusal.
    std::chrono::milliseconds forgetTime { 10'000 }; // Without a request.
    int maxWanted = 64; // Tokens of one query.
};

enum class take_status {
    taken,
    refused, // The account has used up its limit.
    waiting, // No answer yet.
};

struct take_result {
    take_status status = take_status::waiting;
    // Of a token, when its use must have begun; of a refusal, when its account may be served again.
    boot_clock::time_point until {};
};

class limit_borrower {
public:
    explicit limit_borrower(limit_borrower_options options)
        : m_options(options)
    {
    }

    // Numbers of queries begin above `number`, which no earlier process on this VM may have used.
    void start(std::uint64_t number) { m_lastNumber = number; }

    // Takes a token for a request that has just arrived.
    take_result take(const std::string& account, boot_clock::time_point now);

    // Takes a token for a request that waits; it is not counted as demand again.
    take_result takeForWaiting(const std::string& account, boot_clock::time_point now);

    // What a query is made from.
    struct query_basis {
        std::size_t waiting = 0; // Requests.
        account_limit limit;
        std::span<const std::string> lenders; // The first reachable VMs of the order.
    };

    struct addressed_request {
        std::string host;
        token_request request;
    };

    // Returns the query to send now, if one is due. `now` must be taken before it is sent.
    std::optional<addressed_request> dueQuery(
        const std::string& account, const query_basis& basis, boot_clock::time_point now);

    // Applies an answer. Returns whether requests that wait can go on: with tokens or with a refusal.
    bool applyAnswer(const std::string& from, const token_answer& answer, boot_clock::time_point now);

    // Takes back the unused token of a request that was refused unrun.
    void giveBack(const std::string& account, boot_clock::time_point until, boot_clock::time_point now);

    // Forgets accounts without a recent request. Call every few seconds.
    void forgetIdle(boot_clock::time_point now);

    // When the lender of an account last answered; std::nullopt if none has.
    std::optional<boot_clock::time_point> answeredAt(const std::string& account) const;

    std::size_t size() const { return m_accounts.size(); }

private:
    struct token_batch {
        int tokens = 0;
        boot_clock::time_point until;
    };

    struct sent_query {
        std::uint64_t number = 0;
        std::string host;
        boot_clock::time_point at;
    };

    struct borrowing_account {
        std::vector<token_batch> batches; // Those that end first come first.
        std::vector<sent_query> sent; // Whose answers still count.
        boot_clock::time_point refusedUntil {};
        boot_clock::time_point nextSend {}; // Of the query under way.
        std::size_t sends = 0; // Of the query under way; 0: none is.
        std::optional<boot_clock::time_point> answeredAt;
        boot_clock::time_point usedAt;
        boot_clock::time_point windowStart {};
        int arrivals = 0; // In this demand window.
        int earlierArrivals = 0; // In the one before.
    };

    take_result takeFrom(borrowing_account& each, boot_clock::time_point now) const;
    void countArrival(borrowing_account& each, boot_clock::time_point now) const;
    int demandOf(const borrowing_account& each, boot_clock::time_point now) const;

    const limit_borrower_options m_options;
    std::uint64_t m_lastNumber = 0;
    std::map<std::string, borrowing_account, std::less<>> m_accounts;
};

}
