#pragma once

#include "apps/edge/edge_context.h"
#include "forwarding/lifecycle/request_action.h"

#include <absl/time/time.h>

#include <string>
#include <string_view>

namespace quetzal {

/** Log lines and metrics of one request, with what decided each step. */
class request_log
{
public:
    request_log(edge_context &context, absl::Time arrivedAt);

    /** Names the request once its identifier is known. */
    void setRequestId(std::string requestId) { m_requestId = std::move(requestId); }
    void sent(const admitted_request &request, const placement &destination, absl::Time now);
    void answerBegan(request_kind kind, absl::Time now);
    void answerMismatched(std::string_view target, std::string_view answeredId, int status);
    void attemptFailed(const record_attempt_failed &failed, absl::Time now);
    void overloaded(const admitted_request &request, const overload_cause &cause, absl::Time now);
    void ended(const record_request_ended &end, absl::Time now);

private:
    std::int64_t ageMs(absl::Time now) const;

    edge_context &m_context;
    std::string m_requestId;
    absl::Time m_arrivedAt;
};

} // namespace quetzal
