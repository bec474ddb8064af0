#pragma once

#include "standins/common/standin_server.h"
#include "standins/engine/engine_model.h"

#include <absl/time/clock.h>

#include <mutex>
#include <optional>
#include <string>

namespace quetzal::standins {

/** Faults that an engine shows on demand; counts go down as they are used. */
struct engine_faults
{
    bool refuseAll = false;
    bool unresponsive = false;
    int cutAfterEvents = -1;
    int cutBeforeAnswer = 0;
    int crossAnswers = 0;
    int truncate = 0;
    absl::Duration delay {};
};

/** A model engine over HTTP: streams, resume, cancel, load, orders and the control of its faults.
 */
class engine_server
{
public:
    explicit engine_server(engine_options options);

    /** Begins to listen; throws std::system_error when the address is taken. */
    void start(const std::string &ip, int port);
    /** The port in use. */
    int port() const { return m_server.port(); }
    /** Lets running requests end and stops. */
    void finish();

private:
    /** What was decided about one answer when its request arrived. */
    struct answer_plan
    {
        std::string requestId {};
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

    std::optional<std::string> submitRequest(const answer_plan &plan,
                                             const std::string &callerRequestId);
    answer_plan planAnswer(const httplib::Request &request, const nlohmann::json &body);
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
