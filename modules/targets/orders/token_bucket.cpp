#include "targets/orders/token_bucket.h"

#include <algorithm>

namespace quetzal {

token_bucket::token_bucket(token_bucket_options options)
    : m_options(options)
    , m_tokens(options.capacity)
{
}

bool token_bucket::take(absl::Time now)
{
    refill(now);
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

void token_bucket::takeAll(absl::Time now)
{
    refill(now);
    m_tokens = 0.0;
}

void token_bucket::refill(absl::Time now)
{
    if (now <= m_refilledAt)
        return;
    if (m_refilledAt != absl::InfinitePast()) {
        const double seconds = absl::ToDoubleSeconds(now - m_refilledAt);
        m_tokens = std::min(m_options.capacity, m_tokens + seconds * m_options.tokensPerSecond);
    }
    m_refilledAt = now;
}

} // namespace quetzal
