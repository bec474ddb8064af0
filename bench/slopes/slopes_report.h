#pragma once

#include <string>
#include <vector>

namespace quetzal::bench {

/** Cost of one operation or object at several sizes, with the line fitted through the points. */
struct slope_row
{
    std::string object;
    std::string measure;
    std::string unit;
    std::vector<double> sizes;
    std::vector<double> values;
    /** Least-squares line: value = intercept + slope * size. */
    double slope = 0.0;
    double intercept = 0.0;
};

/** Sets slope and intercept of a row from its sizes and values. */
void fitLine(slope_row &row);
/**
 * Measures the fairness classes at four sizes each: memory in bytes, and elapsed time in
 * microseconds.
 */
std::vector<slope_row> measureSlopes();
/** Returns the rows as a table of text. */
std::string toTable(const std::vector<slope_row> &rows);
/** Returns the rows as JSON. */
std::string toJson(const std::vector<slope_row> &rows);

} // namespace quetzal::bench
