#pragma once

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <string>

namespace quetzal::standins {

/** The states of one execution at a stand-in. */
enum class execution_phase
{
    /** Admitted by an engine, waiting for a slot. */
    Waiting,
    Running,
    Done,
    Cancelled,
    /** Lost because the stand-in fell over or restarted. */
    Broken,
};

/** One line of a stand-in's execution log. */
struct execution_record
{
    std::string requestId {};
    std::string callerRequestId {};
    std::string service {};
    absl::Time admitted {};
    int tokens = 0;
    execution_phase phase = execution_phase::Running;

    bool operator==(const execution_record &) const = default;
};

/** The record as an entry of GET /standin/log. */
inline nlohmann::json toJson(const execution_record &record)
{
    const auto name = [&record] {
        switch (record.phase) {
        case execution_phase::Waiting:
        case execution_phase::Running:
            return "running";
        case execution_phase::Done:
            return "done";
        case execution_phase::Cancelled:
            return "cancelled";
        case execution_phase::Broken:
            return "broken";
        }
        return "broken";
    };
    return {{"requestId", record.requestId}, {"callerRequestId", record.callerRequestId},
            {"service", record.service},     {"startedMs", absl::ToUnixMillis(record.admitted)},
            {"tokens", record.tokens},       {"state", name()}};
}

} // namespace quetzal::standins
