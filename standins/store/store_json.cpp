#include "standins/store/store_json.h"

#include <absl/strings/escaping.h>

#include <stdexcept>

namespace quetzal::standins {

namespace {

std::string readBase64(const nlohmann::json &body, const std::string &name)
{
    const std::string encoded = body.value(name, "");
    std::string decoded;
    if (!absl::Base64Unescape(encoded, &decoded))
        throw std::invalid_argument(name + " is not base64");
    return decoded;
}

compare_target readTarget(const std::string &name)
{
    if (name == "MOD")
        return compare_target::ModRevision;
    if (name == "CREATE")
        return compare_target::CreateRevision;
    if (name == "VERSION")
        return compare_target::Version;
    if (name == "VALUE")
        return compare_target::Value;
    throw std::invalid_argument("unknown compare target " + name);
}

compare_result readResult(const std::string &name)
{
    if (name == "EQUAL")
        return compare_result::Equal;
    if (name == "GREATER")
        return compare_result::Greater;
    if (name == "LESS")
        return compare_result::Less;
    if (name == "NOT_EQUAL")
        return compare_result::NotEqual;
    throw std::invalid_argument("unknown compare result " + name);
}

std::int64_t readCompareNumber(const nlohmann::json &body, compare_target target)
{
    switch (target) {
    case compare_target::ModRevision:
        return readNumber(body, "mod_revision");
    case compare_target::CreateRevision:
        return readNumber(body, "create_revision");
    case compare_target::Version:
        return readNumber(body, "version");
    case compare_target::Value:
        return 0;
    }
    return 0;
}

key_compare readCompare(const nlohmann::json &body)
{
    key_compare compare {.key = readBase64(body, "key"),
                         .target = readTarget(body.value("target", "VERSION")),
                         .result = readResult(body.value("result", "EQUAL"))};
    compare.number = readCompareNumber(body, compare.target);
    if (compare.target == compare_target::Value)
        compare.value = readBase64(body, "value");
    return compare;
}

store_operation readOperation(const nlohmann::json &body)
{
    if (body.contains("request_put"))
        return readPut(body.at("request_put"));
    if (body.contains("request_delete_range"))
        return delete_operation {readRange(body.at("request_delete_range"))};
    if (body.contains("request_range"))
        return range_operation {readRange(body.at("request_range"))};
    throw std::invalid_argument("unknown operation in a transaction");
}

std::vector<store_operation> readOperations(const nlohmann::json &body, const std::string &name)
{
    std::vector<store_operation> operations;
    for (const nlohmann::json &item : body.value(name, nlohmann::json::array()))
        operations.push_back(readOperation(item));
    return operations;
}

void addNumber(nlohmann::json &body, const char *name, std::int64_t number)
{
    if (number != 0)
        body[name] = std::to_string(number);
}

nlohmann::json operationJson(const store_operation &operation, const operation_answer &answer)
{
    if (std::holds_alternative<put_operation>(operation))
        return {{"response_put", nlohmann::json::object()}};
    if (std::holds_alternative<delete_operation>(operation)) {
        nlohmann::json body = nlohmann::json::object();
        addNumber(body, "deleted", answer.deleted);
        return {{"response_delete_range", body}};
    }
    nlohmann::json body = {{"kvs", toJson(answer.keys)}};
    addNumber(body, "count", static_cast<std::int64_t>(answer.keys.size()));
    return {{"response_range", body}};
}

} // namespace

transaction_request readTransaction(const nlohmann::json &body)
{
    transaction_request request;
    for (const nlohmann::json &item : body.value("compare", nlohmann::json::array()))
        request.compares.push_back(readCompare(item));
    request.success = readOperations(body, "success");
    request.failure = readOperations(body, "failure");
    return request;
}

put_operation readPut(const nlohmann::json &body)
{
    return {readBase64(body, "key"), readBase64(body, "value"), readNumber(body, "lease")};
}

key_range readRange(const nlohmann::json &body)
{
    return {readBase64(body, "key"), readBase64(body, "range_end")};
}

std::int64_t readNumber(const nlohmann::json &body, const std::string &name)
{
    const auto found = body.find(name);
    if (found == body.end())
        return 0;
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

nlohmann::json headerJson(std::int64_t revision)
{
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(revision)},
            {"raft_term", "1"}};
}

nlohmann::json toJson(const stored_key &key)
{
    nlohmann::json body = {{"key", absl::Base64Escape(key.key)}};
    addNumber(body, "create_revision", key.createRevision);
    addNumber(body, "mod_revision", key.modRevision);
    addNumber(body, "version", key.version);
    addNumber(body, "lease", key.lease);
    if (!key.value.empty())
        body["value"] = absl::Base64Escape(key.value);
    return body;
}

nlohmann::json toJson(const std::vector<stored_key> &keys)
{
    nlohmann::json list = nlohmann::json::array();
    for (const stored_key &key : keys)
        list.push_back(toJson(key));
    return list;
}

nlohmann::json toJson(const store_event &event)
{
    nlohmann::json body = {{"kv", toJson(event.key)}};
    if (event.deleted)
        body["type"] = "DELETE";
    return body;
}

nlohmann::json toJson(const transaction_answer &answer, const transaction_request &request)
{
    const auto &operations = answer.succeeded ? request.success : request.failure;
    nlohmann::json responses = nlohmann::json::array();
    for (std::size_t index = 0; index < answer.answers.size(); ++index)
        responses.push_back(operationJson(operations[index], answer.answers[index]));
    nlohmann::json body = {{"responses", responses}};
    if (answer.succeeded)
        body["succeeded"] = true;
    return body;
}

} // namespace quetzal::standins
