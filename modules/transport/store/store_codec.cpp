#include "transport/store/store_codec.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace quetzal {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int firstClientError = 400;
constexpr int statusRequestTimeout = 408;
constexpr int statusTooManyRequests = 429;
constexpr int firstServerError = 500;

std::string toBase64(const std::string &text)
{
    return absl::Base64Escape(text);
}

std::string fromBase64(const json &object, const char *name)
{
    std::string text;
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string()
        || !absl::Base64Unescape(found->get_ref<const std::string &>(), &text))
        return {};
    return text;
}

std::int64_t readNumber(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    if (found->is_number_integer())
        return found->get<std::int64_t>();
    std::int64_t value = 0;
    if (found->is_string() && absl::SimpleAtoi(found->get_ref<const std::string &>(), &value))
        return value;
    return 0;
}

json readObject(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_object() ? *found : json::object();
}

std::int64_t readRevision(const json &answer)
{
    return readNumber(readObject(answer, "header"), "revision");
}

store_record readRecord(const json &pair)
{
    return {.value = fromBase64(pair, "value"),
            .modRevision = readNumber(pair, "mod_revision"),
            .lease = readNumber(pair, "lease")};
}

/** Returns the first key after all keys with the prefix; a zero byte means that there is none. */
std::string endOfPrefix(std::string prefix)
{
    constexpr auto highestByte = static_cast<char>(0xff);
    while (!prefix.empty() && prefix.back() == highestByte)
        prefix.pop_back();
    if (prefix.empty())
        return std::string(1, '\0');
    ++prefix.back();
    return prefix;
}

gateway_call encode(const store_transaction &transaction)
{
    json compares = json::array();
    for (const store_compare &compare : transaction.compares)
        compares.push_back({{"key", toBase64(compare.key)},
                            {"target", "MOD"},
                            {"result", "EQUAL"},
                            {"mod_revision", std::to_string(compare.modRevision)}});
    json writes = json::array();
    for (const store_put &put : transaction.puts)
        writes.push_back({{"request_put",
                           {{"key", toBase64(put.key)},
                            {"value", toBase64(put.value)},
                            {"lease", std::to_string(put.lease)}}}});
    for (const std::string &key : transaction.deletes)
        writes.push_back({{"request_delete_range", {{"key", toBase64(key)}}}});
    const json body {{"compare", compares}, {"success", writes}, {"failure", json::array()}};
    return {"/v3/kv/txn", body.dump()};
}

gateway_call encode(const lease_grant &grant)
{
    const json body {{"TTL", std::to_string(grant.lifetimeSeconds)}, {"ID", "0"}};
    return {"/v3/lease/grant", body.dump()};
}

gateway_call encode(const lease_renewal &renewal)
{
    return {"/v3/lease/keepalive", json {{"ID", std::to_string(renewal.lease)}}.dump()};
}

gateway_call encode(const lease_revocation &revocation)
{
    return {"/v3/lease/revoke", json {{"ID", std::to_string(revocation.lease)}}.dump()};
}

store_outcome toOutcome(bool done)
{
    return done ? store_outcome::Done : store_outcome::Refused;
}

void readAnswer(const store_transaction & /*request*/, const json &answer, store_reply &reply)
{
    const auto succeeded = answer.find("succeeded");
    reply.outcome = toOutcome(succeeded != answer.end() && *succeeded == true);
    reply.revision = readRevision(answer);
}

void readAnswer(const lease_grant & /*request*/, const json &answer, store_reply &reply)
{
    reply.lease = readNumber(answer, "ID");
    reply.outcome = toOutcome(reply.lease != 0);
    reply.revision = readRevision(answer);
}

void readAnswer(const lease_renewal & /*request*/, const json &answer, store_reply &reply)
{
    const json result = readObject(answer, "result");
    reply.outcome = toOutcome(readNumber(result, "TTL") > 0);
    reply.revision = readRevision(result);
}

void readAnswer(const lease_revocation & /*request*/, const json &answer, store_reply &reply)
{
    reply.outcome = store_outcome::Done;
    reply.revision = readRevision(answer);
}

bool isRefusal(int status)
{
    return status >= firstClientError && status < firstServerError && status != statusRequestTimeout
        && status != statusTooManyRequests;
}

void applyEvent(const json &event, store_view &view)
{
    const json pair = readObject(event, "kv");
    const std::string key = fromBase64(pair, "key");
    const auto type = event.find("type");
    if (type != event.end() && *type == "DELETE")
        view.records.erase(key);
    else
        view.records[key] = readRecord(pair);
    view.revision = std::max(view.revision, readNumber(pair, "mod_revision"));
}

} // namespace

gateway_call encodeStoreRequest(const store_request &request)
{
    return std::visit([](const auto &alternative) { return encode(alternative); }, request);
}

gateway_call encodeRangeCall(const std::string &keyPrefix)
{
    const json body {{"key", toBase64(keyPrefix)}, {"range_end", toBase64(endOfPrefix(keyPrefix))}};
    return {"/v3/kv/range", body.dump()};
}

gateway_call encodeWatchCall(const std::string &keyPrefix, std::int64_t startRevision)
{
    const json request {{"key", toBase64(keyPrefix)},
                        {"range_end", toBase64(endOfPrefix(keyPrefix))},
                        {"start_revision", std::to_string(startRevision)}};
    return {"/v3/watch", json {{"create_request", request}}.dump()};
}

store_reply decodeStoreReply(const store_request &request, int status, const std::string &body)
{
    store_reply reply;
    reply.requestId
        = std::visit([](const auto &alternative) { return alternative.requestId; }, request);
    if (isRefusal(status)) {
        reply.outcome = store_outcome::Refused;
        return reply;
    }
    const json answer = json::parse(body, nullptr, false);
    if (status != statusOk || !answer.is_object())
        return reply;
    std::visit([&](const auto &alternative) { readAnswer(alternative, answer, reply); }, request);
    return reply;
}

std::optional<store_view> decodeRange(const std::string &body)
{
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || readRevision(answer) == 0)
        return std::nullopt;
    store_view view;
    view.revision = readRevision(answer);
    const auto pairs = answer.find("kvs");
    if (pairs == answer.end())
        return view;
    if (!pairs->is_array())
        return std::nullopt;
    for (const json &pair : *pairs)
        view.records[fromBase64(pair, "key")] = readRecord(pair);
    return view;
}

watch_line_result applyWatchLine(const std::string &line, store_view &view)
{
    const json parsed = json::parse(line, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("result"))
        return watch_line_result::Ended;
    const json result = readObject(parsed, "result");
    const auto cancelled = result.find("canceled");
    if (cancelled != result.end() && *cancelled == true)
        return watch_line_result::Ended;
    const auto events = result.find("events");
    if (events == result.end() || !events->is_array() || events->empty())
        return watch_line_result::Unchanged;
    for (const json &event : *events)
        applyEvent(event, view);
    return watch_line_result::Changed;
}

} // namespace quetzal
