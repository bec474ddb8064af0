#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace quetzal {

/** How long the targets of one service need, learned from their answers. */
class service_speed
{
public:
    /** The first estimates, used until answers are seen. */
    service_speed(absl::Duration timePerToken, absl::Duration timePerRequest);

    /** A model engine without other prompts began its answer after this time. */
    void onPromptProcessed(std::int64_t tokens, absl::Duration time);
    /** A plain service answered after this time. */
    void onAnswered(absl::Duration time);

    /** The time in which one prompt token is read. */
    absl::Duration timePerToken() const { return m_timePerToken; }
    /** The time in which a plain service answers. */
    absl::Duration timePerRequest() const { return m_timePerRequest; }

private:
    absl::Duration m_timePerToken;
    absl::Duration m_timePerRequest;
};

} // namespace quetzal
