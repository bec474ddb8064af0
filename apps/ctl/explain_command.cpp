#include "apps/ctl/explain_command.h"

#include "apps/ctl/ctl_exit.h"
#include "telemetry/timeline/request_timeline.h"

#include <fstream>

namespace quetzal {

int explainRequest(const std::vector<std::string> &operands, std::ostream &out, std::ostream &error)
{
    constexpr std::size_t minOperands = 2;
    if (operands.size() < minOperands) {
        error << "usage: quetzalctl explain REQUEST-ID FILE...\n";
        return static_cast<int>(ctl_exit::Usage);
    }
    std::vector<std::string> lines;
    for (std::size_t index = 1; index < operands.size(); ++index) {
        std::ifstream file(operands[index]);
        if (!file) {
            error << "quetzalctl: cannot read " << operands[index] << "\n";
            return static_cast<int>(ctl_exit::Usage);
        }
        for (std::string line; std::getline(file, line);)
            lines.push_back(line);
    }
    const std::vector<std::string> timeline = makeRequestTimeline(operands.front(), lines);
    for (const std::string &line : timeline)
        out << line << "\n";
    if (!timeline.empty())
        return 0;
    error << "quetzalctl: no line names the request " << operands.front() << "\n";
    return static_cast<int>(ctl_exit::Failed);
}

} // namespace quetzal
