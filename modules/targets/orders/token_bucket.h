#pragma once

#include <absl/time/time.h>

namespace quetzal {

/** Options of token_bucket. */
struct token_bucket_options
{
    /** Tokens that come in per second. */
    double tokensPerSecond = 1.0;
    /** Most tokens that are kept. */
    double capacity = 1.0;
};

/** Limits a rate: an action takes a token, and tokens come in evenly. */
class token_bucket
{
public:
    explicit token_bucket(token_bucket_options options);

    /** Takes a token; false when there is none. */
    bool take(absl::Time now);
    /** Takes every token, so that the next one is a full interval away. */
    void takeAll(absl::Time now);

private:
    void refill(absl::Time now);

    token_bucket_options m_options;
    double m_tokens;
    absl::Time m_refilledAt = absl::InfinitePast();
};

} // namespace quetzal
