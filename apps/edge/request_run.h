#pragma once

#include "apps/edge/edge_context.h"
#include "apps/edge/request_log.h"
#include "apps/edge/target_connection.h"
#include "forwarding/request/answer_description.h"
#include "forwarding/request/attempt_rules.h"
#include "forwarding/request/request_description.h"
#include "http/message/message_head.h"
#include "http/stream/event_scanner.h"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace quetzal {

class caller_connection;

/** The way of one request from its caller to a target and back. */
class request_run : public std::enable_shared_from_this<request_run>
{
public:
    request_run(edge_context &context, std::weak_ptr<caller_connection> caller, request_head head,
                std::string body, absl::Time arrivedAt);

    void start();
    /** The caller closed its connection. */
    void onCallerGone();

private:
    enum class relay
    {
        None,
        /** The body is collected until it is whole. */
        Whole,
        /** The body is passed on as it arrives; nothing was passed on yet. */
        StreamPending,
        Streaming,
    };

    void place();
    void send(const placement &where);
    answer_use onHead(const response_head &head);
    void onAnswerBegan();
    void onBody(const std::string &text);
    void onComplete();
    void onFailed(const exchange_failure &cause);
    void onDue();

    void retryOrFail(attempt_failure failure);
    void releaseTarget(exchange_end end);
    void reject(const rejection &reason);
    void fail(bool timedOut);
    void relayWhole();
    void startStream();
    void passOn(const std::string &text);
    bool mayResume() const;
    void abortAnswer(std::string_view reason);
    void finish();
    void logEnd(std::string_view outcome, int status, result_code code);

    edge_context &m_context;
    std::weak_ptr<caller_connection> m_caller;
    request_log m_log;
    boost::asio::steady_timer m_timer;
    request_head m_head;
    std::string m_body;
    request_description m_description;
    std::optional<admitted_request> m_admitted;
    absl::Time m_arrivedAt;
    std::uint64_t m_number;

    attempt_history m_history;
    absl::flat_hash_set<std::string> m_excluded;
    std::string m_target;
    std::shared_ptr<target_connection> m_connection;
    relay m_relay = relay::None;
    response_head m_answerHead;
    answer_description m_answer;
    std::string m_answerBody;
    absl::Time m_sentAt = absl::InfinitePast();
    /** Finds whole events in streams that may go on at another target. */
    event_scanner m_events;
    /** What was seen of the last failed send. */
    std::string m_failureReason;
    bool m_answerBegan = false;
    /** True once the head of an answer was passed on, after which only its body may follow. */
    bool m_headPassed = false;
    bool m_isFinished = false;
};

} // namespace quetzal
