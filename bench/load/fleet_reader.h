#pragma once

#include "bench/load/load_settings.h"
#include "bench/load/load_statistics.h"
#include "bench/load/utilisation_series.h"

#include <map>
#include <string>
#include <vector>

namespace quetzal {

/** Reads logs and counters of the stand-ins and of the fleet's processes over HTTP. */
class fleet_reader
{
public:
    /** Keeps a reference to the settings, which must outlive the reader. */
    explicit fleet_reader(const load_settings &settings);

    /**
     * Returns the execution logs of all targets. Throws std::runtime_error with the target's
     * address if a target does not answer: without its log the run proves nothing.
     */
    std::vector<logged_execution> readExecutions() const;
    /** Returns the slot usage by data centre, without targets that do not count slots. */
    std::map<std::string, slot_usage> readSlotUsage() const;
    /** Returns how often a cold engine received more load than it can serve, over all targets. */
    int readColdLimitExceeded() const;
    /**
     * Returns the bytes of control traffic that all processes of each VM have sent and received
     * since they started, by VM.
     */
    std::map<std::string, double> readControlBytes() const;

private:
    const load_settings &m_settings;
};

/** Returns the sum of the control byte metrics in the text of a /metrics answer; 0 without any. */
double controlBytesInMetrics(const std::string &text);

/**
 * Reads the file of outage windows, a list of {"dataCentre", "fromMs", "toMs"} in Unix
 * milliseconds. Returns an empty list for an empty path; throws std::runtime_error if the file is
 * not a list.
 */
std::vector<outage_window> readOutageWindows(const std::string &path);

} // namespace quetzal
