#include "marlsill/platform/rate_limit.h"

#include <algorithm>

namespace marlsill::platform {

token_bucket::token_bucket(token_bucket_options options, steady_clock::time_point now)
    : m_options(options)
    , m_tokens(options.burst)
    , m_updated(now)
{
}

bool token_bucket::tryTake(steady_clock::time_point now)
{
    double elapsed = std::chrono::duration<double>(now - m_updated).count();
    m_tokens = std::min(m_options.burst, m_tokens + std::max(0.0, elapsed) * m_options.perSecond);
    m_updated = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

backoff::backoff(backoff_options options)
    : m_options(options)
{
}

deadline backoff::nextTry(steady_clock::time_point now, std::mt19937_64& random)
{
    constexpr int maxDoublings = 16;
    auto ceiling = std::min<std::int64_t>(
        m_options.last.count(), m_options.first.count() << std::min(m_failures, maxDoublings));
    ++m_failures;
    std::uniform_int_distribution<std::int64_t> pick(m_options.first.count() / 2, ceiling);
    return now + std::chrono::milliseconds(pick(random));
}

}
