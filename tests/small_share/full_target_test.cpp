#include "forwarding/forwarding.h"
#include "foundation/hashing/stable_hash.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration objective = absl::Milliseconds(800);
constexpr absl::Duration beyondLimit = absl::Milliseconds(1200);
constexpr std::int64_t sharedTokens = 16000;
constexpr std::int64_t greedyTokens = 2000000;
constexpr std::int64_t placedWorkMs = 3000;

std::shared_ptr<const route_table> table()
{
    route_table_options options {.version = 1};
    options.routes = {{.name = "dossier",
                       .host = "h.example",
                       .pathPrefix = "/dossier/",
                       .kind = request_kind::Stream,
                       .services = {{.service = "model"}},
                       .latencyObjective = objective}};
    options.services = {{.name = "model", .maxConnections = 60, .promptCacheTokens = 500000}};
    options.limits.tokensPerSecond = 80000.0;
    options.workspaceOfKey = {{"key", "modest"}};
    options.hasWorkspaces = true;
    return std::make_shared<const route_table>(std::move(options));
}

request_description dossier(const std::string &id, std::uint64_t ownPart)
{
    constexpr std::uint64_t sharedPart = 7;
    return {.id = id,
            .method = "POST",
            .host = "h.example",
            .path = "/dossier/x",
            .key = "key",
            .callerTimeout = absl::Seconds(12),
            .prompt = {{.id = sharedPart, .tokens = sharedTokens}, {.id = ownPart, .tokens = 300}}};
}

/** A node with three targets that hears of their waiting work from another router. */
struct router
{
    router()
        : node({.dataCentre = "north",
                .routers = {.self = "vm1", .members = {"vm1", "vm2"}},
                .fleet = {.retries = {.window = absl::Seconds(10), .ratio = 0.2, .allowance = 60.0},
                          .coldFactor = 1.5,
                          .coldAllowance = 5.0}})
    {
        node.setRouters({.self = "vm1", .members = {"vm1", "vm2"}});
        node.setRoutes(table());
        for (const char *id : {"e1", "e2", "e3"})
            node.applyTarget({.id = id,
                              .service = "model",
                              .address = {.host = "10.0.0.1", .port = 80},
                              .dataCentre = "north",
                              .slots = 64,
                              .startedAtMs = 1},
                             true, start);
    }

    std::variant<placement, rejection> place(const request_description &request, absl::Time now)
    {
        const auto admitted = std::get<admitted_request>(node.admit(request, now));
        node.onAdmitted(admitted, now);
        return node.place(++number, admitted, request, {}, now);
    }

    /** Another router tells what it served of a workspace's requests. */
    void hearOfUsage(const std::string &workspace, std::int64_t requested, std::int64_t served,
                     absl::Time now)
    {
        node.onDigest(load_digest {.vm = workspace + "'s router",
                                   .sequence = ++sequence,
                                   .incarnation = 1,
                                   .workspaces = {{.workspace = stableHash(workspace),
                                                   .requestedTokens = requested,
                                                   .servedTokens = served}},
                                   .placed = {.tokens = served, .workMs = placedWorkMs}},
                      now);
    }

    void hearOfBacklog(const std::string &target, absl::Duration backlog, absl::Time now)
    {
        node.onDigest(
            backlog_digest {.vm = "vm2",
                            .sequence = ++sequence,
                            .incarnation = 1,
                            .backlogs = {{.target = stableHash(target),
                                          .backlogMs = absl::ToInt64Milliseconds(backlog)}}},
            now);
    }

    forwarding_node node;
    std::uint64_t number = 0;
    std::uint64_t sequence = 0;
};

} // namespace

TEST_CASE("a workspace far within its share is not rejected at a full target while others are idle",
          "[small_share]")
{
    router router;
    router.hearOfUsage("greedy", greedyTokens, greedyTokens / 10, start);
    const auto first = std::get<placement>(router.place(dossier("first", 101), start));
    const absl::Time answered = start + first.work;
    router.node.onAnswerBegan(router.number, first.target, answered);
    router.node.onEnded(router.number, first.target, exchange_end::Answered, answered);

    SECTION("it goes where its prompt lies while that target can begin it in time")
    {
        const auto decision = router.place(dossier("second", 102), answered);
        REQUIRE(std::holds_alternative<placement>(decision));
        CHECK(std::get<placement>(decision).target == first.target);
    }

    SECTION("and to another target, which reads the prompt within the objective, otherwise")
    {
        REQUIRE(first.work < objective);
        router.hearOfBacklog(first.target, beyondLimit, answered);
        const auto decision = router.place(dossier("second", 102), answered);
        REQUIRE(std::holds_alternative<placement>(decision));
        CHECK(std::get<placement>(decision).target != first.target);
        CHECK(std::get<placement>(decision).backlog == absl::ZeroDuration());
    }
}

TEST_CASE("a workspace beyond its share does not take the caches of idle targets", "[small_share]")
{
    router router;
    router.hearOfUsage("greedy", greedyTokens, greedyTokens / 10, start);
    const auto first = std::get<placement>(router.place(dossier("first", 101), start));
    router.hearOfUsage("modest", greedyTokens, 0, start);
    router.hearOfBacklog(first.target, beyondLimit, start);
    CHECK(std::holds_alternative<rejection>(router.place(dossier("second", 102), start)));
}
