#include "fake_store.h"
#include "sample_documents.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

/** A store that can be unavailable, lose writes, or accept a concurrent change before a write. */
class faulty_store
{
public:
    std::optional<store_view> read(const std::string & /*keyPrefix*/)
    {
        return m_store.read(down ? store_fault::RequestLost : store_fault::None);
    }

    store_reply perform(const store_transaction &transaction)
    {
        if (beforeWrite)
            std::exchange(beforeWrite, {})();
        return m_store.perform(transaction, down ? store_fault::RequestLost : writeFault);
    }

    bool down = false;
    store_fault writeFault = store_fault::None;
    std::function<void()> beforeWrite;

private:
    fake_store m_store;
};

struct fake_fleet
{
    fleet_statuses fetch(const std::string & /*environment*/) const { return statuses; }

    fleet_statuses statuses;
};

/** The administration API over a fake store and fleet. */
class administration_fixture
{
public:
    administration_answer call(const std::string &method, const std::string &path,
                               std::map<std::string, std::string> query = {},
                               const std::string &body = {}, const std::string &token = "writer")
    {
        return m_api.handle({.method = method,
                             .path = path,
                             .query = std::move(query),
                             .token = token,
                             .body = body,
                             .writeId = "write-" + std::to_string(++m_calls)});
    }

    administration_answer apply(std::int64_t base, const configuration_document &document,
                                const std::string &environment = "production")
    {
        return call("POST", "/v1/apply",
                    {{"base", std::to_string(base)}, {"environment", environment}},
                    toCanonicalJson(document));
    }

    faulty_store store;
    fake_fleet fleet;

private:
    administration_api<faulty_store, fake_fleet> m_api {
        {.environments = {{"production", "/p"}, {"trial", "/t"}},
         .defaultEnvironment = "production",
         .promotionSource = "trial",
         .promotionDestination = "production"},
        operator_registry({{"ann", sha256Hex("writer"), operator_role::Write},
                           {"bob", sha256Hex("reader"), operator_role::Read}}),
        store,
        fleet};
    int m_calls = 0;
};

configuration_document withNashuaOut()
{
    configuration_document document = sampleDocument(3);
    document.dataCentres[0].state = data_centre_state::Out;
    return document;
}

} // namespace

SCENARIO("operators call the administration API")
{
    administration_fixture api;
    REQUIRE(api.apply(0, sampleDocument(3)).code == result_code::Ok);

    WHEN("a token is unknown or may only read")
    {
        CHECK(api.call("GET", "/v1/workspaces", {}, "", "x").code == result_code::TokenUnknown);
        CHECK(api.call("GET", "/v1/workspaces", {}, "", "").code == result_code::TokenUnknown);
        CHECK(api.call("GET", "/v1/workspaces", {}, "", "reader").code == result_code::Ok);
        for (const char *path : {"/v1/apply", "/v1/promote", "/v1/data-centres/nashua/out"})
            CHECK(api.call("POST", path, {}, "", "reader").code == result_code::RoleInsufficient);
    }
    WHEN("a document has faults")
    {
        const auto answer = api.call("POST", "/v1/validate", {}, R"({"environment": "x", "y": 1})");
        THEN("each is listed with its path")
        {
            CHECK(answer.code == result_code::DocumentInvalid);
            CHECK(answer.body["error"]["faults"][0]["path"] == "/y");
            CHECK(api.call("POST", "/v1/apply", {{"base", "1"}}, "{").code
                  == result_code::DocumentInvalid);
        }
    }
    WHEN("a document is compared with the active one")
    {
        const auto answer = api.call("POST", "/v1/diff", {}, toCanonicalJson(withNashuaOut()));
        THEN("the answer lists the changed member")
        {
            REQUIRE(answer.body["changes"].size() == 1);
            CHECK(answer.body["changes"][0]["name"] == "nashua");
            CHECK(answer.body["changes"][0]["members"][0]["after"] == "out");
        }
    }
    WHEN("two operators apply changes to the same revision")
    {
        REQUIRE(api.apply(1, withNashuaOut()).acceptedRevision == 2);
        const auto loser = api.apply(1, sampleDocument(2));
        THEN("the second receives a conflict with the revision of the first")
        {
            CHECK(loser.code == result_code::RevisionConflict);
            CHECK(loser.body["error"]["revision"] == 2);
            CHECK(!loser.acceptedRevision);
        }
    }
    WHEN("the base revision is missing")
    {
        CHECK(api.call("POST", "/v1/apply", {}, toCanonicalJson(sampleDocument(1))).code
              == result_code::MalformedRequest);
    }
    WHEN("a data centre is taken out while another change is accepted")
    {
        api.store.beforeWrite = [&] {
            api.apply(1, sampleDocument(5));
        };
        const auto answer = api.call("POST", "/v1/data-centres/nashua/out");
        THEN("both changes are active")
        {
            CHECK(answer.acceptedRevision == 3);
            CHECK(api.call("GET", "/v1/workspaces").body["workspaces"].size() == 5);
            CHECK(api.call("GET", "/v1/status").body["dataCentres"][0]["state"] == "out");
            CHECK(api.call("POST", "/v1/data-centres/nashua/out").acceptedRevision == 3);
            CHECK(api.call("POST", "/v1/data-centres/nowhere/out").code == result_code::NotFound);
        }
    }
    WHEN("the store is down")
    {
        api.store.down = true;
        CHECK(api.call("POST", "/v1/data-centres/nashua/out").code
              == result_code::StoreUnavailable);
        CHECK(api.call("GET", "/v1/configuration").code == result_code::StoreUnavailable);
        CHECK(api.call("GET", "/v1/status").body["storeReachable"] == false);
    }
    WHEN("writes take effect and their answers are lost")
    {
        api.store.writeFault = store_fault::AnswerLost;
        CHECK(api.apply(1, withNashuaOut()).acceptedRevision == 2);
    }
    WHEN("writes are lost while reads are answered")
    {
        api.store.writeFault = store_fault::RequestLost;
        configuration_document document = sampleDocument(3);
        CHECK(api.apply(1, document).code == result_code::StoreOutcomeUnknown);
        CHECK(api.apply(1, withNashuaOut()).code == result_code::StoreUnavailable);
    }
    WHEN("a workspace is shown")
    {
        CHECK(api.call("GET", "/v1/workspaces/town-1").body["workspace"]["share"] == 2.0);
        CHECK(api.call("GET", "/v1/workspaces/nobody").code == result_code::NotFound);
        CHECK(api.call("GET", "/v1/nothing").code == result_code::NotFound);
    }
}

