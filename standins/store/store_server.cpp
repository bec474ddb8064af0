#include "standins/store/store_server.h"

#include "standins/common/connection_stream.h"
#include "standins/store/store_json.h"

#include <absl/time/clock.h>

#include <memory>
#include <utility>

namespace quetzal::standins {

namespace {

constexpr absl::Duration watchPollInterval = absl::Milliseconds(10);
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;
constexpr int codeInvalid = 3;
constexpr int codeNotFound = 5;
constexpr int codeExhausted = 8;

nlohmann::json errorJson(const std::string &message, int code)
{
    return {{"error", message}, {"code", code}, {"message", message}};
}

nlohmann::json leaseNotFound()
{
    return errorJson("etcdserver: requested lease not found", codeNotFound);
}

} // namespace

store_server::store_server()
{
    addKeyRoutes();
    addLeaseRoutes();
    addControlRoutes();
}

void store_server::start(const std::string &ip, int port)
{
    m_server.start(ip, port);
}

void store_server::finish()
{
    m_server.finish();
}

void store_server::addRoute(const std::string &path, call_kind kind, operation perform)
{
    m_server.Post(path,
                  [this, kind, perform = std::move(perform)](const httplib::Request &request,
                                                             httplib::Response &response) {
                      handle(request, response, kind, perform);
                  });
}

void store_server::addKeyRoutes()
{
    addRoute("/v3/kv/range", call_kind::Read, [this](const nlohmann::json &body, absl::Time now) {
        const std::vector<stored_key> keys = m_model.range(readRange(body), now);
        nlohmann::json answer = {{"header", headerJson(m_model.revision(now))}};
        if (!keys.empty()) {
            answer["kvs"] = toJson(keys);
            answer["count"] = std::to_string(keys.size());
        }
        return store_answer {answer};
    });
    addRoute("/v3/kv/put", call_kind::Write,
             [this](const nlohmann::json &body, absl::Time now) { return put(body, now); });
    addRoute("/v3/kv/deleterange", call_kind::Write,
             [this](const nlohmann::json &body, absl::Time now) { return remove(body, now); });
    addRoute("/v3/kv/txn", call_kind::Write,
             [this](const nlohmann::json &body, absl::Time now) { return transact(body, now); });
    m_server.Post("/v3/watch",
                  [this](const auto &request, auto &response) { watch(request, response); });
}

void store_server::addLeaseRoutes()
{
    addRoute(
        "/v3/lease/grant", call_kind::Lease, [this](const nlohmann::json &body, absl::Time now) {
            const std::int64_t seconds = readNumber(body, "TTL");
            const std::int64_t id
                = m_model.grantLease(readNumber(body, "ID"), absl::Seconds(seconds), now);
            if (id == 0)
                return store_answer {errorJson("etcdserver: lease already exists", codeInvalid),
                                     statusBadRequest};
            return store_answer {{{"header", headerJson(m_model.revision(now))},
                                  {"ID", std::to_string(id)},
                                  {"TTL", std::to_string(seconds)}}};
        });
    addRoute("/v3/lease/keepalive", call_kind::Lease,
             [this](const nlohmann::json &body, absl::Time now) {
                 const std::int64_t id = readNumber(body, "ID");
                 nlohmann::json result = {{"ID", std::to_string(id)}};
                 if (const auto lifetime = m_model.renewLease(id, now))
                     result["TTL"] = std::to_string(absl::ToInt64Seconds(*lifetime));
                 result["header"] = headerJson(m_model.revision(now));
                 return store_answer {{{"result", result}}};
             });
    addRoute("/v3/lease/revoke", call_kind::Lease,
             [this](const nlohmann::json &body, absl::Time now) {
                 if (!m_model.revokeLease(readNumber(body, "ID"), now))
                     return store_answer {leaseNotFound(), statusNotFound};
                 return store_answer {{{"header", headerJson(m_model.revision(now))}}};
             });
}

void store_server::addControlRoutes()
{
    m_server.Post("/standin/fault",
                  [this](const auto &request, auto &response) { setFaults(request, response); });
    m_server.Get("/standin/counts",
                 [this](const auto &, auto &response) { reportCounts(response); });
}

void store_server::handle(const httplib::Request &request, httplib::Response &response,
                          call_kind kind, const operation &perform)
{
    absl::Duration delay;
    {
        const std::lock_guard lock(m_mutex);
        delay = m_faults.delay;
    }
    absl::SleepFor(delay);
    if (isDown()) {
        connection_stream::current()->abandon();
        return;
    }
    const nlohmann::json body = readJsonObject(request, response);
    if (body.is_null())
        return;

    const std::lock_guard lock(m_mutex);
    const absl::Time now = absl::Now();
    if (kind == call_kind::Write && exceedsWriteLimit(now)) {
        ++m_counts.refused;
        answerJson(response, errorJson("etcdserver: too many requests", codeExhausted),
                   statusTooManyRequests);
        return;
    }
    std::int64_t &count = kind == call_kind::Read ? m_counts.reads
        : kind == call_kind::Write                ? m_counts.writes
                                                  : m_counts.leaseCalls;
    ++count;
    try {
        const store_answer answer = perform(body, now);
        answerJson(response, answer.body, answer.status);
    } catch (const std::exception &error) {
        answerJson(response, errorJson(error.what(), codeInvalid), statusBadRequest);
        return;
    }
    if (kind != call_kind::Read && m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        ++m_counts.answersLost;
        connection_stream::current()->abandon();
    }
}

bool store_server::exceedsWriteLimit(absl::Time now)
{
    const std::int64_t second = absl::ToUnixSeconds(now);
    if (second != m_writeSecond) {
        m_writeSecond = second;
        m_writesThisSecond = 0;
    }
    ++m_writesThisSecond;
    return m_faults.limitWritesPerSecond > 0 && m_writesThisSecond > m_faults.limitWritesPerSecond;
}

bool store_server::isDown()
{
    const std::lock_guard lock(m_mutex);
    return m_faults.down;
}

store_server::store_answer store_server::put(const nlohmann::json &body, absl::Time now)
{
    if (!m_model.transact({.success = {readPut(body)}}, now))
        return {leaseNotFound(), statusNotFound};
    return {{{"header", headerJson(m_model.revision(now))}}};
}

store_server::store_answer store_server::remove(const nlohmann::json &body, absl::Time now)
{
    const auto answer = m_model.transact({.success = {delete_operation {readRange(body)}}}, now);
    nlohmann::json result = {{"header", headerJson(m_model.revision(now))}};
    if (answer->answers.front().deleted > 0)
        result["deleted"] = std::to_string(answer->answers.front().deleted);
    return {result};
}

store_server::store_answer store_server::transact(const nlohmann::json &body, absl::Time now)
{
    const transaction_request request = readTransaction(body);
    const auto answer = m_model.transact(request, now);
    if (!answer)
        return {leaseNotFound(), statusNotFound};
    nlohmann::json result = toJson(*answer, request);
    result["header"] = headerJson(m_model.revision(now));
    return {result};
}

void store_server::watch(const httplib::Request &request, httplib::Response &response)
{
    if (isDown()) {
        connection_stream::current()->abandon();
        return;
    }
    const nlohmann::json body = readJsonObject(request, response);
    if (body.is_null())
        return;
    key_range range;
    std::int64_t firstRevision = 0;
    try {
        const nlohmann::json create = body.value("create_request", nlohmann::json::object());
        range = readRange(create);
        firstRevision = readNumber(create, "start_revision");
    } catch (const std::exception &error) {
        answerJson(response, errorJson(error.what(), codeInvalid), statusBadRequest);
        return;
    }

    const std::lock_guard lock(m_mutex);
    ++m_counts.watches;
    const std::int64_t revision = m_model.revision(absl::Now());
    const nlohmann::json created = {{"header", headerJson(revision)}, {"created", true}};
    auto nextRevision
        = std::make_shared<std::int64_t>(firstRevision > 0 ? firstRevision : revision + 1);
    auto createdMessage
        = std::make_shared<std::string>(nlohmann::json {{"result", created}}.dump() + "\n");
    response.set_chunked_content_provider(
        "application/json",
        [this, range, nextRevision, createdMessage](std::size_t, httplib::DataSink &sink) {
            if (!createdMessage->empty()) {
                const std::string text = std::exchange(*createdMessage, "");
                return sink.write(text.data(), text.size());
            }
            return writeEvents(range, *nextRevision, sink);
        });
}

bool store_server::writeEvents(const key_range &range, std::int64_t &nextRevision,
                               httplib::DataSink &sink)
{
    absl::SleepFor(watchPollInterval);
    if (isDown() || m_server.isFinishing())
        return false;
    std::vector<store_event> events;
    std::int64_t revision = 0;
    {
        const std::lock_guard lock(m_mutex);
        const absl::Time now = absl::Now();
        revision = m_model.revision(now);
        events = m_model.history(range, nextRevision, now);
        nextRevision = std::max(nextRevision, revision + 1);
    }
    if (events.empty())
        return true;
    nlohmann::json list = nlohmann::json::array();
    for (const store_event &event : events)
        list.push_back(toJson(event));
    const nlohmann::json line = {{"result", {{"header", headerJson(revision)}, {"events", list}}}};
    const std::string text = line.dump() + "\n";
    return sink.write(text.data(), text.size());
}

void store_server::setFaults(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = readJsonObject(request, response);
    if (body.is_null())
        return;
    const std::lock_guard lock(m_mutex);
    m_faults.down = body.value("down", m_faults.down);
    if (body.contains("slowMs"))
        m_faults.delay = absl::Milliseconds(body.value("slowMs", 0));
    m_faults.loseAnswers = body.value("loseAnswers", m_faults.loseAnswers);
    m_faults.limitWritesPerSecond
        = body.value("limitWritesPerSecond", m_faults.limitWritesPerSecond);
    answerJson(response, {{"set", true}});
}

void store_server::reportCounts(httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    answerJson(response,
               {{"reads", m_counts.reads},
                {"writes", m_counts.writes},
                {"leaseCalls", m_counts.leaseCalls},
                {"watches", m_counts.watches},
                {"refused", m_counts.refused},
                {"answersLost", m_counts.answersLost},
                {"revision", m_model.revision(absl::Now())}});
}

} // namespace quetzal::standins
