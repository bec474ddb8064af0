#include "transport/http/http_server_host.h"
#include "transport/platform/load_client.h"
#include "transport/platform/vm_list_client.h"
#include "transport_fixtures.h"

#include <catch2/catch.hpp>

using namespace quetzal;
using namespace quetzal::testing;

namespace {

const std::string validList = R"({"vms":[
    {"id":"vm-1","role":"entry","dataCentre":"nashua","ip":"127.0.0.1","schedulerPort":9000,
     "state":"leaving"},
    {"id":"engine-1","role":"target","dataCentre":"lowell","ip":"127.0.0.2","port":9100,
     "service":"roster-llm","state":"live"},
    {"id":"other","role":"database"}]})";

} // namespace

SCENARIO("The VM list is parsed and fetched")
{
    SECTION("entries and targets are read, other roles are ignored")
    {
        const auto list = readVmList(validList);
        REQUIRE(list.has_value());
        CHECK(list->entries
              == std::vector<entry_vm> {{.vm = "vm-1",
                                         .dataCentre = "nashua",
                                         .scheduler = {.ip = "127.0.0.1", .port = 9000},
                                         .isDraining = true}});
        CHECK(list->targets
              == std::vector<target_listing> {{.target = "engine-1",
                                               .address = "127.0.0.2:9100",
                                               .service = "roster-llm",
                                               .dataCentre = "lowell",
                                               .isDraining = false}});
    }
    SECTION("malformed lists are rejected")
    {
        for (const std::string body :
             {"", "{}", "[]", R"({"vms":7})", R"({"vms":[{"role":"entry"}]})",
              R"({"vms":[{"id":"x","role":"target","dataCentre":"d","ip":"1.1.1.1","port":99999,
                 "service":"s","state":"live"}]})",
              R"({"vms":[{"id":"x","role":"target","dataCentre":"d","ip":"1.1.1.1","port":9,
                 "service":"s","state":"asleep"}]})"})
            CHECK(!readVmList(body).has_value());
    }
    SECTION("the platform is unreachable")
    {
        CHECK(!vm_list_client(freeEndpoint()).fetch().has_value());
    }
    SECTION("a connection is accepted and never answered")
    {
        const socket_handle unresponsive = listenAt({.ip = "127.0.0.1", .port = 0});
        const endpoint address {.ip = "127.0.0.1", .port = localPort(unresponsive)};
        CHECK(!vm_list_client(address).fetch().has_value());
        CHECK(!load_client(address).fetch().has_value());
    }
}

SCENARIO("The load report of a target is fetched")
{
    http_server_host host({.listen = {.ip = "127.0.0.1", .port = 0}});
    int status = 200;
    std::string body
        = R"({"instance":"i1","running":3,"waiting":1,"uptimeSeconds":2.5,"cold":true})";
    host.server().Get("/load",
                      [&](const httplib::Request & /*request*/, httplib::Response &answer) {
                          answer.status = status;
                          answer.set_content(body, "application/json");
                      });
    host.start();
    const load_client client(host.address());

    SECTION("a complete report")
    {
        CHECK(client.fetch()
              == target_load {.instance = "i1",
                              .running = 3,
                              .waiting = 1,
                              .uptime = absl::Milliseconds(2500),
                              .isDraining = false,
                              .cold = true});
    }
    SECTION("an answer with an error status is rejected")
    {
        status = 503;
        CHECK(!client.fetch().has_value());
    }
    SECTION("a body with a missing, mistyped or invalid member is rejected")
    {
        for (const std::string wrong :
             {"", "[]", "{}", R"({"instance":"i1","running":-1,"waiting":0})",
              R"({"instance":"","running":1,"waiting":0})",
              R"({"instance":"i1","running":"3","waiting":0})"})
            CHECK(!readLoad(wrong).has_value());
    }
}
