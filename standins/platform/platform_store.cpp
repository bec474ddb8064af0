#include "standins/platform/platform_store.h"

#include <absl/strings/escaping.h>
#include <absl/time/clock.h>

#include <utility>

namespace quetzal::standins {

namespace {

constexpr int statusUnavailable = 503;
constexpr int statusTooManyRequests = 429;
constexpr int statusGone = 410;
constexpr int statusConflict = 412;
constexpr std::size_t pageItems = 500;
constexpr absl::Duration watchPollInterval = absl::Milliseconds(5);

/** Returns the range of all keys with a prefix, which must not be empty. */
key_range rangeOf(const std::string &prefix)
{
    std::string end = prefix;
    ++end.back();
    return {.key = prefix, .end = end};
}

nlohmann::json itemJson(const stored_key &key)
{
    return {{"key", key.key},
            {"value", absl::Base64Escape(key.value)},
            {"revision", key.modRevision},
            {"created", key.createRevision},
            {"lease", key.lease}};
}

} // namespace

void platform_keys::write(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex);
    model.transact({.success = {put_operation {.key = key, .value = value}}}, absl::Now());
}

void platform_keys::remove(const std::string &key)
{
    const std::lock_guard lock(mutex);
    model.transact({.success = {delete_operation {.range = {.key = key}}}}, absl::Now());
}

void platform_keys::restore(const store_model &copy)
{
    const std::lock_guard lock(mutex);
    model = copy;
    compactedUpTo = model.revision(absl::Now());
    ++era;
}

platform_store::platform_store(std::shared_ptr<platform_keys> keys)
    : m_keys(std::move(keys))
{
    addRoutes();
}

void platform_store::finish()
{
    m_server.finish();
}

void platform_store::addRoutes()
{
    m_server.Get("/api/kv-range", [this](const auto &request, auto &response) {
        if (!applyFault(response))
            list(request, response);
    });
    m_server.Get("/api/kv-watch", [this](const auto &request, auto &response) {
        if (!applyFault(response))
            watch(request, response);
    });
    m_server.Post("/api/kv-txn", [this](const auto &request, auto &response) {
        if (!applyFault(response))
            transact(request, response);
    });
}

bool platform_store::applyFault(httplib::Response &response)
{
    const store_mode mode = m_mode;
    if (mode == store_mode::Up)
        return false;
    if (mode == store_mode::Unresponsive)
        m_server.holdUnanswered([this] { return m_mode != store_mode::Unresponsive; });
    answerJson(response, {{"error", "busy"}},
               mode == store_mode::TooManyRequests ? statusTooManyRequests : statusUnavailable);
    return true;
}

void platform_store::answer(httplib::Response &response, const nlohmann::json &body, int status)
{
    response.set_header("Store-Era", std::to_string(m_keys->era));
    answerJson(response, body, status);
}

void platform_store::list(const httplib::Request &request, httplib::Response &response)
{
    const std::lock_guard lock(m_keys->mutex);
    const absl::Time now = absl::Now();
    const std::string after = request.get_param_value("after");
    nlohmann::json items = nlohmann::json::array();
    bool hasMore = false;
    for (const stored_key &key :
         m_keys->model.range(rangeOf(request.get_param_value("prefix")), now)) {
        if (key.key <= after)
            continue;
        hasMore = items.size() >= pageItems;
        if (hasMore)
            break;
        items.push_back(itemJson(key));
    }
    answer(response, {{"items", items}, {"hasMore", hasMore}, {"at", m_keys->model.revision(now)}});
}

void platform_store::watch(const httplib::Request &request, httplib::Response &response)
{
    const std::int64_t after = std::stoll(request.get_param_value("after"));
    const absl::Duration wait = absl::Milliseconds(std::stoll(request.get_param_value("waitMs")));
    const key_range range = rangeOf(request.get_param_value("prefix"));
    const absl::Time end = absl::Now() + wait;
    while (true) {
        {
            const std::lock_guard lock(m_keys->mutex);
            const absl::Time now = absl::Now();
            if (after < m_keys->compactedUpTo || after > m_keys->model.revision(now)) {
                answer(response, {{"error", "compacted"}}, statusGone);
                return;
            }
            nlohmann::json events = nlohmann::json::array();
            for (const store_event &event : m_keys->model.history(range, after + 1, now)) {
                if (event.deleted)
                    events.push_back(
                        {{"key", event.key.key}, {"revision", event.revision}, {"deleted", true}});
                else
                    events.push_back(itemJson(event.key));
            }
            if (!events.empty() || now >= end || m_server.isFinishing()) {
                answer(response, {{"events", events}, {"at", m_keys->model.revision(now)}});
                return;
            }
        }
        if (applyFault(response))
            return;
        absl::SleepFor(watchPollInterval);
    }
}

void platform_store::transact(const httplib::Request &request, httplib::Response &response)
{
    const auto body = nlohmann::json::parse(request.body);
    transaction_request transaction;
    for (const nlohmann::json &row : body.at("expectedRevision"))
        transaction.compares.push_back({.key = row.at("key").get<std::string>(),
                                        .target = compare_target::ModRevision,
                                        .number = row.at("revision").get<std::int64_t>()});
    for (const nlohmann::json &row : body.at("write")) {
        std::string value;
        absl::Base64Unescape(row.at("value").get<std::string>(), &value);
        transaction.success.emplace_back(
            put_operation {.key = row.at("key").get<std::string>(), .value = value});
    }
    for (const nlohmann::json &key : body.at("remove"))
        transaction.success.emplace_back(
            delete_operation {.range = {.key = key.get<std::string>()}});
    const std::lock_guard lock(m_keys->mutex);
    const absl::Time now = absl::Now();
    const auto done = m_keys->model.transact(transaction, now);
    const bool succeeded = done && done->succeeded;
    answer(response, {{"revision", m_keys->model.revision(now)}}, succeeded ? 200 : statusConflict);
}

} // namespace quetzal::standins
