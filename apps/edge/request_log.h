#pragma once

#include "apps/edge/edge_context.h"
#include "forwarding/lifecycle/request_action.h"

#include <absl/time/time.h>

#include <string>
#include <string_view>

namespace quetzal {

/** Writes log lines and metrics of one request, with the values on which each step was based. */
class request_log
{
public:
    request_log(edge_context &context, absl::Time arrivedAt);

    /** Sets what is written of a request: its identifier to every line, its tokens to the last. */
    void setRequest(const request_description &request);
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
    /** Logs and counts the end of the request. @param workspace empty if it is not known */
    void ended(const record_request_ended &end, std::string_view workspace, absl::Time now);

private:
    std::int64_t ageMs(absl::Time now) const;

    edge_context &m_context;
    std::string m_requestId;
    /** The tokens that the request counts for; 0 for plain requests. */
    std::int64_t m_tokens = 0;
    absl::Time m_arrivedAt;
    /** The age of the request at the first byte of an answer; -1 if there was none. */
    std::int64_t m_answerBeganMs = -1;
};

} // namespace quetzal
