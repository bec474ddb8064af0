#pragma once

#include "standins/common/standin_server.h"
#include "standins/engine/engine_model.h"

#include <absl/time/clock.h>

#include <mutex>
#include <optional>
#include <string>

namespace quetzal::standins {

/** Faults that an engine simulates on demand; each use decrements a counted fault. */
struct engine_faults
{
    /** Rejects every request as overloaded. */
    bool refuseAll = false;
    /** Accepts calls but never answers them, except on the control routes. */
    bool unresponsive = false;
    /** Number of events after which the next streamed answer is truncated; -1 for no fault. */
    int cutAfterEvents = -1;
    /** Number of answers to drop: the request runs, but the connection closes unanswered. */
    int cutBeforeAnswer = 0;
    /** Number of answers that carry the id of another request. */
    int crossAnswers = 0;
    /** Number of answers to truncate. */
    int truncate = 0;
    /** Delay before each request is submitted. */
    absl::Duration delay {};
};

/**
 * Serves an engine_model over HTTP: streamed and complete answers, resumption, cancellation, load
 * reports, orders and the control routes under /standin.
 */
class engine_server
{
public:
    explicit engine_server(engine_options options);

    /** Starts listening; throws std::system_error if the address cannot be bound. */
    void start(const std::string &ip, int port);
    /** Returns the port that the server listens on. */
    int port() const { return m_server.port(); }
    /** Waits for running handlers and shuts the server down. */
    void finish();

private:
    /** How a request is answered, faults included; fixed when the request arrives. */
    struct answer_plan
    {
        std::string requestId {};
        /** The request id that the answer carries; differs from requestId for a crossed answer. */
        std::string responseRequestId {};
        std::string message {};
        int tokens = 0;
        int cutAfterEvents = -1;
        bool cutBeforeAnswer = false;
        bool truncated = false;
    };

    void addRequestRoutes();
    void addControlRoutes();
    void complete(const httplib::Request &request, httplib::Response &response);
    void resume(const httplib::Request &request, httplib::Response &response);
    void cancel(const httplib::Request &request, httplib::Response &response);
    void reportLoad(httplib::Response &response);
    void handleOrder(const httplib::Request &request, httplib::Response &response);
    void setFaults(const httplib::Request &request, httplib::Response &response);
    void reportCounts(httplib::Response &response);

    /**
     * Submits a request to the model. Returns nothing if it was accepted, the error type if it was
     * rejected, and an empty string if the connection must be closed without an answer.
     */
    std::optional<std::string> submitRequest(const answer_plan &plan,
                                             const std::string &callerRequestId);
    /** Applies the fault delay and consumes the counted faults for one answer. */
    answer_plan planAnswer(const httplib::Request &request, const nlohmann::json &body);
    /**
     * While the engine is set unresponsive, blocks the handler and closes the connection without an
     * answer. Returns whether it did so.
     */
    bool holdsIfUnresponsive();
    void stream(httplib::Response &response, const answer_plan &plan, int firstEvent);
    bool writeEvents(const answer_plan &plan, int &nextEvent, httplib::DataSink &sink);
    void sendCompleteAnswer(httplib::Response &response, const answer_plan &plan);
    engine_progress progressOf(const std::string &requestId);
    void detach(const std::string &requestId);

    standin_server m_server;
    std::mutex m_mutex;
    engine_model m_model;
    engine_faults m_faults;
    std::map<std::string, answer_plan> m_plans;
};

} // namespace quetzal::standins
