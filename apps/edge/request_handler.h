#pragma once

#include "apps/edge/edge_context.h"
#include "apps/edge/request_log.h"
#include "apps/edge/target_connection.h"
#include "forwarding/lifecycle/request_lifecycle.h"
#include "http/message/response_writer.h"

#include <absl/time/time.h>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace quetzal {

class caller_connection;

/** Performs the actions decided by request_lifecycle on the connections of caller and target. */
class request_handler : public std::enable_shared_from_this<request_handler>
{
public:
    request_handler(edge_context &context, std::weak_ptr<caller_connection> caller,
                    request_head head, std::string body, request_arrival arrival);

    /** Starts forwarding the request, or rejects it. */
    void start();
    /** Must be called when the answers of a process that shuts down are due. */
    void onShutdownDue();
    /** Must be called when the caller closes its connection. */
    void onCallerDisconnected();

private:
    void startDeadlineTimer(absl::Time now);
    void performActions(const request_actions &actions);
    void performAction(const send_request &action);
    void performAction(const release_target &action);
    void performAction(const begin_stream &action);
    void performAction(const relay_body &action);
    void performAction(const end_stream &action);
    void performAction(const relay_answer &action);
    void performAction(const answer_locally &action);
    void performAction(const abort_answer &action);
    void performAction(const record_answer_began &action);
    void performAction(const record_attempt_failed &action);
    void performAction(const record_request_ended &action);

    /** Returns the head of the request as it is sent to a target. */
    std::string headBytes(const send_request &action) const;
    exchange_callbacks callbacks();
    answer_disposition onHead(const response_head &head);

    edge_context &m_context;
    std::weak_ptr<caller_connection> m_caller;
    request_log m_log;
    boost::asio::steady_timer m_timer;
    request_head m_head;
    /** Shared with the connection that writes it. */
    std::shared_ptr<const std::string> m_body;
    response_writer m_writer;
    absl::Time m_arrivedAt;
    /** Not set if the request head is invalid. */
    std::optional<request_lifecycle> m_lifecycle;
    std::shared_ptr<target_connection> m_connection;
    response_head m_answerHead;
};

} // namespace quetzal
