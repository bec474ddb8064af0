#pragma once

#include <absl/time/time.h>

namespace quetzal {

/** Options of token_bucket. */
struct token_bucket_options
{
    /** Tokens added per second. */
    double tokensPerSecond = 1.0;
    /** Maximum number of stored tokens. */
    double capacity = 1.0;
};

/** A token bucket rate limiter: each action takes a token; tokens are added at a constant rate. */
class token_bucket
{
public:
    explicit token_bucket(token_bucket_options options);

    /** Takes a token; false if there is none. */
    bool take(absl::Time now);
    /** Removes all tokens, so that the next one is a full interval away. */
    void takeAll(absl::Time now);

private:
    void refill(absl::Time now);

    token_bucket_options m_options;
    double m_tokens;
    absl::Time m_refilledAt = absl::InfinitePast();
};

} // namespace quetzal
