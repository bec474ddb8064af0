#include "apps/admin/admin_settings.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace quetzal;

namespace {

std::string exampleSettings()
{
    std::ifstream file(QUETZAL_SOURCE_DIR "/apps/admin/example-settings.json");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<json_fault> faultsAfter(const std::string &old, const std::string &replacement)
{
    std::string text = exampleSettings();
    const std::size_t place = text.find(old);
    REQUIRE(place != std::string::npos);
    text.replace(place, old.size(), replacement);
    return readAdminSettings(text).faults;
}

} // namespace

SCENARIO("quetzal-admin accepts the example settings and reports the path of each fault")
{
    const admin_settings_read_result reading = readAdminSettings(exampleSettings());
    CHECK(toText(reading.faults).empty());
    CHECK(reading.settings.apiOptions().environments.at("trial") == "/quetzal/trial");
    CHECK(operator_registry(reading.settings.operators).find("example-write")->name == "ann");

    CHECK(faultsAfter("127.0.0.1:9300", "here")[0].path == "/listen");
    CHECK(faultsAfter("\"role\": \"write\"", "\"role\": \"all\"")[0].path == "/operators/0/role");
    CHECK(faultsAfter("\"from\": \"trial\"", "\"from\": \"other\"")[0].path == "/promotion/from");
    CHECK(faultsAfter("vm-2", "vm-1")[0].path == "/environments/0/schedulers/1/vm");
    CHECK(faultsAfter("\"logLevel\"", "\"level\"")[0].path == "/level");
    CHECK(readAdminSettings("{}").faults.size() >= 4);
}
