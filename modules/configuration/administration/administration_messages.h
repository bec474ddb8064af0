#pragma once

#include "configuration/administration/operator_registry.h"
#include "foundation/errors/result_code.h"
#include "foundation/json/json_reader.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** A call of the administration API, read from HTTP. */
struct administration_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /** Bearer token; empty when none was sent. */
    std::string token;
    std::string body;
    /** Identifies a change that the call makes; unique. */
    std::string writeId;

    bool operator==(const administration_request &) const = default;

    /** A query parameter, or the fallback when it is absent. */
    std::string parameter(const std::string &name, const std::string &fallback = {}) const;
    /** A query parameter that is an integer from 0 up; nothing when absent or malformed. */
    std::optional<std::int64_t> integerParameter(const std::string &name) const;
    /** The parts of the path between slashes. */
    std::vector<std::string> pathParts() const;
};

/** The answer to an administration_request. */
struct administration_answer
{
    result_code code = result_code::Ok;
    nlohmann::json body = nlohmann::json::object();
    /** The revision that was accepted; the fleet's state is to be added to the body. */
    std::optional<std::int64_t> acceptedRevision;
    /** Name of the operator who called; empty when the token is unknown. */
    std::string callingOperator;

    bool operator==(const administration_answer &) const = default;
};

/** The answer that tells an error; details are members added to it. */
administration_answer makeErrorAnswer(result_code code, const std::string &message = {},
                                      const nlohmann::json &details = nlohmann::json::object());

/** The faults of a document as a JSON list of path and problem. */
nlohmann::json toJson(const std::vector<json_fault> &faults);

} // namespace quetzal
