#include "apps/admin/admin_server.h"
#include "standins/store/store_server.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace quetzal;

namespace {

constexpr const char *document = R"({"environment": "test", "dataCentres": [{"name": "nashua"}]})";

/** Serves GET /v1/status of one VM whose scheduler and router have the same revision in effect. */
class fake_scheduler
{
public:
    fake_scheduler()
    {
        m_server.Get("/v1/status", [this](const httplib::Request &, httplib::Response &response) {
            ++calls;
            const nlohmann::json body {{"vm", "vm-1"},
                                       {"configurationRevision", revision.load()},
                                       {"connected", true},
                                       {"routerRevisions", {{"vm-1", revision.load()}}}};
            response.set_content(body.dump(), "application/json");
        });
        port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
    }
    ~fake_scheduler()
    {
        m_server.stop();
        m_thread.join();
    }
    fake_scheduler(const fake_scheduler &) = delete;
    fake_scheduler &operator=(const fake_scheduler &) = delete;

    std::atomic<int> revision = 0;
    std::atomic<int> calls = 0;
    int port = 0;

private:
    httplib::Server m_server;
    std::thread m_thread;
};

/** quetzal-admin with a store stand-in and one scheduler, all on loopback. */
class admin_deployment
{
public:
    admin_deployment()
    {
        m_store.start("127.0.0.1", 0);
        admin_settings settings;
        settings.listen = {"127.0.0.1", 0};
        settings.store = {"127.0.0.1", m_store.port()};
        settings.environments = {{"production", {{"vm-1", {"127.0.0.1", scheduler.port}}}}};
        settings.defaultEnvironment = "production";
        settings.operators = {{"ann", sha256Hex("writer"), operator_role::Write}};
        settings.maxBodyBytes = std::size_t {8} * 1024 * 1024;
        server.emplace(settings, 1, m_log);
        server->start();
    }
    ~admin_deployment()
    {
        server.reset();
        m_store.finish();
    }
    admin_deployment(const admin_deployment &) = delete;
    admin_deployment &operator=(const admin_deployment &) = delete;

    /** Returns the status and the body of the answer; status 0 if there is none. */
    std::pair<int, nlohmann::json> post(const std::string &target, const std::string &body) const
    {
        httplib::Client client("127.0.0.1", server->port());
        constexpr int timeoutSeconds = 30;
        client.set_read_timeout(timeoutSeconds);
        const auto result
            = client.Post(target, {{"Authorization", "Bearer writer"}}, body, "application/json");
        if (!result)
            return {0, {}};
        return {result->status, nlohmann::json::parse(result->body)};
    }

    void setStoreFault(const std::string &fault) const
    {
        httplib::Client("127.0.0.1", m_store.port())
            .Post("/standin/fault", fault, "application/json");
    }

    fake_scheduler scheduler;
    std::optional<admin_server> server;

private:
    logger m_log {{.program = "test", .writeLine = [](const std::string &) {
                   }}};
    standins::store_server m_store;
};

} // namespace

SCENARIO("quetzal-admin writes changes to the store and waits for the VMs")
{
    admin_deployment deployment;
    const auto [status, accepted] = deployment.post("/v1/apply?base=0", document);
    REQUIRE(status == 200);
    REQUIRE(accepted["fleet"]["behind"][0] == "vm-1");
    CHECK(accepted["warning"]["code"] == 4008);

    WHEN("the VM applies the revision while the call waits")
    {
        const int callsBefore = deployment.scheduler.calls;
        std::thread vm([&] {
            while (deployment.scheduler.calls < callsBefore + 2)
                std::this_thread::yield();
            deployment.scheduler.revision = 2;
        });
        const auto answer = deployment.post("/v1/data-centres/nashua/out?waitMs=20000", "").second;
        vm.join();
        THEN("the answer reports that the revision is in force")
        {
            CHECK(answer["revision"] == 2);
            CHECK(answer["fleet"]["inForce"][0] == "vm-1");
            CHECK(!answer.contains("warning"));
        }
    }
    WHEN("the answer to the write is lost")
    {
        deployment.setStoreFault(R"({"loseAnswers": 2})");
        CHECK(deployment.post("/v1/data-centres/nashua/out", "").second["revision"] == 2);
    }
    WHEN("the store is down")
    {
        deployment.setStoreFault(R"({"down": true})");
        const auto [downStatus, answer] = deployment.post("/v1/data-centres/nashua/out", "");
        CHECK(downStatus == 503);
        CHECK(answer["error"]["code"] == 4003);
    }
    WHEN("the body is larger than the settings allow")
    {
        const auto [tooLarge, answer]
            = deployment.post("/v1/apply?base=1", std::string(std::size_t {9} * 1024 * 1024, ' '));
        CHECK(tooLarge == 413);
        CHECK(answer["error"]["code"] == 1005);
    }
    WHEN("the program is stopped while a call waits for the VMs")
    {
        const int callsBefore = deployment.scheduler.calls;
        std::pair<int, nlohmann::json> answer;
        std::thread caller(
            [&] { answer = deployment.post("/v1/data-centres/nashua/out?waitMs=60000", ""); });
        while (deployment.scheduler.calls < callsBefore + 2)
            std::this_thread::yield();
        deployment.server->stop();
        caller.join();
        THEN("the call is answered")
        {
            CHECK(answer.first == 200);
            CHECK(answer.second["accepted"] == true);
        }
    }
}
