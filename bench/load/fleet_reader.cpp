#include "bench/load/fleet_reader.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace quetzal {

namespace {

constexpr int okStatus = 200;
constexpr time_t timeoutSeconds = 5;

/** Returns the body of the answer; empty if the request fails or the status is not 200. */
std::string get(const load_address &address, const std::string &path)
{
    httplib::Client client(address.ip, address.port);
    client.set_connection_timeout(timeoutSeconds);
    client.set_read_timeout(timeoutSeconds);
    const httplib::Result result = client.Get(path);
    return result && result->status == okStatus ? result->body : "";
}

nlohmann::json getJson(const load_address &address, const std::string &path)
{
    return nlohmann::json::parse(get(address, path), nullptr, false);
}

} // namespace

fleet_reader::fleet_reader(const load_settings &settings)
    : m_settings(settings)
{
}

std::vector<logged_execution> fleet_reader::readExecutions() const
{
    std::vector<logged_execution> executions;
    for (const load_target &target : m_settings.targets) {
        const nlohmann::json log = getJson(target.address, "/standin/log");
        if (!log.is_array())
            throw std::runtime_error(absl::StrCat("no execution log from ", target.address.ip, ":",
                                                  target.address.port));
        for (const nlohmann::json &entry : log) {
            executions.push_back({entry.at("callerRequestId").get<std::string>(), target.dataCentre,
                                  absl::FromUnixMillis(entry.at("startedMs").get<std::int64_t>())});
        }
    }
    return executions;
}

std::map<std::string, slot_usage> fleet_reader::readSlotUsage() const
{
    std::map<std::string, slot_usage> usage;
    for (const load_target &target : m_settings.targets) {
        const nlohmann::json counts = getJson(target.address, "/standin/counts");
        if (!counts.is_object() || !counts.contains("busySlotSeconds"))
            continue;
        slot_usage &dataCentre = usage[target.dataCentre];
        dataCentre.busySlotSeconds += counts.value("busySlotSeconds", 0.0);
        dataCentre.availableSlotSeconds += counts.value("bearableSlotSeconds", 0.0);
    }
    return usage;
}

int fleet_reader::readColdLimitExceeded() const
{
    int exceeded = 0;
    for (const load_target &target : m_settings.targets) {
        const nlohmann::json counts = getJson(target.address, "/standin/counts");
        if (counts.is_object())
            exceeded += counts.value("coldLimitExceeded", 0);
    }
    return exceeded;
}

std::map<std::string, double> fleet_reader::readControlBytes() const
{
    std::map<std::string, double> bytes;
    for (const load_node &node : m_settings.nodes) {
        const nlohmann::json status = getJson(node.address, "/v1/status");
        if (status.is_object() && status.contains("controlBytesSent"))
            bytes[node.vm] += status.value("controlBytesSent", 0.0)
                + status.value("controlBytesReceived", 0.0);
        else
            bytes[node.vm] += controlBytesInMetrics(get(node.address, "/metrics"));
    }
    return bytes;
}

double controlBytesInMetrics(const std::string &text)
{
    double total = 0.0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (!absl::StartsWith(line, "quetzal_control_"))
            continue;
        const std::size_t space = line.rfind(' ');
        double value = 0.0;
        if (space != std::string::npos && absl::SimpleAtod(line.substr(space + 1), &value)
            && line.find("_bytes") != std::string::npos)
            total += value;
    }
    return total;
}

std::vector<outage_window> readOutageWindows(const std::string &path)
{
    if (path.empty())
        return {};
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    const nlohmann::json list = nlohmann::json::parse(text.str(), nullptr, false);
    if (!list.is_array())
        throw std::runtime_error(path + " is not a list of windows");
    std::vector<outage_window> windows;
    for (const nlohmann::json &entry : list) {
        windows.push_back({entry.at("dataCentre").get<std::string>(),
                           absl::FromUnixMillis(entry.at("fromMs").get<std::int64_t>()),
                           absl::FromUnixMillis(entry.at("toMs").get<std::int64_t>())});
    }
    return windows;
}

} // namespace quetzal
