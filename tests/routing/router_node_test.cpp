#include "configuration/document/document_reader.h"
#include "foundation/hashing/stable_hash.h"
#include "routing/node/router_node.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const node_id owner {node_role::Scheduler, "vm-1"};

std::string documentText(const std::string &state)
{
    const document_read_result reading = readDocument(R"({
        "environment": "test",
        "dataCentres": [{"name": "north", "state": ")" + state
                                                      + R"("}],
        "services": [{"name": "chat", "kind": "model", "unit": "tokens"}],
        "workspaces": [{"name": "town", "services": ["chat"], "limits": {"waitingRequests": 2}}]
    })");
    return toCanonicalJson(*reading.document);
}

protocol::configuration_update configuration(std::int64_t revision, const std::string &state)
{
    protocol::configuration_update update;
    update.revision = revision;
    update.document = documentText(state);
    update.digest = sha256Hex(update.document);
    return update;
}

protocol::fleet_view fleetView(std::int64_t epoch)
{
    protocol::shard_owner shard;
    shard.shard = "chat/north/0";
    shard.serviceName = "chat";
    shard.dataCentre = "north";
    shard.owner = "vm-1";
    shard.epoch = epoch;
    protocol::fleet_view view;
    view.scheduler = "vm-1";
    view.connected = true;
    view.owners.push_back(shard);
    return view;
}

protocol::grant_batch grantOf(std::int64_t epoch, std::int64_t ticket, std::int64_t sequence)
{
    protocol::grant content;
    content.shard = "chat/north/0";
    content.epoch = epoch;
    content.ticket = ticket;
    content.target = "engine-1";
    content.serviceName = "chat";
    content.workspace = "town";
    content.dataCentre = "north";
    content.reportSequence = sequence;
    content.lifetimeMillis = 2000;
    protocol::grant_batch batch;
    batch.scheduler = "vm-1";
    batch.grants.push_back(content);
    return batch;
}

/** Takes the node's actions and returns those of one type. */
template <typename Action>
std::vector<Action> take(router_node &node)
{
    std::vector<Action> found;
    for (const router_action &action : node.takeActions()) {
        if (const auto *wanted = std::get_if<Action>(&action))
            found.push_back(*wanted);
    }
    return found;
}

/** A router with a configuration, a shard owner of epoch 3 and one waiting request. */
struct router_with_request
{
    router_with_request()
    {
        node.onMessage(owner, configuration(1, "in"), start);
        node.onMessage(owner, fleetView(3), start);
        node.submit({.id = 7,
                     .workspace = "town",
                     .service = "chat",
                     .deadline = start + absl::Seconds(60),
                     .idempotent = false},
                    start);
        node.advance(start);
        for (const outgoing_message &sent : take<outgoing_message>(node)) {
            if (const auto *report = std::get_if<protocol::router_report>(&sent.content))
                sequence = report->sequence;
        }
    }

    router_node node {{.vm = "vm-9", .incarnation = 1}};
    std::int64_t sequence = 0;
};

} // namespace

SCENARIO("a grant is used once and only within its lifetime and epoch")
{
    router_with_request router;
    REQUIRE(router.sequence > 0);

    SECTION("a grant of the known epoch is used")
    {
        router.node.onMessage(owner, grantOf(3, 1, router.sequence), start);
        CHECK(take<dispatch_request>(router.node).size() == 1);

        AND_WHEN("it is received again while another request waits")
        {
            router.node.submit({.id = 8,
                                .workspace = "town",
                                .service = "chat",
                                .deadline = start + absl::Seconds(60)},
                               start);
            router.node.onMessage(owner, grantOf(3, 1, router.sequence), start);
            CHECK(take<dispatch_request>(router.node).empty());
        }
    }
    SECTION("a grant of a lower epoch is rejected")
    {
        router.node.onMessage(owner, grantOf(2, 1, router.sequence), start);
        CHECK(take<dispatch_request>(router.node).empty());
    }
    SECTION("a grant that arrives after its lifetime is returned unused")
    {
        const absl::Time late = start + absl::Milliseconds(2001);
        router.node.onMessage(owner, fleetView(3), late);
        router.node.onMessage(owner, grantOf(3, 1, router.sequence), late);
        CHECK(take<dispatch_request>(router.node).empty());
    }
    SECTION("a grant at a data centre that was taken out is returned unused")
    {
        router.node.onMessage(owner, configuration(2, "out"), start);
        router.node.onMessage(owner, grantOf(3, 1, router.sequence), start);
        CHECK(take<dispatch_request>(router.node).empty());
    }
    SECTION("a revoked grant is not used when it arrives later")
    {
        protocol::grant_batch batch;
        batch.scheduler = "vm-1";
        protocol::revocation revoked;
        revoked.shard = "chat/north/0";
        revoked.epoch = 3;
        revoked.ticket = 1;
        batch.revocations.push_back(revoked);
        router.node.onMessage(owner, batch, start);
        router.node.onMessage(owner, grantOf(3, 1, router.sequence), start);
        CHECK(take<dispatch_request>(router.node).empty());
    }
}

SCENARIO("the result of a request that may run at most once")
{
    router_with_request router;
    router.node.onMessage(owner, grantOf(3, 1, router.sequence), start);
    REQUIRE(take<dispatch_request>(router.node).size() == 1);

    SECTION("the answer was lost after the request was sent")
    {
        router.node.onAttemptEnded(7, {.ending = attempt_ending::LostBeforeAnswer}, start);
        const auto finished = take<finish_request>(router.node);
        REQUIRE(finished.size() == 1);
        CHECK(finished[0].code == result_code::OutcomeUnknown);
        CHECK(finished[0].execution == execution_state::OutcomeUnknown);
    }
    SECTION("the target rejected it without running it")
    {
        router.node.onAttemptEnded(7, {.ending = attempt_ending::RejectedNotExecuted}, start);
        CHECK(take<finish_request>(router.node).empty());
        CHECK(router.node.status(start).waiting == 1);
    }
}

SCENARIO("a workspace is rejected at its own limit and an isolated router rejects all requests")
{
    router_with_request router;
    const auto submit = [&router](request_id id, absl::Time now) {
        router.node.submit(
            {.id = id, .workspace = "town", .service = "chat", .deadline = now + absl::Seconds(60)},
            now);
        return take<finish_request>(router.node);
    };
    CHECK(submit(8, start).empty());
    const auto refused = submit(9, start);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].code == result_code::WorkspaceQueueFull);
    CHECK(refused[0].execution == execution_state::NotRun);

    router.node.advance(start + absl::Seconds(2));
    const auto isolated = take<finish_request>(router.node);
    REQUIRE(isolated.size() == 2);
    CHECK(isolated[0].code == result_code::RouterIsolated);
    CHECK(isolated[0].execution == execution_state::NotRun);
}
