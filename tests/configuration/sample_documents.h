#pragma once

#include "configuration/configuration.h"
#include "foundation/hashing/stable_hash.h"

namespace quetzal {

/** Returns a document with two services, two data centres and the given number of workspaces. */
inline configuration_document sampleDocument(int workspaces, double firstShare = 1.0)
{
    configuration_document document;
    document.environment = "sample";
    document.dataCentres = {{"nashua", data_centre_state::In}, {"lowell", data_centre_state::In}};
    service_definition model;
    model.name = "roster-llm";
    model.models = {"roster"};
    service_definition plain;
    plain.name = "roster-app";
    plain.kind = service_kind::Plain;
    plain.unit = service_unit::AnsweredRequests;
    plain.requestKinds = {{"booking", 2.0}};
    plain.calls = {{"POST", "/bookings", false, "booking"}};
    document.services = {model, plain};
    for (int index = 0; index < workspaces; ++index) {
        workspace_definition workspace;
        workspace.name = "town-" + std::to_string(index);
        workspace.share = index == 0 ? firstShare : 1.0 + index % 4;
        workspace.keyDigests = {sha256Hex("key of " + workspace.name)};
        workspace.services = {"roster-llm", "roster-app"};
        document.workspaces.push_back(workspace);
    }
    return document;
}

} // namespace quetzal
