#pragma once

#include "standins/store/store_model.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace quetzal::standins {

/**
 * Parsing of requests and encoding of answers in the format of etcd's v3 JSON gateway.
 *
 * Keys and values are base64, 64-bit numbers are strings, and members with their default value are
 * omitted. The parsing functions throw nlohmann::json::exception or std::invalid_argument.
 */
transaction_request readTransaction(const nlohmann::json &body);
put_operation readPut(const nlohmann::json &body);
key_range readRange(const nlohmann::json &body);
/** Returns an integer member that may be a string or a number; 0 if it is absent. */
std::int64_t readNumber(const nlohmann::json &body, const std::string &name);

/** Returns the header of an answer; only the revision varies. */
nlohmann::json headerJson(std::int64_t revision);
nlohmann::json toJson(const stored_key &key);
nlohmann::json toJson(const std::vector<stored_key> &keys);
nlohmann::json toJson(const store_event &event);
/** Returns the body of the answer to a transaction, without its header. */
nlohmann::json toJson(const transaction_answer &answer, const transaction_request &request);

} // namespace quetzal::standins
