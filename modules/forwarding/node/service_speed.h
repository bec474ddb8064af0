#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace quetzal {

/** How long the targets of one service need, learned from their answers. */
class service_speed
{
public:
    /** The first estimates, used until answers are seen. */
    service_speed(absl::Duration perToken, absl::Duration perRequest);

    /** A model engine without other prompts began its answer after this time. */
    void onPromptRead(std::int64_t tokens, absl::Duration time);
    /** A plain service answered after this time. */
    void onAnswered(absl::Duration time);

    /** The time in which one prompt token is read. */
    absl::Duration perToken() const { return m_perToken; }
    /** The time in which a plain service answers. */
    absl::Duration perRequest() const { return m_perRequest; }

private:
    absl::Duration m_perToken;
    absl::Duration m_perRequest;
};

} // namespace quetzal
