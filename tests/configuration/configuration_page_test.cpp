#include "configuration/configuration.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace quetzal;

SCENARIO("the example in docs/CONFIGURATION.md is a valid document")
{
    std::ifstream file(QUETZAL_SOURCE_DIR "/docs/CONFIGURATION.md");
    std::ostringstream content;
    content << file.rdbuf();
    const std::string page = content.str();
    const std::string opening = "```json\n";
    const std::size_t begin = page.find(opening);
    REQUIRE(begin != std::string::npos);
    const std::size_t end = page.find("```", begin + opening.size());
    const document_read_result reading
        = readDocument(page.substr(begin + opening.size(), end - begin - opening.size()));
    INFO(toText(reading.faults));
    CHECK(reading.faults.empty());
    REQUIRE(reading.document.has_value());
    CHECK(reading.document->workspaces.size() == 2);
}
