#pragma once

#include <string>
#include <vector>

namespace quetzal::bench {

/** Cost of one operation or object at several sizes, and the line through the points. */
struct slope_row
{
    std::string object;
    std::string measure;
    std::string unit;
    std::vector<double> sizes;
    std::vector<double> values;
    /** Least-squares line: value = intercept + slope x size. */
    double slope = 0.0;
    double intercept = 0.0;
};

/** Fits the line of a row. */
void fitLine(slope_row &row);
/** Measures the fairness objects at four sizes or more; processor time and memory. */
std::vector<slope_row> measureSlopes();
/** The rows as a table for people. */
std::string toTable(const std::vector<slope_row> &rows);
/** The rows as JSON. */
std::string toJson(const std::vector<slope_row> &rows);

} // namespace quetzal::bench
