#pragma once

#include "apps/edge/edge_context.h"
#include "forwarding/lifecycle/request_action.h"

#include <absl/time/time.h>

#include <string>
#include <string_view>

namespace quetzal {

/** How a request reached the process. */
struct request_arrival
{
    absl::Time firstByteAt;
    /** The time from the connection's acceptance, or its last answer, to the first byte. */
    absl::Duration quietTime;
    /** The number of the request on its connection, from 1. */
    int ordinal = 1;
    std::size_t bodyBytes = 0;
};

/** Writes log lines and metrics of one request, with the values on which each step was based. */
class request_log
{
public:
    request_log(edge_context &context, const request_arrival &arrival);

    /** Sets what the lines say of the request. */
    void setDescription(const request_description &description);
    /** Logs and counts an attempt that is about to be sent. */
    void sent(const admitted_request &request, const placement &destination, absl::Time now);
    /** Records the time to the first byte of the answer. */
    void answerBegan(request_kind kind, absl::Time now);
    /** Logs an answer that carries the identifier of another request. */
    void answerMismatched(std::string_view target, std::string_view answeredId, int status);
    /** Logs and counts a failed attempt. */
    void attemptFailed(const record_attempt_failed &failed, absl::Time now);
    /** Logs the values that led to a rejection for overload. */
    void overloaded(const admitted_request &request, const overload_cause &cause, absl::Time now);
    /** Logs the held prompt part for which the request was rejected. */
    void partHeld(const admitted_request &request, const held_part_cause &cause);
    /** Logs and counts the end of the request, which is null unless it was admitted. */
    void ended(const admitted_request *request, const record_request_ended &end, absl::Time now);

private:
    std::int64_t ageMs(absl::Time now) const;

    edge_context &m_context;
    std::string m_requestId;
    /** The identifiers of the shared parts of the prompt, separated by commas. */
    std::string m_sharedParts;
    std::int64_t m_tokens = 0;
    request_arrival m_arrival;
    /** The age of the request at the first byte of an answer; -1 if there was none. */
    std::int64_t m_answerBeganMs = -1;
};

} // namespace quetzal