SCENARIO("a document is promoted from trial to production")
{
    administration_fixture api;
    api.apply(0, withNashuaOut(), "production");
    configuration_document document = withNashuaOut();
    document.workspaces[0].share = 9.0;
    api.apply(0, document, "trial");
    const std::string digest = sha256Hex(toCanonicalJson(document));

    SECTION("production receives the document with the same digest")
    {
        const auto answer = api.call("POST", "/v1/promote", {{"digest", digest}, {"base", "1"}});
        CHECK(answer.acceptedRevision == 2);
        CHECK(answer.body["digest"] == digest);
    }
    SECTION("a document that has changed in trial is not promoted")
    {
        api.apply(1, sampleDocument(1), "trial");
        CHECK(api.call("POST", "/v1/promote", {{"digest", digest}, {"base", "1"}}).code
              == result_code::DigestMismatch);
    }
    SECTION("a promotion changes the state of a data centre only with explicit consent")
    {
        api.apply(1, sampleDocument(3), "trial");
        std::map<std::string, std::string> query {
            {"digest", sha256Hex(toCanonicalJson(sampleDocument(3)))}, {"base", "1"}};
        const auto refused = api.call("POST", "/v1/promote", query);
        CHECK(refused.code == result_code::PromotionChangesDataCentre);
        CHECK(refused.body["error"]["dataCentres"][0] == "nashua");
        query["dataCentres"] = "accept";
        CHECK(api.call("POST", "/v1/promote", query).acceptedRevision == 2);
    }
}

SCENARIO("the state of the fleet is derived from the statuses of the schedulers")
{
    const auto status = [](const std::string &members) {
        return readNodeStatus(R"({"vm": "v", "configurationRevision": )" + members + "}");
    };
    const fleet_statuses statuses {
        {"vm-1", status(R"(5, "connected": true, "routerRevisions": {"vm-1": 5, "vm-2": 4})")},
        {"vm-2", status(R"(5, "connected": true, "routerRevisions": {"vm-2": 5, "vm-3": 4},
            "fairness": [{"service": "s", "workspace": "a", "virtualTime": 7, "backlogged": true},
                         {"service": "s", "workspace": "b", "virtualTime": 4, "backlogged": true},
                         {"service": "s", "workspace": "c", "virtualTime": 1, "backlogged": false}])")},
        {"vm-3", status(R"(5, "connected": true)")},
        {"vm-4", status(R"(4, "connected": false)")},
        {"vm-5", std::nullopt}};
    const fleet_report report = makeFleetReport(5, statuses);
    CHECK(report.vmsInState(vm_state::InForce) == std::vector<std::string> {"vm-1", "vm-2"});
    CHECK(report.vmsInState(vm_state::Behind) == std::vector<std::string> {"vm-3"});
    CHECK(report.vmsInState(vm_state::Stopped) == std::vector<std::string> {"vm-4"});
    CHECK(report.vmsInState(vm_state::Unresponsive) == std::vector<std::string> {"vm-5"});
    CHECK(!report.isSettled());
    CHECK(makeFleetReport(4, {{"vm-1", statuses.at("vm-1")}}).isSettled());
    CHECK(computeServiceGaps(statuses) == std::vector<service_gap> {{"s", 2, 3.0}});
    CHECK(!readNodeStatus("[]"));
    CHECK(!readNodeStatus(R"({"vm": "v"})"));
}
