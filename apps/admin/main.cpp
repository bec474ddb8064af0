#include "apps/admin/admin_server.h"
#include "apps/admin/admin_settings.h"
#include "apps/common/program_main.h"

#include <random>
#include <system_error>

namespace quetzal {

namespace {

constexpr char program[] = "quetzal-admin";

std::uint64_t randomSeed()
{
    std::random_device device;
    constexpr int halfBits = 32;
    return (static_cast<std::uint64_t>(device()) << halfBits) | device();
}

int run(const admin_settings &settings, const termination_signal &signal)
{
    logger log({.program = program,
                .vm = settings.listen.ip,
                .level = parseLogLevel(settings.logLevel).value_or(log_level::Info),
                .writeLine = {}});
    admin_server server(settings, randomSeed(), log);
    try {
        server.start();
    } catch (const std::system_error &error) {
        log.error("the listening address cannot be bound",
                  {{"code", static_cast<std::int64_t>(error.code().value())}});
        return 1;
    }
    log.info("started", {{"listen", toText(settings.listen)}});
    signal.wait();
    log.info("stopping");
    server.stop();
    log.info("stopped");
    return 0;
}

} // namespace

} // namespace quetzal

int main(int argc, char **argv)
{
    const quetzal::program_description description {.name = quetzal::program,
                                                    .summary = "Serves the administration API.",
                                                    .version = QUETZAL_VERSION};
    return quetzal::programMain(argc, argv, description, &quetzal::readAdminSettings,
                                &quetzal::run);
}
