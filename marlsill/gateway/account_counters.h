#pragma once

// Counts what becomes of the requests of each client account, in a bounded memory.
//
//     account_counters counters;
//     counters.countRequest("north");
//     counters.appendTo(metrics);
//
// Accounts are counted one by one as long as they are among the largest; the counts of the others are kept as
// a sum. Not thread safe.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace marlsill::gateway {

// Totals of one account, or of several.
struct account_totals {
    std::uint64_t requests = 0; // Of callers of this VM, with a valid key.
    std::uint64_t limited = 0; // Of these, refused by the account's limit.
    std::uint64_t answered = 0; // Of these, that got an upstream's response.

    void add(const account_totals& other);
};

// See the file comment.
class account_counters {
public:
    void countRequest(std::string_view account) { ++totalsOf(account).requests; }
    void countLimited(std::string_view account) { ++totalsOf(account).limited; }
    void countAnswered(std::string_view account) { ++totalsOf(account).answered; }

    // Appends the totals of the 20 accounts with the most requests, and the sum of the others, in the
    // Prometheus text format. Appends nothing if no request has been counted.
    void appendTo(std::string& out) const;

    // Returns how many accounts are counted one by one.
    std::size_t size() const { return m_totals.size(); }

private:
    struct name_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view name) const { return std::hash<std::string_view>()(name); }
    };

    account_totals& totalsOf(std::string_view account);
    void foldSmallest();

    std::unordered_map<std::string, account_totals, name_hash, std::equal_to<>> m_totals;
    account_totals m_others; // Of accounts that have left `m_totals`.
};

}
