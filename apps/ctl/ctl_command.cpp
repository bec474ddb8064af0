#include "apps/ctl/ctl_command.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <sstream>

namespace quetzal {

namespace options = boost::program_options;

namespace {

constexpr std::int64_t defaultWaitMillis = 5000;

/** A verb and its help text. */
struct ctl_verb
{
    const char *words;
    /** Name of the operand in the help text; empty if the verb has none. */
    const char *operand;
    const char *help;
};

constexpr std::array verbs {
    ctl_verb {"validate", "FILE", "Check a document and print each fault with its path."},
    ctl_verb {"diff", "FILE", "Show what a document would change in the one in force."},
    ctl_verb {"apply", "FILE",
              "Make a document the one in force. --base names the revision that was edited; when\n"
              "another change came first nothing is written."},
    ctl_verb {"promote", "",
              "Write the trial environment's document to production. --digest names the document\n"
              "that was watched in trial, --base production's revision."},
    ctl_verb {"data-centre out", "NAME", "Send no new work to a data centre."},
    ctl_verb {"data-centre in", "NAME", "Send work to a data centre again."},
    ctl_verb {"workspace list", "", "List the workspaces."},
    ctl_verb {"workspace show", "NAME", "Show one workspace."},
    ctl_verb {"status", "",
              "Show the revision in force at each VM, shard owners, targets and gaps."},
};

options::options_description describeOptions()
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("help", "show help; after a verb, the verb's help");
    add("admin", options::value<std::string>()->default_value("http://127.0.0.1:9300"),
        "address of quetzal-admin");
    add("token-file", options::value<std::string>()->default_value(""),
        "file that holds the operator's token");
    add("environment", options::value<std::string>()->default_value(""),
        "environment; the admin's default unless given");
    add("output", options::value<std::string>()->default_value("table"), "table or json");
    add("base", options::value<std::int64_t>(), "revision that was edited (apply, promote)");
    add("digest", options::value<std::string>()->default_value(""),
        "digest of the document to promote");
    add("accept-data-centres", "let a promotion change a data centre's state");
    add("wait-ms", options::value<std::int64_t>()->default_value(defaultWaitMillis),
        "how long a change waits to be in force on every VM, in milliseconds");
    return description;
}

std::string overallHelp()
{
    std::ostringstream text;
    text << "Usage: quetzalctl VERB [OPERAND] [OPTIONS]\n\nVerbs:\n";
    for (const ctl_verb &verb : verbs)
        text << "  " << verb.words << " " << verb.operand << "\n";
    text << "  explain REQUEST-ID FILE...   (reads logs of quetzal-edge; needs no admin)\n";
    text << "\n" << describeOptions();
    text << "\nExit codes: 0 done, 2 usage, 3 document invalid, 4 conflict, 5 refused,\n"
            "6 unavailable (nothing changed), 7 outcome unknown, 8 accepted but not yet in force\n"
            "on every VM, 9 other failure.\n";
    return text.str();
}

std::string helpOf(const ctl_verb &verb)
{
    std::ostringstream text;
    text << "Usage: quetzalctl " << verb.words << " " << verb.operand << " [OPTIONS]\n\n"
         << verb.help << "\n\n"
         << describeOptions();
    return text.str();
}

/** Returns the verb that the words begin with, or null. */
const ctl_verb *findVerb(const std::vector<std::string> &words)
{
    for (const ctl_verb &verb : verbs) {
        const std::string all = absl::StrJoin(words, " ");
        const std::string expected = verb.words;
        if (all == expected || all.starts_with(expected + " "))
            return &verb;
    }
    return nullptr;
}

ctl_read_result fail(const std::string &error)
{
    return {std::nullopt, {}, error};
}

std::string findProblem(const ctl_command &command, const std::string &output)
{
    if (output != "table" && output != "json")
        return "--output must be table or json";
    if (command.tokenFile.empty())
        return "name the file that holds your operator token with --token-file FILE";
    if (command.is("apply") && !command.base)
        return "apply needs --base REVISION, the revision that you edited; quetzalctl status "
               "shows the one in force";
    if (command.is("promote") && (!command.base || command.digest.empty()))
        return "promote needs --base REVISION of production and --digest DIGEST of the document "
               "in trial; quetzalctl status --environment shows both";
    return {};
}

ctl_read_result makeCommand(const options::variables_map &values, const ctl_verb &verb,
                            const std::vector<std::string> &words)
{
    ctl_command command;
    const bool hasOperand = *verb.operand != '\0';
    const std::string verbText = verb.words;
    const auto verbWords
        = static_cast<std::size_t>(1 + std::count(verbText.begin(), verbText.end(), ' '));
    if (words.size() != verbWords + (hasOperand ? 1 : 0))
        return fail(absl::StrCat("usage: quetzalctl ", verb.words, " ", verb.operand));
    command.verb.assign(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(verbWords));
    command.operand = hasOperand ? words.back() : std::string();
    command.admin = values["admin"].as<std::string>();
    command.tokenFile = values["token-file"].as<std::string>();
    command.environment = values["environment"].as<std::string>();
    command.digest = values["digest"].as<std::string>();
    command.acceptDataCentres = values.count("accept-data-centres") > 0;
    command.waitMillis = values["wait-ms"].as<std::int64_t>();
    if (values.count("base") > 0)
        command.base = values["base"].as<std::int64_t>();
    const auto output = values["output"].as<std::string>();
    command.json = output == "json";
    const std::string problem = findProblem(command, output);
    if (!problem.empty())
        return fail(problem);
    return {command, {}, {}};
}

/** Percent-encodes a component of a URL. */
std::string encode(const std::string &text)
{
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (absl::ascii_isalnum(byte) || character == '-' || character == '_' || character == '.')
            result += character;
        else
            absl::StrAppend(&result, "%", absl::Hex(byte, absl::kZeroPad2));
    }
    return result;
}

