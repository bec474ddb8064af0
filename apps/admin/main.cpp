#include "apps/admin/admin_server.h"
#include "apps/admin/admin_settings.h"
#include "apps/common/program.h"

#include <iostream>
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

int run(const admin_settings &settings)
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
    waitForTermination();
    log.info("stopping");
    server.stop();
    log.info("stopped");
    return 0;
}

} // namespace

} // namespace quetzal

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto invocation = quetzal::readCommandLine(argc, argv, quetzal::program, exitCode);
    if (!invocation)
        return exitCode;
    const quetzal::admin_settings_reading reading
        = quetzal::readAdminSettings(invocation->settingsText);
    if (!reading.faults.empty()) {
        std::cerr << quetzal::toText(reading.faults);
        return quetzal::usageExitCode;
    }
    if (invocation->checkOnly)
        return 0;
    quetzal::blockTerminationSignals();
    return quetzal::run(reading.settings);
}
