#pragma once

// Bounds the memory of all responses that one VM is reading, as upstreams may send without end, or of what it
// holds for all its callers.
//
//     buffer_budget budget(32 * 1024 * 1024);
//     auto share = budget.open();
//     if (!share.resize(response.size()))
//         give the response up;
//
// While there is room a response may take any part of it. When there is none, those that take more than an
// even share are refused further bytes, so that ordinary responses beside them are still read. All shares
// together hold at most twice the budget. Not thread safe; shares may outlive the budget.

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace marlsill::gateway {

class buffer_budget {
    // Kept by the shares as well, as a coroutine that holds one is destroyed after the budget.
    struct totals {
        std::size_t maxBytes = 0;
        std::size_t used = 0;
        std::size_t shares = 0;
    };

public:
    // The bytes that one response holds. Returned to the budget when it is destroyed.
    class share {
    public:
        explicit share(buffer_budget& budget)
            : m_totals(budget.m_totals)
        {
            ++m_totals->shares;
        }

        ~share()
        {
            m_totals->used -= m_bytes;
            --m_totals->shares;
        }

        share(const share&) = delete;
        share& operator=(const share&) = delete;

        // Sets how many bytes it holds. Returns false if it must give them up.
        bool resize(std::size_t bytes)
        {
            m_totals->used += bytes - std::exchange(m_bytes, bytes);
            auto evenShare = m_totals->maxBytes / std::max<std::size_t>(1, m_totals->shares);
            return m_totals->used <= m_totals->maxBytes
                || (m_totals->used <= 2 * m_totals->maxBytes && bytes <= evenShare);
        }

    private:
        std::shared_ptr<totals> m_totals;
        std::size_t m_bytes = 0;
    };

    explicit buffer_budget(std::size_t maxBytes)
        : m_totals(std::make_shared<totals>(totals { maxBytes }))
    {
    }

    share open() { return share(*this); }

    std::size_t used() const { return m_totals->used; }

private:
    std::shared_ptr<totals> m_totals;
};

}
