#include "apps/ctl/ctl_output.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace quetzal {

namespace {

using table_row = std::vector<std::string>;

std::string cellOf(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/** Formats a list of JSON objects as a table with a column for each of the members. */
std::string makeTable(const nlohmann::json &list, const std::vector<std::string> &members)
{
    std::vector<table_row> rows {members};
    for (const nlohmann::json &item : list) {
        table_row row;
        for (const std::string &member : members)
            row.push_back(item.contains(member) ? cellOf(item.at(member)) : "-");
        rows.push_back(row);
    }
    std::vector<std::size_t> widths(members.size());
    for (const table_row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const table_row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            text += row[column];
            if (column + 1 < row.size())
                text.append(widths[column] - row[column].size() + 2, ' ');
        }
        text += "\n";
    }
    return text;
}

std::string tableOfChanges(const nlohmann::json &body)
{
    const nlohmann::json &changes = body.at("changes");
    if (changes.empty())
        return absl::StrCat("no difference from revision ", cellOf(body.at("revision")), "\n");
    std::string text = absl::StrCat("against revision ", cellOf(body.at("revision")), "\n");
    for (const nlohmann::json &change : changes) {
        absl::StrAppend(&text, cellOf(change.at("change")), " ", cellOf(change.at("list")), " ",
                        cellOf(change.at("name")), "\n");
        for (const nlohmann::json &member : change.at("members"))
            absl::StrAppend(&text, "    ", cellOf(member.at("member")), ": ",
                            cellOf(member.at("before")), " -> ", cellOf(member.at("after")), "\n");
    }
    return text;
}

std::string tableOfStatus(const nlohmann::json &body)
{
    const bool reachable = body.at("storeReachable").get<bool>();
    std::string text = absl::StrCat("revision ", cellOf(body.at("revision")), "  digest ",
                                    cellOf(body.at("digest")), "  store ",
                                    reachable ? "reachable" : "not reachable", "\n\n");
    text += makeTable(body.at("dataCentres"), {"name", "state"}) + "\n";
    text += makeTable(body.at("vms"),
                      {"vm", "state", "schedulerRevision", "routerRevision", "connected",
                       "storeReachable", "stopping"})
        + "\n";
    text += makeTable(body.at("shards"),
                      {"shard", "service", "dataCentre", "vm", "epoch", "certainty"})
        + "\n";
    text += makeTable(body.at("targets"), {"target", "shard", "phase", "limit", "inUse"}) + "\n";
    text += makeTable(body.at("gaps"), {"service", "backloggedWorkspaces", "gap"});
    return text;
}

std::string tableOfAcceptance(const nlohmann::json &body)
{
    std::string text = absl::StrCat("accepted as revision ", cellOf(body.at("revision")),
                                    "  digest ", cellOf(body.at("digest")), "\n");
    for (const char *state : {"inForce", "behind", "stopped", "unheard"}) {
        if (body.contains("fleet") && !body.at("fleet").at(state).empty())
            absl::StrAppend(&text, state, ": ", body.at("fleet").at(state).dump(), "\n");
    }
    return text;
}

std::string tableOf(const ctl_command &command, const nlohmann::json &body)
{
    if (command.is("validate"))
        return absl::StrCat("valid  digest ", cellOf(body.at("digest")), "\n");
    if (command.is("diff"))
        return tableOfChanges(body);
    if (command.is("status"))
        return tableOfStatus(body);
    if (command.is("workspace list"))
        return makeTable(body.at("workspaces"),
                         {"name", "share", "services", "dataCentres", "keys"});
    if (command.is("workspace show"))
        return body.at("workspace").dump(2) + "\n";
    return tableOfAcceptance(body);
}

/** Returns an error's message, its details and what to do next. */
std::string describeError(const nlohmann::json &error)
{
    std::string text
        = absl::StrCat("error ", cellOf(error.at("code")), " ", cellOf(error.at("name")), ": ",
                       cellOf(error.at("message")), "\n");
    for (const char *detail : {"revision", "digest", "dataCentres"}) {
        if (error.contains(detail))
            absl::StrAppend(&text, "  ", detail, ": ", cellOf(error.at(detail)), "\n");
    }
    if (error.contains("faults")) {
        for (const nlohmann::json &fault : error.at("faults"))
            absl::StrAppend(&text, "  ", cellOf(fault.at("path")), ": ",
                            cellOf(fault.at("problem")), "\n");
    }
    absl::StrAppend(&text, "next: ", cellOf(error.at("whatToDo")), "\n");
    return text;
}

ctl_exit exitOf(const nlohmann::json &error)
{
    const int code = error.at("code").get<int>();
    for (const result_code_entry &entry : resultCodeTable()) {
        if (static_cast<int>(entry.code) == code)
            return exitFor(entry.code);
    }
    return ctl_exit::Failed;
}

} // namespace

ctl_result formatAnswer(const ctl_command &command, const std::string &body)
{
    ctl_result result;
    try {
        const nlohmann::json answer = nlohmann::json::parse(body);
        if (command.json)
            result.output = answer.dump(2) + "\n";
        const char *problem = answer.contains("error") ? "error" : "warning";
        if (answer.contains(problem)) {
            result.error = describeError(answer.at(problem));
            result.exit = exitOf(answer.at(problem));
        }
        if (!command.json && !answer.contains("error"))
            result.output = tableOf(command, answer);
    } catch (const nlohmann::json::exception &) {
        return {ctl_exit::Failed,
                {},
                "the answer is not one of quetzal-admin; check the address given with --admin\n"};
    }
    return result;
}

ctl_result formatNoAnswer(const ctl_command &command, bool sent)
{
    if (sent && command.isChange())
        return {ctl_exit::OutcomeUnknown,
                {},
                absl::StrCat("no answer came from ", command.admin,
                             "; the change may have been made\n"
                             "next: run quetzalctl status before repeating it\n")};
    return {ctl_exit::Unavailable,
            {},
            absl::StrCat("cannot reach ", command.admin,
                         "; nothing was changed\n"
                         "next: start quetzal-admin on any VM or name another with --admin URL\n")};
}

} // namespace quetzal
