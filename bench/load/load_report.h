#pragma once

#include "bench/load/fleet_reader.h"
#include "bench/load/gap_meter.h"
#include "bench/load/load_statistics.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace quetzal {

/** Everything that a run has shown. */
struct load_measurements
{
    absl::Duration duration;
    load_violations violations;
    /** Busy part of what the engines bore while the load was sent, by data centre and phase. */
    std::map<std::string, double> utilisation;
    std::map<std::string, double> utilisationByPhase;
    /** Control bytes a second by VM. */
    std::map<std::string, double> controlBytesPerSecond;
    /** Executions begun, by data centre. */
    std::map<std::string, std::int64_t> executions;
    /** Times in which a data centre was out and watched for new work. */
    int outageWindows = 0;
};

/** How many services have a gap above the settings' bound. */
int countGapsAboveBound(const load_settings &settings, const configuration_document &document,
                        const std::map<std::string, gap_meter> &gaps);

/** The findings as JSON. */
nlohmann::json reportJson(const load_settings &settings, const configuration_document &document,
                          const load_statistics &statistics,
                          const std::map<std::string, gap_meter> &gaps,
                          const load_measurements &measurements);

/** The report as tables for people. */
std::string reportTable(const nlohmann::json &report);

} // namespace quetzal
