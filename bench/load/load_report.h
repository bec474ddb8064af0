#pragma once

#include "bench/load/fleet_reader.h"
#include "bench/load/gap_meter.h"
#include "bench/load/load_statistics.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace quetzal {

/** Measurements of a run that do not come from load_statistics. */
struct load_measurements
{
    absl::Duration duration;
    load_violations violations;
    /**
     * Busy fraction of the engines' available slots while the load was sent, by data centre and by
     * phase.
     */
    std::map<std::string, double> utilisation;
    std::map<std::string, double> utilisationByPhase;
    /** Control bytes per second by VM. */
    std::map<std::string, double> controlBytesPerSecond;
    /** Number of executions started, by data centre. */
    std::map<std::string, std::int64_t> executions;
    /** Number of outages of a data centre in which the run checked that no new work started. */
    int outageWindows = 0;
};

/** Returns the number of services whose gap exceeds the bound in the settings. */
int countGapsAboveBound(const load_settings &settings, const configuration_document &document,
                        const std::map<std::string, gap_meter> &gaps);

/** Returns the statistics, gaps and measurements of a run as JSON. */
nlohmann::json reportJson(const load_settings &settings, const configuration_document &document,
                          const load_statistics &statistics,
                          const std::map<std::string, gap_meter> &gaps,
                          const load_measurements &measurements);

/** Returns the JSON of reportJson() as tables of text. */
std::string reportTable(const nlohmann::json &report);

} // namespace quetzal
