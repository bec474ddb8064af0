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

/** A call to the administration API, parsed from an HTTP request. */
struct administration_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /** Bearer token; empty if none was sent. */
    std::string token;
    std::string body;
    /** Unique identifier for the change that the call may make. */
    std::string writeId;

    bool operator==(const administration_request &) const = default;

    /** Returns a query parameter, or the fallback if it is absent. */
    std::string parameter(const std::string &name, const std::string &fallback = {}) const;
    /** Returns a non-negative integer parameter; std::nullopt if it is absent or malformed. */
    std::optional<std::int64_t> integerParameter(const std::string &name) const;
    /** Returns the non-empty segments of the path. */
    std::vector<std::string> pathParts() const;
};

/** The answer to an administration_request. */
struct administration_answer
{
    result_code code = result_code::Ok;
    nlohmann::json body = nlohmann::json::object();
    /** The accepted revision, if any; the server then adds the state of the fleet to the body. */
    std::optional<std::int64_t> acceptedRevision;
    /** Name of the operator who made the call; empty if the token is unknown. */
    std::string callingOperator;

    bool operator==(const administration_answer &) const = default;
};

/**
 * Creates an error answer with the code, its name, message and remedy. An empty message stands for
 * the meaning of the code; details are additional members of the error.
 */
administration_answer makeErrorAnswer(result_code code, const std::string &message = {},
                                      const nlohmann::json &details = nlohmann::json::object());

/** Returns the faults of a document as a JSON list of objects with path and problem. */
nlohmann::json toJson(const std::vector<json_fault> &faults);

} // namespace quetzal
