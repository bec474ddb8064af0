#pragma once

#include "standins/store/store_model.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace quetzal::standins {

/**
 * Requests and answers of etcd's v3 JSON gateway.
 *
 * Keys and values are base64, 64-bit numbers are strings, and members with their default value are
 * left out. The reading functions throw nlohmann::json::exception or std::invalid_argument.
 */
transaction_request readTransaction(const nlohmann::json &body);
put_operation readPut(const nlohmann::json &body);
key_range readRange(const nlohmann::json &body);
/** An integer given as a string or as a number; 0 when absent. */
std::int64_t readNumber(const nlohmann::json &body, const std::string &name);

nlohmann::json headerJson(std::int64_t revision);
nlohmann::json toJson(const stored_key &key);
nlohmann::json toJson(const std::vector<stored_key> &keys);
nlohmann::json toJson(const store_event &event);
nlohmann::json toJson(const transaction_answer &answer, const transaction_request &request);

} // namespace quetzal::standins
