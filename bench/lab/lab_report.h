#pragma once

#include "lab/lab_run.h"

#include <string>
#include <vector>

namespace quetzal::bench {

/**
 * Returns a table: one line per variant, with the means over its seeds and the range of its worth,
 * then one line per variant and class of requests.
 */
std::string toTable(const lab_experiment &experiment, const std::vector<lab_result> &results);

/** Returns the results of all runs as a JSON document. */
std::string toJson(const lab_experiment &experiment, const std::vector<lab_result> &results);

/**
 * Returns an HTML page of plots: worth by variant, shares by class and workspace, and load, shares
 * and rejections over time.
 */
std::string toHtml(const lab_experiment &experiment, const std::vector<lab_result> &results);

} // namespace quetzal::bench