std::string pathOf(const ctl_command &command)
{
    if (command.verb[0] == "data-centre")
        return "/v1/data-centres/" + encode(command.operand) + "/" + command.verb[1];
    if (command.is("workspace list"))
        return "/v1/workspaces";
    if (command.is("workspace show"))
        return "/v1/workspaces/" + encode(command.operand);
    return "/v1/" + command.verb[0];
}

} // namespace

bool ctl_command::is(const std::string &words) const
{
    return absl::StrJoin(verb, " ") == words;
}

bool ctl_command::isChange() const
{
    return verb[0] == "apply" || verb[0] == "promote" || verb[0] == "data-centre";
}

ctl_read_result readCommand(const std::vector<std::string> &arguments)
{
    options::options_description all = describeOptions();
    all.add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map values;
    try {
        options::store(
            options::command_line_parser(arguments).options(all).positional(positional).run(),
            values);
    } catch (const options::error &error) {
        return fail(absl::StrCat(error.what(), "; see quetzalctl --help"));
    }
    std::vector<std::string> words;
    if (values.count("words") > 0)
        words = values["words"].as<std::vector<std::string>>();
    const ctl_verb *verb = findVerb(words);
    if (values.count("help") > 0)
        return {std::nullopt, verb == nullptr ? overallHelp() : helpOf(*verb), {}};
    if (verb == nullptr)
        return fail(words.empty()
                        ? "name a verb; see quetzalctl --help"
                        : "no such verb: " + absl::StrJoin(words, " ") + "; see quetzalctl --help");
    return makeCommand(values, *verb, words);
}

ctl_call toCall(const ctl_command &command)
{
    std::vector<std::string> query;
    if (!command.environment.empty() && command.verb[0] != "promote")
        query.push_back("environment=" + encode(command.environment));
    if (command.base && command.isChange())
        query.push_back("base=" + std::to_string(*command.base));
    if (command.is("promote"))
        query.push_back("digest=" + encode(command.digest));
    if (command.acceptDataCentres)
        query.emplace_back("dataCentres=accept");
    if (command.isChange())
        query.push_back("waitMs=" + std::to_string(command.waitMillis));

    const bool sendsFile = command.is("validate") || command.is("diff") || command.is("apply");
    const bool isPost = sendsFile || command.isChange();
    const std::string path = pathOf(command);
    return {.method = isPost ? "POST" : "GET",
            .target = query.empty() ? path : path + "?" + absl::StrJoin(query, "&"),
            .sendsFile = sendsFile};
}

} // namespace quetzal
