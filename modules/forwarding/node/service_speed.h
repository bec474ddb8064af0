#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace quetzal {

/** Estimates the processing times of a service's targets from their answers. */
class service_speed
{
public:
    /** Sets the initial estimates, which are used until answers arrive. */
    service_speed(absl::Duration timePerToken, absl::Duration timePerRequest);

    /** Adds the time to the first byte of a model engine that had no other prompts to process. */
    void onPromptProcessed(std::int64_t tokens, absl::Duration time);
    /** Adds the time to the first byte of a plain service. */
    void onAnswered(absl::Duration time);

    /** Returns the estimated processing time of one prompt token. */
    absl::Duration timePerToken() const { return m_timePerToken; }
    /** Returns the estimated time in which a plain service answers. */
    absl::Duration timePerRequest() const { return m_timePerRequest; }

private:
    absl::Duration m_timePerToken;
    absl::Duration m_timePerRequest;
};

} // namespace quetzal
