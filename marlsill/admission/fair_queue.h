#pragma once

// A bounded queue that serves client accounts round-robin.
//
//     fair_queue<int> queue(100);
//     queue.push("account-1", 17);
//     std::optional<int> next = queue.pop();

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace marlsill::admission {

// Each client account has its own first-in first-out queue, and pop() takes one item from each account in
// turn, so that an account with many waiting items delays the others by only one item per round. Not thread
// safe.
template <typename Item> class fair_queue {
public:
    // `capacity` is the largest number of items over all accounts.
    explicit fair_queue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    // Adds an item. If the queue is full, drops and returns the newest item of the account with the most
    // items, which may be `item` itself.
    std::optional<Item> push(std::string_view account, Item item)
    {
        auto found = m_accounts.find(account);
        if (found == m_accounts.end()) {
            found = m_accounts.emplace(std::string(account), std::deque<Item>()).first;
            m_roundRobin.push_back(found->first);
        }
        found->second.push_back(std::move(item));
        ++m_size;
        return m_size > m_capacity ? std::optional(dropNewestOfLargest()) : std::nullopt;
    }

    // Returns the item that pop() would take, or a null pointer if the queue is empty.
    const Item* front() const
    {
        return m_roundRobin.empty() ? nullptr : &m_accounts.find(m_roundRobin.front())->second.front();
    }

    // Removes and returns the next item. Returns std::nullopt if the queue is empty.
    std::optional<Item> pop()
    {
        if (m_roundRobin.empty()) {
            return std::nullopt;
        }
        auto account = std::move(m_roundRobin.front());
        m_roundRobin.pop_front();
        auto found = m_accounts.find(account);
        Item item = std::move(found->second.front());
        found->second.pop_front();
        --m_size;
        if (found->second.empty()) {
            m_accounts.erase(found);
        } else {
            m_roundRobin.push_back(std::move(account));
        }
        return item;
    }

    // Removes `item` from the queue of `account`, at any position. Returns whether it was there.
    bool remove(std::string_view account, const Item& item)
    {
        auto found = m_accounts.find(account);
        if (found == m_accounts.end() || std::erase(found->second, item) == 0) {
            return false;
        }
        --m_size;
        eraseIfEmpty(found);
        return true;
    }

    std::size_t size() const { return m_size; }

private:
    using account_map = std::map<std::string, std::deque<Item>, std::less<>>;

    Item dropNewestOfLargest()
    {
        auto largest = m_accounts.begin();
        for (auto each = m_accounts.begin(); each != m_accounts.end(); ++each) {
            if (each->second.size() > largest->second.size()) {
                largest = each;
            }
        }
        Item dropped = std::move(largest->second.back());
        largest->second.pop_back();
        --m_size;
        eraseIfEmpty(largest);
        return dropped;
    }

    void eraseIfEmpty(typename account_map::iterator account)
    {
        if (account->second.empty()) {
            m_roundRobin.remove(account->first);
            m_accounts.erase(account);
        }
    }

    std::size_t m_capacity;
    std::size_t m_size = 0;
    account_map m_accounts;
    std::list<std::string> m_roundRobin; // Accounts with items; the front is next.
};

}
