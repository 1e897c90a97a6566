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
// together hold at most twice the budget. Not thread safe; the budget must outlive its shares.

#include <algorithm>
#include <cstddef>
#include <utility>

namespace marlsill::gateway {

class buffer_budget {
public:
    // The bytes that one response holds. Returned to the budget when it is destroyed.
    class share {
    public:
        explicit share(buffer_budget& budget)
            : m_budget(&budget)
        {
            ++m_budget->m_shares;
        }

        ~share()
        {
            m_budget->m_used -= m_bytes;
            --m_budget->m_shares;
        }

        share(const share&) = delete;
        share& operator=(const share&) = delete;

        // Sets how many bytes it holds. Returns false if it must give them up.
        bool resize(std::size_t bytes)
        {
            m_budget->m_used += bytes - std::exchange(m_bytes, bytes);
            auto evenShare = m_budget->m_maxBytes / std::max<std::size_t>(1, m_budget->m_shares);
            return m_budget->m_used <= m_budget->m_maxBytes
                || (m_budget->m_used <= 2 * m_budget->m_maxBytes && bytes <= evenShare);
        }

    private:
        buffer_budget* m_budget;
        std::size_t m_bytes = 0;
    };

    explicit buffer_budget(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    share open() { return share(*this); }

    std::size_t used() const { return m_used; }

private:
    const std::size_t m_maxBytes;
    std::size_t m_used = 0;
    std::size_t m_shares = 0;
};

}
