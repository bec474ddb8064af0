#include "standins/common/standin_program.h"
#include "standins/store/store_server.h"

#include <string>

int main(int argc, char **argv)
{
    constexpr int maxPort = 65535;
    std::string ip {};
    int port = 0;
    quetzal::standins::store_server server;
    return quetzal::standins::runStandin(argc, argv,
                                         {.name = "standin-store",
                                          .read =
                                              [&](quetzal::json_reader &reader) {
                                                  ip = reader.requiredString("ip");
                                                  port = static_cast<int>(
                                                      reader.requiredInteger("port", 1, maxPort));
                                              },
                                          .start = [&] { server.start(ip, port); },
                                          .finish =
                                              [&] {
                                                  server.finish();
                                              }});
}
