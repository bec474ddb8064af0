#include "slopes/slopes_report.h"

#include "fairness/fairness.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <malloc.h>

namespace quetzal::bench {

namespace {

const std::vector<double> workspaceSizes {1875, 3750, 7500, 15000};
const std::vector<double> backloggedSizes {100, 300, 750, 1500};
constexpr int repetitions = 20000;

std::string workspaceName(int index)
{
    return "workspace-" + std::to_string(index);
}

/** Returns the bytes in use on the heap. */
double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/** Returns the mean duration of one call in microseconds. */
double microsecondsOf(int calls, const std::function<void(int)> &call)
{
    const auto start = std::chrono::steady_clock::now();
    for (int index = 0; index < calls; ++index)
        call(index);
    const std::chrono::duration<double, std::micro> elapsed
        = std::chrono::steady_clock::now() - start;
    return elapsed.count() / calls;
}

/** Measures a value at each size and fits the line. */
slope_row measure(std::string object, std::string what, std::string unit,
                  const std::vector<double> &sizes, const std::function<double(int)> &valueAt)
{
    slope_row row {.object = std::move(object),
                   .measure = std::move(what),
                   .unit = std::move(unit),
                   .sizes = sizes,
                   .values = {}};
    for (const double size : sizes)
        row.values.push_back(valueAt(static_cast<int>(size)));
    fitLine(row);
    return row;
}

fair_order makeOrder(int workspaces, int backlogged)
{
    fair_order order;
    for (int index = 0; index < workspaces; ++index)
        order.setShare(workspaceName(index), 1.0 + index % 4);
    for (int index = 0; index < backlogged; ++index) {
        order.setBacklogged(workspaceName(index), true);
        order.charge(workspaceName(index), index);
    }
    return order;
}

double dispatchMicroseconds(int backlogged)
{
    fair_order order = makeOrder(backlogged, backlogged);
    const auto any = [](const std::string &) {
        return true;
    };
    return microsecondsOf(
        repetitions, [&](int index) { order.charge(order.next(any).value(), 100.0 + index % 7); });
}

/** Measures next() when no workspace is eligible, so that it visits all of them. */
double scanMicroseconds(int backlogged)
{
    const fair_order order = makeOrder(backlogged, backlogged);
    const auto none = [](const std::string &) {
        return false;
    };
    return microsecondsOf(repetitions / 100, [&](int) { order.next(none); });
}

double orderBytes(int workspaces)
{
    const double before = heapBytes();
    const fair_order order = makeOrder(workspaces, workspaces / 10);
    return heapBytes() - before;
}

double estimatorBytes(int workspaces)
{
    const double before = heapBytes();
    cost_estimator estimator(cost_estimator_options {});
    for (int index = 0; index < workspaces; ++index)
        estimator.learn({.workspace = workspaceName(index), .requestKind = "chat", .hint = 100.0},
                        90.0);
    return heapBytes() - before;
}

double estimateMicroseconds(int workspaces)
{
    cost_estimator estimator(cost_estimator_options {});
    for (int index = 0; index < workspaces; ++index)
        estimator.learn({.workspace = workspaceName(index), .requestKind = "chat", .hint = 100.0},
                        90.0);
    return microsecondsOf(repetitions, [&](int index) {
        estimator.estimate(
            {.workspace = workspaceName(index % workspaces), .requestKind = "chat", .hint = 100.0});
    });
}

std::string singleHome(const std::string &)
{
    return "vm";
}

double collectMicroseconds(int backlogged)
{
    constexpr int rounds = 20;
    fair_order order = makeOrder(backlogged, backlogged);
    ledger_writer writer("service", "shard#1");
    return microsecondsOf(rounds, [&](int) { writer.collect(order, singleHome); });
}

double exchangeMicroseconds(int backlogged)
{
    constexpr int rounds = 20;
    fair_order order = makeOrder(backlogged, backlogged);
    ledger_writer writer("service", "shard#1");
    ledger_home home(1);
    return microsecondsOf(rounds, [&](int) {
        for (int index = 0; index < backlogged; ++index) {
            order.charge(workspaceName(index), 1.0);
            writer.touch(workspaceName(index));
        }
        for (const auto &[vm, change] : writer.collect(order, singleHome))
            writer.onAnswer(vm, home.onChange(change), order);
    });
}

double writerBytes(int workspaces)
{
    const fair_order order = makeOrder(workspaces, 0);
    const double before = heapBytes();
    ledger_writer writer("service", "shard#1");
    for (int index = 0; index < workspaces; ++index)
        writer.touch(workspaceName(index));
    writer.collect(order, singleHome);
    return heapBytes() - before;
}

/** Returns the memory of a ledger home per account, with an entry of each shard in it. */
double homeBytes(int shards)
{
    constexpr int accounts = 50;
    const double before = heapBytes();
    ledger_home home(1);
    for (int shard = 0; shard < shards; ++shard) {
        ledger_change change {.service = "service",
                              .writer = toText(ledger_writer_name {workspaceName(shard), 1}),
                              .sequence = 1,
                              .lines = {}};
        for (int index = 0; index < accounts; ++index)
            change.lines.push_back({.workspace = workspaceName(index), .charged = 1.0});
        home.onChange(change);
    }
    return (heapBytes() - before) / accounts;
}

} // namespace

void fitLine(slope_row &row)
{
    const auto count = static_cast<double>(row.sizes.size());
    double sumX = 0.0;
    double sumY = 0.0;
    double sumXX = 0.0;
    double sumXY = 0.0;
    for (std::size_t index = 0; index < row.sizes.size(); ++index) {
        sumX += row.sizes[index];
        sumY += row.values[index];
        sumXX += row.sizes[index] * row.sizes[index];
        sumXY += row.sizes[index] * row.values[index];
    }
    row.slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    row.intercept = (sumY - row.slope * sumX) / count;
}

std::vector<slope_row> measureSlopes()
{
    const std::vector<double> shardSizes {5, 10, 20, 40};
    return {
        measure("fair_order", "memory by workspaces, a tenth backlogged", "B", workspaceSizes,
                orderBytes),
        measure("fair_order", "next and charge by backlogged", "us", backloggedSizes,
                dispatchMicroseconds),
        measure("fair_order", "next with nobody eligible by backlogged", "us", backloggedSizes,
                scanMicroseconds),
        measure("cost_estimator", "memory by workspaces and kinds", "B", workspaceSizes,
                estimatorBytes),
        measure("cost_estimator", "estimate by workspaces and kinds", "us", workspaceSizes,
                estimateMicroseconds),
        measure("ledger_writer", "memory by workspaces", "B", workspaceSizes, writerBytes),
        measure("ledger_writer", "collect by backlogged", "us", backloggedSizes,
                collectMicroseconds),
        measure("writer + home", "exchange of every line by backlogged", "us", backloggedSizes,
                exchangeMicroseconds),
        measure("ledger_home", "memory of an account by shards", "B", shardSizes, homeBytes),
    };
}

std::string toTable(const std::vector<slope_row> &rows)
{
    std::string text;
    for (const slope_row &row : rows) {
        absl::StrAppendFormat(&text, "%-15s %-42s %10.4f %s each + %.1f %s\n", row.object,
                              row.measure, row.slope, row.unit, row.intercept, row.unit);
        absl::StrAppendFormat(&text, "%16ssizes %s: %s\n", "", absl::StrJoin(row.sizes, ", "),
                              absl::StrJoin(row.values, ", ", [](std::string *out, double value) {
                                  absl::StrAppendFormat(out, "%.2f", value);
                              }));
    }
    return text;
}

std::string toJson(const std::vector<slope_row> &rows)
{
    nlohmann::json list = nlohmann::json::array();
    for (const slope_row &row : rows)
        list.push_back({{"object", row.object},
                        {"measure", row.measure},
                        {"unit", row.unit},
                        {"sizes", row.sizes},
                        {"values", row.values},
                        {"slope", row.slope},
                        {"intercept", row.intercept}});
    return list.dump(2);
}

} // namespace quetzal::bench
