#pragma once

#include "bench/load/load_settings.h"
#include "bench/load/load_statistics.h"
#include "bench/load/utilisation_series.h"

#include <map>
#include <string>
#include <vector>

namespace quetzal {

/** Reads what the stand-ins and our own processes say about themselves over HTTP. */
class fleet_reader
{
public:
    /** The settings must outlive this. */
    explicit fleet_reader(const load_settings &settings);

    /**
     * The execution logs of all targets; throws std::runtime_error naming a target that does not
     * answer, because without its log nothing is proved.
     */
    std::vector<logged_execution> readExecutions() const;
    /** Slot usage by data centre; targets that count no slots are left out. */
    std::map<std::string, slot_usage> readSlotUsage() const;
    /** How often a cold engine was given more than it bears, over all targets. */
    int readColdLimitExceeded() const;
    /** Bytes of control traffic sent and received by VM so far, of all its processes. */
    std::map<std::string, double> readControlBytes() const;

private:
    const load_settings &m_settings;
};

/** Control bytes in the text of a /metrics answer; 0 when there are none. */
double controlBytesInMetrics(const std::string &text);

/**
 * Reads the windows file: a list of {"dataCentre", "fromMs", "toMs"} in Unix milliseconds. An empty
 * path is an empty list; throws std::runtime_error when the file is not such a list.
 */
std::vector<outage_window> readOutageWindows(const std::string &path);

} // namespace quetzal
