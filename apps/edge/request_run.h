#pragma once

#include "apps/edge/edge_context.h"
#include "apps/edge/request_log.h"
#include "apps/edge/target_connection.h"
#include "forwarding/lifecycle/request_lifecycle.h"
#include "http/message/message_head.h"

#include <absl/time/time.h>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace quetzal {

class caller_connection;

/** Carries out what the life of one request decides, on the connections of its caller and target.
 */
class request_run : public std::enable_shared_from_this<request_run>
{
public:
    request_run(edge_context &context, std::weak_ptr<caller_connection> caller, request_head head,
                std::string body, absl::Time arrivedAt);

    void start();
    /** The caller closed its connection. */
    void onCallerGone();

private:
    void armTimer(absl::Time now);
    void perform(const request_actions &actions);
    void carryOut(const send_request &action);
    void carryOut(const release_target &action);
    void carryOut(const begin_stream &action);
    void carryOut(const relay_body &action);
    void carryOut(const end_stream &action);
    void carryOut(const relay_answer &action);
    void carryOut(const answer_locally &action);
    void carryOut(const abort_answer &action);
    void carryOut(const record_answer_began &action);
    void carryOut(const record_attempt_failed &action);
    void carryOut(const record_request_ended &action);

    std::string requestBytes(const send_request &action) const;
    exchange_callbacks callbacks();
    answer_disposition onHead(const response_head &head);

    edge_context &m_context;
    std::weak_ptr<caller_connection> m_caller;
    request_log m_log;
    boost::asio::steady_timer m_timer;
    request_head m_head;
    std::string m_body;
    absl::Time m_arrivedAt;
    /** Nothing while the request is not understood. */
    std::optional<request_lifecycle> m_life;
    std::shared_ptr<target_connection> m_connection;
    response_head m_answerHead;
};

} // namespace quetzal
