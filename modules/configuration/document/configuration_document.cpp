#include "configuration/document/configuration_document.h"

#include <algorithm>

namespace quetzal {

namespace {

template <typename Definition>
const Definition *findNamed(const std::vector<Definition> &definitions, std::string_view name)
{
    const auto found
        = std::find_if(definitions.begin(), definitions.end(),
                       [name](const Definition &candidate) { return candidate.name == name; });
    return found == definitions.end() ? nullptr : &*found;
}

} // namespace

const service_definition *configuration_document::findService(std::string_view name) const
{
    return findNamed(services, name);
}

const workspace_definition *configuration_document::findWorkspace(std::string_view name) const
{
    return findNamed(workspaces, name);
}

const data_centre_definition *configuration_document::findDataCentre(std::string_view name) const
{
    return findNamed(dataCentres, name);
}

bool configuration_document::isDataCentreIn(std::string_view name) const
{
    const data_centre_definition *found = findDataCentre(name);
    return found != nullptr && found->state == data_centre_state::In;
}

} // namespace quetzal
