#pragma once

// Ranks the VMs of the fleet for each client account with a limit, to choose the holders of the limit's
// shares and the VM that lends from them; see accounts/limit_lender.h.
//
//     lender_ranking ranking({});
//     ranking.update(candidates, boot_clock::now()); // After changes of the members.
//     auto order = ranking.orderOf("acme");
//
// Weighted rendezvous hashing: the weight of a VM is its capacity squared, so that the smallest VMs, which
// are the most numerous, lend little. For each account in use a few hosts are kept; a change of the members
// corrects them, and a look-up reads only these. Not thread safe.

#include "marlsill/accounts/limit_lender.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill::cluster {

// A VM that is known, serves and does not leave.
struct lender_candidate {
    std::string host;
    double capacity = 1;
    bool isReachable = true;
    std::uint64_t incarnation = 0; // Another one is another process.
    bool isSelf = false;
};

struct lender_ranking_options {
    std::size_t maxShares = 7; // See limit_lender_options.
    // Kept for each account. Of as many, one is reachable in any partition that leaves a tenth of the VMs.
    std::size_t keptHosts = 16;
    std::size_t maxLenders = 3; // That a VM asks in turn.
    std::chrono::milliseconds forgetTime { 60'000 }; // Without a look-up.
    // Until a VM that comes up is ranked: it lends nothing for as long, see limit_lender_options::startDelay.
    // Those that are known soon after the first update are ranked at once.
    std::chrono::milliseconds settleTime { 2'000 };
};

class lender_ranking {
public:
    explicit lender_ranking(lender_ranking_options options)
        : m_options(options)
    {
    }

    // Applies the VMs that are known now. Takes a time in proportion to their number, and to the accounts in
    // use times the VMs that came or went.
    void update(std::span<const lender_candidate> candidates, boot_clock::time_point now);

    // Returns whether VMs are to be ranked later, so that update() must be called again.
    bool isSettling() const { return m_isSettling; }

    // Returns the order of an account. The first look-up of an account scores all VMs. Valid until the next
    // call of update() or forgetIdle().
    accounts::lender_order orderOf(const std::string& account, boot_clock::time_point now);

    // Returns the first reachable VMs of the order, the lender first.
    std::span<const std::string> lendersOf(const std::string& account, boot_clock::time_point now);

    // Forgets accounts that have not been looked up for a while. Call every few seconds.
    void forgetIdle(boot_clock::time_point now);

    std::size_t size() const { return m_accounts.size(); }

private:
    struct ranked_host {
        std::string host;
        double score = 0;
    };

    struct ranked_account {
        std::vector<ranked_host> hosts; // By descending score.
        std::vector<std::string> holders;
        std::vector<std::string> lenders;
        boot_clock::time_point usedAt;
    };

    ranked_account& find(const std::string& account, boot_clock::time_point now);
    void rank(const std::string& account, ranked_account& each) const;
    void add(
        const std::string& account, ranked_account& each, const std::string& host, double capacity) const;
    void select(ranked_account& each) const;
    double scoreOf(const std::string& account, const std::string& host, double capacity) const;

    const lender_ranking_options m_options;
    // When a process of a VM was seen first.
    struct seen_process {
        std::uint64_t incarnation = 0;
        boot_clock::time_point since;
    };

    bool isSettled(const lender_candidate& each, boot_clock::time_point now);

    std::map<std::string, double, std::less<>> m_capacities; // By host; of VMs that are ranked.
    std::map<std::string, seen_process, std::less<>> m_seen; // By host.
    std::optional<boot_clock::time_point> m_firstUpdateAt;
    bool m_isSettling = false;
    std::set<std::string, std::less<>> m_unreachable;
    std::map<std::string, ranked_account, std::less<>> m_accounts;
    boot_clock::time_point m_changedAt {}; // When a VM came or went last.
};

}
