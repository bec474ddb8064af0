#include "emulator/caller/load_plan.h"

namespace quetzal::bench {

route class_plan::toRoute() const
{
    return {.name = name,
            .host = "emulated",
            .pathPrefix = "/" + name + "/",
            .kind = kind,
            .services = {{.service = service}},
            .timeout = deadline,
            .latencyObjective = latencyObjective,
            .maxAttempts = attempts,
            .isResumable = isResumable};
}

std::vector<std::string> load_plan::workspaceNames() const
{
    std::vector<std::string> names;
    for (int number = 1; number <= workspaces; ++number)
        names.push_back("w" + std::to_string(number));
    return names;
}

} // namespace quetzal::bench
